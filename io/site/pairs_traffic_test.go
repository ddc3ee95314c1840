package site_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"laburnumvane/core/team"
	"laburnumvane/io/client"
	"laburnumvane/io/emul"
	"laburnumvane/io/node"
	"laburnumvane/io/oper"
	"laburnumvane/io/site"
	"laburnumvane/io/wire"
)

const (
	pairSearchers = 6
	pairRenewers  = 3
	// pairPause keeps the load below what a busy machine can answer.
	pairPause = 4 * time.Millisecond
)

// pair is a site under traffic while two faults or more are brought about.
type pair struct {
	t       *testing.T
	st      *site.Site
	rg      *emul.Register
	version int

	stop chan struct{}
	once sync.Once
	done sync.WaitGroup

	mu        sync.Mutex
	nodes     []*node.Node
	asked     []asked
	snapshots map[uint64]*emul.Snapshot
	revisions map[string][]uint64
}

func startPair(t *testing.T) *pair {
	t.Helper()
	is := is.New(t)
	rg := emul.NewRegister("members")
	is.NoErr(renewMembers(rg, 0))
	retry := team.Retry{Budget: 0.5, PerShard: 2}
	st, err := site.Start(site.Config{
		Team: "wash", Region: "isle", VMs: 4, DataCentres: []string{"east", "west"},
		Register: rg, Services: 3, Slots: 3, Connections: 60,
		ServiceTime: func(rd *rand.Rand) time.Duration { return time.Duration(1+rd.IntN(3)) * time.Millisecond },
		Searches: map[string]team.Search{
			"lookup": {
				Class: team.ClassUrgent, SoftDeadlineMs: 150, HardDeadlineMs: 400, MinCoverage: 0.5, HitLimit: 1000,
				Hedge: team.Hedge{Quantile: 0.5, Budget: 0.2, MinDelayMs: 5}, Retry: retry,
			},
			"renewal": {Class: team.ClassInteractive, HardDeadlineMs: 400, NeverRepeat: true, HitLimit: 1000, Retry: retry},
		},
		Log:       &log.Logger{Level: log.ErrorLevel, Writer: log.IOWriter{Writer: io.Discard}},
		TicketTTL: time.Second,
	})
	is.NoErr(err)
	t.Cleanup(st.Close)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	is.NoErr(st.WaitReady(ctx))
	pr := &pair{
		t: t, st: st, rg: rg,
		stop:      make(chan struct{}),
		nodes:     slices.Clone(st.Nodes()),
		snapshots: map[uint64]*emul.Snapshot{1: st.Fleet().Current()},
		revisions: map[string][]uint64{},
	}
	t.Cleanup(pr.halt)
	for i := range pairSearchers {
		pr.each(func(n int) { pr.search(i, n) })
	}
	for i := range pairRenewers {
		pr.each(func(n int) { pr.renew(i, n) })
	}
	pr.each(func(int) { pr.look() })
	pr.answered(100)
	return pr
}

func (pr *pair) each(f func(n int)) {
	pr.done.Add(1)
	go func() {
		defer pr.done.Done()
		for n := 0; ; n++ {
			select {
			case <-pr.stop:
				return
			case <-time.After(pairPause):
				f(n)
			}
		}
	}()
}

// vms are those that callers know; one that was killed stays among them until
// it is dropped, as with a balancer that lags.
func (pr *pair) vms() []*node.Node {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return slices.Clone(pr.nodes)
}

func (pr *pair) add(nd *node.Node) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.nodes = append(pr.nodes, nd)
}

func (pr *pair) drop(nd *node.Node) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.nodes = slices.DeleteFunc(pr.nodes, func(one *node.Node) bool { return one == nd })
}

func (pr *pair) search(i, n int) {
	vms := pr.vms()
	as := asked{by: fmt.Sprint("search ", i), query: pairQuery("search", i, n)}
	pr.attempt(&as, vms[(i+n)%len(vms)], wire.SearchRequest{Search: "lookup"})
	pr.keep(as)
}

// renew sends one search with a ticket to two VMs at the same time, and once
// more to a third afterwards.
func (pr *pair) renew(i, n int) {
	vms := pr.vms()
	vm := func(k int) *node.Node { return vms[(i+n+k)%len(vms)] }
	cl, err := client.NewCaller(client.Config{URL: "http://" + vm(0).Addrs().Caller, Timeout: patience})
	if err != nil {
		pr.t.Error(err)
		return
	}
	tickets, err := cl.Tickets(context.Background(), wire.TicketRequest{Team: "wash"})
	if err != nil || len(tickets.Tickets) != 1 {
		return // no ticket is no lie; each case counts the renewals that ran
	}
	as := asked{by: fmt.Sprint("renewal ", i), query: pairQuery("renewal", i, n), ticket: true}
	rq := wire.SearchRequest{Search: "renewal", Ticket: tickets.Tickets[0]}
	other := as
	met := make(chan struct{})
	go func() {
		defer close(met)
		pr.attempt(&other, vm(1), rq)
	}()
	pr.attempt(&as, vm(0), rq)
	<-met
	// Which of the two came first is not known, so neither can lie by having run
	// before the other's answer.
	as.attempts = append(as.attempts, other.attempts...)
	for k := range as.attempts {
		as.attempts[k].runsThen = 0
	}
	pr.attempt(&as, vm(2), rq)
	pr.keep(as)
}

// pairQuery finds all members in their own order; its text is like no other's.
func pairQuery(kind string, i, n int) string {
	return fmt.Sprintf(`{"orderBy":"%s %d %d"}`, kind, i, n)
}

