package node_test

import (
	"context"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"laburnumvane/io/node"
	"laburnumvane/io/site"
	"laburnumvane/io/wire"
)

// withServiceTime makes every sub-request take d.
func withServiceTime(d time.Duration) func(*site.Config) {
	return func(cfg *site.Config) {
		cfg.ServiceTime = func(*rand.Rand) time.Duration { return d }
	}
}

// startSearch starts one search on a VM and returns once it is in flight.
func startSearch(t *testing.T, nd *node.Node) <-chan wire.SearchAnswer {
	t.Helper()
	answers := make(chan wire.SearchAnswer, 1)
	ba := newBalancer()
	ba.set([]*node.Node{nd})
	ba.check()
	go func() {
		var an wire.SearchAnswer
		if err := ba.post(wire.RouteSearch, wire.SearchRequest{Team: "wash", Search: "kiosk", Query: query(0, 0)}, &an); err != nil {
			an.Reason = err.Error()
		}
		answers <- an
	}()
	eventually(t, "the search is in flight", func() bool { return nd.Metrics()["inFlight.searches"] == 1 })
	return answers
}

// The platform sends SIGTERM while a search is in flight, and again because the stop takes long.
// The second signal must not cut the search off: both stops must wait for the same end, and the
// caller must get a complete answer.
func TestStopTwiceAnswersWhatIsInFlight(t *testing.T) {
	is := is.New(t)
	st := startSite(t, 3, 50*time.Millisecond, withServiceTime(500*time.Millisecond))
	nd := st.Nodes()[0]
	answers := startSearch(t, nd)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	second := make(chan error, 1)
	first := make(chan error, 1)
	go func() { first <- nd.Stop(ctx) }()
	eventually(t, "the stop has begun", nd.Leaving)
	go func() { second <- nd.Stop(ctx) }()
	is.Equal((<-answers).Outcome, wire.OutcomeComplete)
	is.NoErr(<-first)
	is.NoErr(<-second)
}

// A search takes longer than the grace period. When the period ends, the connection is cut. The
// stop must report that by its error, from which exit code 1 follows, and must not wait any longer.
func TestSearchLongerThanGrace(t *testing.T) {
	is := is.New(t)
	st := startSite(t, 3, 50*time.Millisecond, withServiceTime(8*time.Second), func(cfg *site.Config) { cfg.StopGrace = 300 * time.Millisecond })
	nd := st.Nodes()[0]
	answers := startSearch(t, nd)
	err := nd.Stop(context.Background())
	var ne *node.Error
	is.True(errors.As(err, &ne))
	is.Equal(ne.Kind, node.KindCut)
	is.Equal(ne.Msg, "the grace ended with 1 searches in flight; they were cut off")
	an := <-answers
	is.Equal(an.Outcome, wire.Outcome(""))
	is.True(an.Reason != "")
}

// SIGTERM arrives while the VM boots and no client has ever connected. The stop must not wait for
// the balancer's lag, which is longer than the test's timeout here.
func TestStopDuringBoot(t *testing.T) {
	is := is.New(t)
	st := startSite(t, 3, 0)
	cfg := st.Config()
	cfg.BalancerLag = 10 * testTimeout
	nd, err := st.StartVMWith(cfg, "east")
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	is.NoErr(nd.Stop(ctx))
	is.NoErr(ctx.Err())
	st.RemoveFromList(nd)
}

// VMs are killed while callers search and renew. Callers whose connection breaks get an error. A
// renewal that was in flight may have run, and the other VMs cannot know. No renewal may run twice.
func TestKilledVMRunsNothingTwice(t *testing.T) {
	is := is.New(t)
	st := startSite(t, 9, 0)
	ba := newBalancer()
	ba.set(st.Nodes())
	ba.check()
	tr := startTraffic(ba, 4, 4)
	for range 3 {
		eventually(t, "traffic flows", progressed(tr))
		st.Kill(st.Nodes()[0])
	}
	eventually(t, "traffic flows on six VMs", progressed(tr))
	tr.finish()
	is.Equal(tr.repeatedRuns(st), nil)
	t.Logf("%d searches, %d renewals; callers saw: %d errors or unknown", tr.complete.Load(), tr.renewals.Load(), len(tr.faults))
}

// progressed returns a condition that holds once 50 more searches and renewals were answered.
func progressed(tr *traffic) func() bool {
	searches, tickets := tr.complete.Load()+50, tr.renewals.Load()+50
	return func() bool { return tr.complete.Load() >= searches && tr.renewals.Load() >= tickets }
}

// A VM that is leaving must not issue tickets that become void before they can be used. It has
// another VM issue them, and the caller must not notice.
func TestTicketsOfLeavingVM(t *testing.T) {
	is := is.New(t)
	st := startSite(t, 9, 700*time.Millisecond)
	waitForStates(t, st, map[string]int{"live": 9})
	nd := st.Nodes()[0]
	ba := newBalancer()
	ba.set([]*node.Node{nd})
	ba.check()
	stopped := make(chan error, 1)
	go func() { stopped <- nd.Stop(context.Background()) }()
	eventually(t, "the stop has begun", nd.Leaving)
	var tk wire.TicketReply
	is.NoErr(ba.post(wire.RouteTickets, wire.TicketRequest{Team: "wash", Count: 3}, &tk))
	is.Equal(len(tk.Tickets), 3)
	is.NoErr(<-stopped)
	ba.set(st.Nodes()[1:])
	ba.check()
	var an wire.SearchAnswer
	rq := wire.SearchRequest{Team: "wash", Search: "renewal", Query: query(0, 0), Ticket: tk.Tickets[0]}
	is.NoErr(ba.post(wire.RouteSearch, rq, &an))
	is.Equal(an.Outcome, wire.OutcomeComplete)
	_, err := net.Dial("tcp", nd.Addrs().Caller)
	is.True(errors.Is(err, syscall.ECONNREFUSED))
}
