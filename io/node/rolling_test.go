package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"laburnumvane/io/node"
	"laburnumvane/io/site"
	"laburnumvane/io/wire"
)

// balancerLag is the VMs' setting of the balancer's lag. It has to cover the time from a caller's
// choice of a VM to the request's arrival there. On a machine busy with other tests this was over
// 200 ms: by then the VM had closed its idle connections, as it may, and the search got EOF.
const balancerLag = 2 * time.Second

// balancer sends requests to healthy VMs in turn, as the platform's balancer does. It notices a
// change of health with a lag.
type balancer struct {
	client  *http.Client
	mu      sync.Mutex
	addrs   []string
	healthy []string
	next    int
}

func newBalancer() *balancer {
	return &balancer{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

func (ba *balancer) set(nds []*node.Node) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.addrs = nil
	for _, nd := range nds {
		ba.addrs = append(ba.addrs, nd.Addrs().Caller)
	}
}

// check updates the healthy VMs by every VM's health check.
func (ba *balancer) check() {
	ba.mu.Lock()
	addrs := append([]string(nil), ba.addrs...)
	ba.mu.Unlock()
	var fit []string
	for _, addr := range addrs {
		rs, err := ba.client.Get("http://" + addr + wire.RouteHealth)
		if err != nil {
			continue
		}
		_ = rs.Body.Close()
		if rs.StatusCode == http.StatusOK {
			fit = append(fit, addr)
		}
	}
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.healthy = fit
}

func (ba *balancer) pick() string {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if len(ba.healthy) == 0 {
		return ""
	}
	ba.next++
	return ba.healthy[ba.next%len(ba.healthy)]
}

var errNoVM = errors.New("no VM is healthy")

// post sends a request. If the connection is refused, it tries the next VM, since nothing was sent.
func (ba *balancer) post(path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	for range 20 {
		addr := ba.pick()
		if addr == "" {
			return errNoVM
		}
		rs, err := ba.client.Post("http://"+addr+path, "application/json", bytes.NewReader(body))
		var oe *net.OpError
		if errors.As(err, &oe) && oe.Op == "dial" {
			continue
		}
		if err != nil {
			return err
		}
		defer func() { _ = rs.Body.Close() }()
		return json.NewDecoder(rs.Body).Decode(out)
	}
	return errNoVM
}

// traffic runs callers whose searches may be repeated and callers whose searches must not be.
type traffic struct {
	ba       *balancer
	stop     chan struct{}
	done     sync.WaitGroup
	complete atomic.Int64
	renewals atomic.Int64
	mu       sync.Mutex
	faults   []string
	queries  []string
}

func startTraffic(ba *balancer, searchers, renewers int) *traffic {
	tr := &traffic{ba: ba, stop: make(chan struct{})}
	for i := range searchers {
		tr.loop(func(n int) { tr.search(i, n) })
	}
	for i := range renewers {
		tr.loop(func(n int) { tr.renew(i, n) })
	}
	tr.loop(func(int) {
		ba.check()
		time.Sleep(10 * time.Millisecond)
	})
	return tr
}

func (tr *traffic) loop(f func(n int)) {
	tr.done.Add(1)
	go func() {
		defer tr.done.Done()
		for n := 0; ; n++ {
			select {
			case <-tr.stop:
				return
			default:
				f(n)
				time.Sleep(time.Millisecond)
			}
		}
	}()
}

func (tr *traffic) finish() {
	close(tr.stop)
	tr.done.Wait()
	tr.ba.client.CloseIdleConnections()
}

func (tr *traffic) fault(format string, args ...any) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.faults = append(tr.faults, fmt.Sprintf(format, args...))
}

func (tr *traffic) search(i, n int) {
	var an wire.SearchAnswer
	err := tr.ba.post(wire.RouteSearch, wire.SearchRequest{Team: "wash", Search: "kiosk", Query: query(i, n)}, &an)
	switch {
	case err != nil:
		tr.fault("search: %v", err)
	case an.Outcome != wire.OutcomeComplete:
		tr.fault("search: %s %s", an.Outcome, an.Reason)
	default:
		tr.complete.Add(1)
	}
}

