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

// slow makes every sub-request take longer than the test lets the stop last, or
// as long as d.
func slow(d time.Duration) func(*site.Config) {
	return func(cfg *site.Config) {
		cfg.ServiceTime = func(*rand.Rand) time.Duration { return d }
	}
}

// searching starts one search on a VM and returns once it is in flight.
func searching(t *testing.T, nd *node.Node) <-chan wire.SearchAnswer {
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

// The platform sends SIGTERM, and again because the stop takes long. A search is
// in flight. The second signal must not cut it off: both wait for the same end,
// and the caller gets its whole answer.
func TestStopTwiceAnswersWhatIsInFlight(t *testing.T) {
	is := is.New(t)
	st := startSite(t, 3, 50*time.Millisecond, slow(500*time.Millisecond))
	nd := st.Nodes()[0]
	answers := searching(t, nd)
	ctx, cancel := context.WithTimeout(context.Background(), bound)
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

// A search takes longer than the grace. At its end the connection is cut; the
// process must say so, by its error and with it by exit code 1, and must not
// wait on.
func TestSearchLongerThanGrace(t *testing.T) {
	is := is.New(t)
	st := startSite(t, 3, 50*time.Millisecond, slow(8*time.Second), func(cfg *site.Config) { cfg.StopGrace = 300 * time.Millisecond })
	nd := st.Nodes()[0]
	answers := searching(t, nd)
	err := nd.Stop(context.Background())
	var ne *node.Error
	is.True(errors.As(err, &ne))
	is.Equal(ne.Kind, node.KindCut)
	is.Equal(ne.Msg, "the grace ended with 1 searches in flight; they were cut off")
	an := <-answers
	is.Equal(an.Outcome, wire.Outcome(""))
	is.True(an.Reason != "")
}

// SIGTERM comes while the VM boots: nobody has ever connected to it. It must not
// wait for a balancer that never sent anything: the lag here is beyond what the
// test lets pass.
func TestStopDuringBoot(t *testing.T) {
	is := is.New(t)
	st := startSite(t, 3, 0)
	cfg := st.Config()
	cfg.BalancerLag = 10 * bound
	nd, err := st.BootWith(cfg, "east")
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	is.NoErr(nd.Stop(ctx))
	is.NoErr(ctx.Err())
	st.Forget(nd)
}

// A VM is killed while callers search and renew. Those whose connection broke
// see an error; a renewal that was on its way may have run, and the others
// cannot tell. No renewal may run twice, and no answer may be less than it says.
func TestKilledVMRunsNothingTwice(t *testing.T) {
	is := is.New(t)
	st := startSite(t, 9, 0)
	ba := newBalancer()
	ba.set(st.Nodes())
	ba.check()
	tr := startTraffic(ba, 4, 4)
	for range 3 {
		eventually(t, "traffic flows", goesOn(tr))
		st.Kill(st.Nodes()[0])
	}
	eventually(t, "traffic flows on six VMs", goesOn(tr))
	tr.end()
	is.Equal(tr.twice(st), nil)
	t.Logf("%d searches, %d renewals; callers saw: %d errors or unknown", tr.good.Load(), tr.tickets.Load(), len(tr.faults))
}

// goesOn tells when 50 more searches and renewals have been answered.
func goesOn(tr *traffic) func() bool {
	searches, tickets := tr.good.Load()+50, tr.tickets.Load()+50
	return func() bool { return tr.good.Load() >= searches && tr.tickets.Load() >= tickets }
}

// A VM that is leaving must issue no tickets that are void before they can be
// used: it has another VM issue them. The caller sees nothing of it.
func TestTicketsOfLeavingVM(t *testing.T) {
	is := is.New(t)
	st := startSite(t, 9, 700*time.Millisecond)
	allSee(t, st, map[string]int{"live": 9})
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
