package drive_test

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/matryer/is"
	"github.com/phuslu/log"

	"laburnumvane/core/team"
	"laburnumvane/io/client"
	"laburnumvane/io/drive"
	"laburnumvane/io/emul"
	"laburnumvane/io/node"
	"laburnumvane/io/setup"
	"laburnumvane/io/site"
	"laburnumvane/io/wire"
)

const services = 4

func TestMain(m *testing.M) {
	hlog.SetLevel(hlog.LevelFatal)
	os.Exit(m.Run())
}

// testSite is a site with two VMs on real sockets.
type testSite struct {
	is *is.I
	st *site.Site
}

func newTestSite(t *testing.T) *testSite {
	t.Helper()
	is := is.New(t)
	rg, err := emul.SampleRegister("members", 1, 200)
	is.NoErr(err)
	st, err := site.Start(site.Config{
		Team:        teamName,
		VMs:         2,
		DataCentres: []string{"east", "west"},
		Region:      "home",
		Register:    rg,
		Services:    services,
		Slots:       8,
		Connections: 30,
		Searches: map[string]team.Search{
			"renewal": {Class: team.ClassUrgent, HardDeadlineMs: 10_000, NeverRepeat: true, HitLimit: 5, Retry: team.Retry{Budget: 0.2, PerShard: 2}},
			"history": {Class: team.ClassInteractive, HardDeadlineMs: 10_000, HitLimit: 5, Retry: team.Retry{Budget: 0.2, PerShard: 2}},
		},
		Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	is.NoErr(err)
	t.Cleanup(st.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	is.NoErr(st.WaitReady(ctx))
	return &testSite{is: is, st: st}
}

func (ts *testSite) caller(vm int) *client.Caller {
	ca, err := client.NewCaller(client.Config{URL: "http://" + ts.st.Nodes()[vm].Addrs().Caller})
	ts.is.NoErr(err)
	return ca
}

// ticket returns a new ticket of the first VM.
func (ts *testSite) ticket() string {
	rp, err := ts.caller(0).Tickets(context.Background(), wire.TicketRequest{Team: teamName})
	ts.is.NoErr(err)
	return rp.Tickets[0]
}

func (ts *testSite) renew(vm int, token, query string) wire.SearchAnswer {
	return ts.search(vm, wire.SearchRequest{Search: "renewal", Query: json.RawMessage(query), Ticket: token})
}

func (ts *testSite) search(vm int, rq wire.SearchRequest) wire.SearchAnswer {
	rq.Team = teamName
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	an, err := ts.caller(vm).Search(ctx, rq)
	ts.is.NoErr(err)
	return an
}

// checkRanOnce checks that no shard ran a query twice.
func (ts *testSite) checkRanOnce(query string) {
	ts.is.Helper()
	for _, n := range ts.st.Fleet().RunsOf(query) {
		ts.is.True(n <= 1)
	}
}

// A client renews on one VM, loses the reply, and repeats the request on another VM with the same
// ticket. Both answers must be the same, and each shard must run the search once.
func TestRenewalOnTwoVMs(t *testing.T) {
	ts := newTestSite(t)
	const query = `{"plate":"AAA-000"}`
	token := ts.ticket()
	first := ts.renew(0, token, query)
	second := ts.renew(1, token, query)
	ts.is.Equal(first.Outcome, wire.OutcomeComplete)
	ts.is.Equal(second.Outcome, wire.OutcomeComplete)
	ts.is.Equal(first.Hits, second.Hits)
	ts.is.Equal(len(ts.st.Fleet().RunsOf(query)), services)
	ts.checkRanOnce(query)
}

// The VM that issued a ticket ran its search and is gone. Another VM cannot know whether the search
// ran and must answer unknown. It must also do so after a new process has started at the issuer's
// address: that process must not accept the old ticket as its own.
func TestIssuerGone(t *testing.T) {
	ts := newTestSite(t)
	const query = `{"plate":"AAA-000"}`
	token := ts.ticket()
	ts.is.Equal(ts.renew(0, token, query).Outcome, wire.OutcomeComplete)
	gone := ts.st.Nodes()[0]
	// A stop whose context has ended comes closest to a kill within one process. Otherwise the
	// stop would wait until the tickets have expired.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = gone.Stop(ctx)

	an := ts.renew(1, token, query)
	ts.is.Equal(an.Outcome, wire.OutcomeUnknown)
	ts.is.Equal(an.Reason, drive.ReasonIssuerUnreachable)

	next := ts.boot(gone.Addrs().Inner)
	defer func() { _ = next.Stop(ctx) }()
	an = ts.renew(1, token, query)
	ts.is.Equal(an.Outcome, wire.OutcomeUnknown)
	ts.is.Equal(an.Reason, drive.ReasonTicketVoid)
	ts.checkRanOnce(query)
}

// boot starts a VM with a given inner address.
func (ts *testSite) boot(innerAddr string) *node.Node {
	set := setup.Defaults()
	set.CallerAddr, set.OperatorAddr, set.InnerAddr = "127.0.0.1:0", "127.0.0.1:0", innerAddr
	set.DataCentre, set.Region = "east", "home"
	set.KV = []string{ts.st.KV().Addr()}
	set.VMList = ts.st.VMs().Addr()
	set.BalancerLag = 0
	set = set.WithIncarnation(time.Now())
	nd, err := node.Start(node.Config{Settings: set, Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, Version: "test"})
	ts.is.NoErr(err)
	return nd
}

// One server of each service crashes and restarts between two renewals, so that its old connections
// are broken. The second renewal must be complete.
func TestServerCrashBetweenRenewals(t *testing.T) {
	ts := newTestSite(t)
	ts.is.Equal(ts.renew(0, ts.ticket(), `{"plate":"AAA-000"}`).Outcome, wire.OutcomeComplete)
	for i, sv := range ts.st.Fleet().Servers() {
		if i%emul.DefaultReplicas == 0 {
			sv.Upstream.Crash()
			ts.is.NoErr(sv.Upstream.Restart(wire.UpstreamServing))
		}
	}
	const query = `{"plate":"BBB-001"}`
	an := ts.renew(0, ts.ticket(), query)
	ts.is.Equal(an.Reason, "")
	ts.is.Equal(an.Outcome, wire.OutcomeComplete)
	ts.checkRanOnce(query)
}

// All open connections to all servers become silent for good, while new ones work. A search that
// may be repeated must be complete long before its deadline, since lost sub-requests are detected
// and sent again. A renewal must never run twice on a shard, whatever its outcome, and a later
// renewal must be complete.
func TestAllConnectionsSilent(t *testing.T) {
	ts := newTestSite(t)
	for _, sv := range ts.st.Fleet().Servers() {
		sv.Upstream.Silence()
	}
	const lost = `{"plate":"AAA-000"}`
	an := ts.renew(0, ts.ticket(), lost)
	ts.is.True(an.Outcome != wire.OutcomeNotRun || len(ts.st.Fleet().RunsOf(lost)) == 0)
	ts.checkRanOnce(lost)
	an = ts.search(0, wire.SearchRequest{Search: "history", Query: json.RawMessage(`{"plate":"CCC-002"}`)})
	ts.is.Equal(an.Reason, "")
	ts.is.Equal(an.Outcome, wire.OutcomeComplete)
	const query = `{"plate":"BBB-001"}`
	an = ts.renew(0, ts.ticket(), query)
	ts.is.Equal(an.Reason, "")
	ts.is.Equal(an.Outcome, wire.OutcomeComplete)
	ts.checkRanOnce(query)
}