// query returns a unique query for each search, by which its runs are counted.
func query(i, n int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"plate":"T%d-%d"}`, i, n))
}

// renew sends one search with a ticket twice, through the VMs that the balancer picks.
func (tr *traffic) renew(i, n int) {
	var tk wire.TicketReply
	if err := tr.ba.post(wire.RouteTickets, wire.TicketRequest{Team: "wash"}, &tk); err != nil || len(tk.Tickets) != 1 {
		tr.fault("tickets: %v %v", err, tk.Tickets)
		return
	}
	qu := query(1000+i, n)
	rq := wire.SearchRequest{Team: "wash", Search: "renewal", Query: qu, Ticket: tk.Tickets[0]}
	for attempt := range 2 {
		var an wire.SearchAnswer
		err := tr.ba.post(wire.RouteSearch, rq, &an)
		switch {
		case err != nil:
			tr.fault("renewal, attempt %d: %v", attempt, err)
		case an.Outcome != wire.OutcomeComplete:
			tr.fault("renewal, attempt %d: %s %s", attempt, an.Outcome, an.Reason)
		}
	}
	tr.mu.Lock()
	tr.queries = append(tr.queries, string(qu))
	tr.mu.Unlock()
	tr.renewals.Add(1)
}

// repeatedRuns lists the queries that ran more than once on a shard.
func (tr *traffic) repeatedRuns(st *site.Site) []string {
	var out []string
	for _, qu := range tr.queries {
		for shard, n := range st.Fleet().RunsOf(qu) {
			if n > 1 {
				out = append(out, fmt.Sprintf("%s: shard %d ran %d times", qu, shard, n))
			}
		}
	}
	return out
}

// revisions counts the VMs by their revision of the team's configuration.
func revisions(st *site.Site) map[uint64]int {
	out := map[uint64]int{}
	for _, nd := range st.Nodes() {
		for _, tm := range nd.Status().Teams {
			out[tm.Revision]++
		}
	}
	return out
}

// All nine VMs are replaced, one of each data centre at a time, as for a new version, while callers
// search and renew. Each stopping VM waits for the balancer's lag, answers the requests in flight
// and runs until its tickets have expired. The configuration's second revision must pass from the
// old VMs to the new ones. The callers must not see any error.
func TestRollingReplacement(t *testing.T) {
	is := is.New(t)
	before := goleak.IgnoreCurrent()
	st := startSite(t, 9, balancerLag)
	first := st.Nodes()
	old := append([]*node.Node(nil), first...)
	putConfig(t, st, old[0])

	ba := newBalancer()
	ba.set(old)
	ba.check()
	tr := startTraffic(ba, 6, 2)
	for round := range 3 {
		replaceVMs(t, st, ba, old[3*round:3*round+3])
	}
	tr.finish()

	is.Equal(tr.faults, nil)
	is.True(tr.complete.Load() > 0)
	is.True(tr.renewals.Load() > 0)
	is.Equal(tr.repeatedRuns(st), nil)
	is.Equal(len(st.Nodes()), 9)
	is.Equal(revisions(st), map[uint64]int{2: 9})
	t.Logf("%d searches, %d renewals of two attempts", tr.complete.Load(), tr.renewals.Load())
	st.Close()
	goleak.VerifyNone(t, before,
		// hertz starts one goroutine for the whole process and never ends it.
		goleak.IgnoreAnyFunction("github.com/cloudwego/hertz/pkg/protocol.UpdateServerDate.func1"),
	)
}

// putConfig writes the second revision of the configuration and waits until it is in force.
func putConfig(t *testing.T, st *site.Site, nd *node.Node) {
	t.Helper()
	is := is.New(t)
	doc, err := json.Marshal(st.Document())
	is.NoErr(err)
	rq, err := http.NewRequest(http.MethodPut, "http://"+nd.Addrs().Operator+"/v1/teams/wash/config", bytes.NewReader(doc))
	is.NoErr(err)
	rq.Header.Set("If-Match", "*")
	rs, err := http.DefaultClient.Do(rq)
	is.NoErr(err)
	defer func() { _ = rs.Body.Close() }()
	is.Equal(rs.StatusCode, http.StatusOK)
	http.DefaultClient.CloseIdleConnections()
	eventually(t, "all VMs have the second revision", func() bool { return revisions(st)[2] == len(st.Nodes()) })
}

// replaceVMs boots one new VM in each data centre and then stops the old VMs.
func replaceVMs(t *testing.T, st *site.Site, ba *balancer, old []*node.Node) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for _, dataCentre := range []string{"east", "north", "west"} {
		_, err := st.StartVM(dataCentre)
		is.NoErr(err)
	}
	is.NoErr(st.WaitReady(ctx))
	ba.set(st.Nodes())
	errs := make(chan error, len(old))
	for _, nd := range old {
		go func() { errs <- nd.Stop(ctx) }()
	}
	for range old {
		is.NoErr(<-errs)
	}
	for _, nd := range old {
		st.RemoveFromList(nd)
	}
	ba.set(st.Nodes())
}
