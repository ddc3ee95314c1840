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

// place is an installation with two VMs on real sockets.
type place struct {
	is *is.I
	st *site.Site
}

func newPlace(t *testing.T) *place {
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
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	is.NoErr(st.WaitReady(ctx))
	return &place{is: is, st: st}
}

func (pl *place) caller(vm int) *client.Caller {
	ca, err := client.NewCaller(client.Config{URL: "http://" + pl.st.Nodes()[vm].Addrs().Caller})
	pl.is.NoErr(err)
	return ca
}

// ticket takes one from the first VM.
func (pl *place) ticket() string {
	rp, err := pl.caller(0).Tickets(context.Background(), wire.TicketRequest{Team: teamName})
	pl.is.NoErr(err)
	return rp.Tickets[0]
}

func (pl *place) renew(vm int, token, query string) wire.SearchAnswer {
	return pl.search(vm, wire.SearchRequest{Search: "renewal", Query: json.RawMessage(query), Ticket: token})
}

func (pl *place) search(vm int, rq wire.SearchRequest) wire.SearchAnswer {
	rq.Team = teamName
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	an, err := pl.caller(vm).Search(ctx, rq)
	pl.is.NoErr(err)
	return an
}

// once checks that no shard ran a query twice.
func (pl *place) once(query string) {
	pl.is.Helper()
	for _, n := range pl.st.Fleet().RunsOf(query) {
		pl.is.True(n <= 1)
	}
}

// A client renews on one VM, loses the reply, and asks another VM with the same
// ticket: both answers are the same, and each shard ran it once.
func TestRenewalOnTwoVMs(t *testing.T) {
	pl := newPlace(t)
	const query = `{"plate":"AAA-000"}`
	token := pl.ticket()
	first := pl.renew(0, token, query)
	second := pl.renew(1, token, query)
	pl.is.Equal(first.Outcome, wire.OutcomeComplete)
	pl.is.Equal(second.Outcome, wire.OutcomeComplete)
	pl.is.Equal(first.Hits, second.Hits)
	pl.is.Equal(len(pl.st.Fleet().RunsOf(query)), services)
	pl.once(query)
}

// The VM that issued the ticket ran the search and is gone. The other VM cannot
// know that it ran, and says so; also when another process has taken the
// issuer's address since, which must not take the old ticket for its own.
func TestIssuerGone(t *testing.T) {
	pl := newPlace(t)
	const query = `{"plate":"AAA-000"}`
	token := pl.ticket()
	pl.is.Equal(pl.renew(0, token, query).Outcome, wire.OutcomeComplete)
	gone := pl.st.Nodes()[0]
	// A stop without any time is as near to a kill as one process allows: a
	// planned one would stay for its tickets.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = gone.Stop(ctx)

	an := pl.renew(1, token, query)
	pl.is.Equal(an.Outcome, wire.OutcomeUnknown)
	pl.is.Equal(an.Reason, drive.ReasonIssuerGone)

	next := pl.boot(gone.Addrs().Inner)
	defer func() { _ = next.Stop(ctx) }()
	an = pl.renew(1, token, query)
	pl.is.Equal(an.Outcome, wire.OutcomeUnknown)
	pl.is.Equal(an.Reason, drive.ReasonTicketVoid)
	pl.once(query)
}

// boot starts a VM at a given inner address.
func (pl *place) boot(innerAddr string) *node.Node {
	set := setup.Defaults()
	set.CallerAddr, set.OperatorAddr, set.InnerAddr = "127.0.0.1:0", "127.0.0.1:0", innerAddr
	set.DataCentre, set.Region = "east", "home"
	set.KV = []string{pl.st.KV().Addr()}
	set.VMList = pl.st.VMs().Addr()
	set.BalancerLag = 0
	set = set.WithIncarnation(time.Now())
	nd, err := node.Start(node.Config{Settings: set, Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, Version: "test"})
	pl.is.NoErr(err)
	return nd
}

// One server of each service crashes and comes back between two renewals. The
// old connections are dead; the caller of the second sees nothing of it.
func TestServerCrashBetweenRenewals(t *testing.T) {
	pl := newPlace(t)
	pl.is.Equal(pl.renew(0, pl.ticket(), `{"plate":"AAA-000"}`).Outcome, wire.OutcomeComplete)
	for i, sv := range pl.st.Fleet().Servers() {
		if i%emul.DefaultReplicas == 0 {
			sv.Upstream.Crash()
			pl.is.NoErr(sv.Upstream.Restart(wire.UpstreamServing))
		}
	}
	const query = `{"plate":"BBB-001"}`
	an := pl.renew(0, pl.ticket(), query)
	pl.is.Equal(an.Reason, "")
	pl.is.Equal(an.Outcome, wire.OutcomeComplete)
	pl.once(query)
}

// Every connection to every server goes silent for good while new ones work. A
// history search is answered whole long before its deadline, since what is lost
// is found and sent again. A renewal never runs twice on a shard, whatever it is
// told, and soon one is answered whole again.
func TestAllConnectionsSilent(t *testing.T) {
	pl := newPlace(t)
	for _, sv := range pl.st.Fleet().Servers() {
		sv.Upstream.Silence()
	}
	const lost = `{"plate":"AAA-000"}`
	an := pl.renew(0, pl.ticket(), lost)
	pl.is.True(an.Outcome != wire.OutcomeNotRun || len(pl.st.Fleet().RunsOf(lost)) == 0)
	pl.once(lost)
	an = pl.search(0, wire.SearchRequest{Search: "history", Query: json.RawMessage(`{"plate":"CCC-002"}`)})
	pl.is.Equal(an.Reason, "")
	pl.is.Equal(an.Outcome, wire.OutcomeComplete)
	const query = `{"plate":"BBB-001"}`
	an = pl.renew(0, pl.ticket(), query)
	pl.is.Equal(an.Reason, "")
	pl.is.Equal(an.Outcome, wire.OutcomeComplete)
	pl.once(query)
}