func (pr *pair) attempt(as *asked, nd *node.Node, rq wire.SearchRequest) {
	cl, err := client.NewCaller(client.Config{URL: "http://" + nd.Addrs().Caller, Timeout: patience})
	if err != nil {
		pr.t.Error(err)
		return
	}
	rq.Team = "wash"
	rq.Query = json.RawMessage(as.query)
	an, err := cl.Search(context.Background(), rq)
	at := attempt{answer: an, err: err}
	if err == nil && an.Outcome == wire.OutcomeNotRun {
		at.runsThen = len(pr.st.Fleet().RunsOf(as.query))
	}
	as.attempts = append(as.attempts, at)
}

func (pr *pair) keep(as asked) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.asked = append(pr.asked, as)
}

// look notes the revision of each VM where it changed.
func (pr *pair) look() {
	for _, nd := range pr.vms() {
		for _, tm := range nd.Status().Teams {
			pr.mu.Lock()
			vm := nd.Addrs().Inner
			if seen := pr.revisions[vm]; len(seen) == 0 || seen[len(seen)-1] != tm.Revision {
				pr.revisions[vm] = append(seen, tm.Revision)
			}
			pr.mu.Unlock()
		}
	}
}

// count is how many kept searches fit.
func (pr *pair) count(fits func(asked) bool) int {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	n := 0
	for _, as := range pr.asked {
		if fits(as) {
			n++
		}
	}
	return n
}

// answered waits until so many more searches came to an end.
func (pr *pair) answered(more int) {
	pr.t.Helper()
	all := func(asked) bool { return true }
	from := pr.count(all)
	within(pr.t, "searches at an end", func() bool { return pr.count(all) >= from+more })
}

// round waits until every caller ended two searches, of which the second began
// after now.
func (pr *pair) round() {
	pr.t.Helper()
	by := func(name string) int { return pr.count(func(as asked) bool { return as.by == name }) }
	from := map[string]int{}
	for i := range pairSearchers {
		name := fmt.Sprint("search ", i)
		from[name] = by(name)
	}
	for i := range pairRenewers {
		name := fmt.Sprint("renewal ", i)
		from[name] = by(name)
	}
	within(pr.t, "two searches of each caller", func() bool {
		for name, n := range from {
			if by(name) < n+2 {
				return false
			}
		}
		return true
	})
}

// publish makes new members and splits them into so many shards.
func (pr *pair) publish(shards int) {
	pr.t.Helper()
	is := is.New(pr.t)
	pr.version++
	is.NoErr(renewMembers(pr.rg, pr.version))
	sn, err := pr.st.Fleet().Publish(shards)
	is.NoErr(err)
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.snapshots[sn.Version] = sn
}

// servers are one replica of each service.
func (pr *pair) servers(replica int) []emul.Server {
	var out []emul.Server
	for i, sv := range pr.st.Fleet().Servers() {
		if i%emul.DefaultReplicas == replica {
			out = append(out, sv)
		}
	}
	return out
}

// restart brings a crashed server back.
func (pr *pair) restart(sv emul.Server) {
	pr.t.Helper()
	is.New(pr.t).NoErr(sv.Upstream.Restart(wire.UpstreamServing))
}

// propose sends a change through a VM and gives its result.
func (pr *pair) propose(nd *node.Node, actor string, limit int, expect *uint64) wire.ChangeReply {
	doc := pr.st.Document()
	se := doc.Searches["lookup"]
	se.HitLimit = limit
	doc.Searches["lookup"] = se
	raw, err := json.Marshal(doc)
	if err != nil {
		pr.t.Error(err)
	}
	reply, err := nd.Change(context.Background(), oper.Proposal{Team: "wash", Document: raw, Actor: actor, Expect: expect})
	if err != nil {
		pr.t.Error(err)
	}
	return reply
}

// revision waits until every VM has this revision or a later one, and the same.
func (pr *pair) revision(least uint64) {
	pr.t.Helper()
	within(pr.t, "the revision at every VM", func() bool {
		seen := map[uint64]bool{}
		for _, nd := range pr.st.Nodes() {
			for _, tm := range nd.Status().Teams {
				seen[tm.Revision] = true
			}
		}
		revs := slices.Collect(maps.Keys(seen))
		return len(revs) == 1 && revs[0] >= least
	})
}

// healed waits until complete answers come from the newest snapshot again.
func (pr *pair) healed() {
	pr.t.Helper()
	newest := pr.st.Fleet().Current().Version
	whole := func(as asked) bool {
		an := as.attempts[0].answer
		return an.Outcome == wire.OutcomeComplete && an.Snapshot == newest
	}
	from := pr.count(whole)
	within(pr.t, "complete answers of the newest snapshot", func() bool { return pr.count(whole) >= from+50 })
}

// halt stops the traffic.
func (pr *pair) halt() {
	pr.once.Do(func() { close(pr.stop) })
	pr.done.Wait()
}

// end stops the traffic, lets the servers finish what they still have, and gives
// the record.
func (pr *pair) end() record {
	pr.t.Helper()
	pr.halt()
	within(pr.t, "idle servers", func() bool {
		for _, sv := range pr.st.Fleet().Servers() {
			if lo := sv.Upstream.Load(); lo.InFlight+lo.Queued > 0 {
				return false
			}
		}
		return true
	})
	return record{
		snapshots: pr.snapshots,
		runsOf:    pr.st.Fleet().RunsOf,
		asked:     pr.asked,
		revisions: pr.revisions,
	}
}
