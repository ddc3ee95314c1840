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
	// pairInterval is the pause of a caller between searches. It keeps the load below what a busy
	// machine can answer.
	pairInterval = 4 * time.Millisecond
)

// pairRun is a site under traffic while two or more faults are injected.
type pairRun struct {
	t       *testing.T
	st      *site.Site
	rg      *emul.Register
	version int

	stop chan struct{}
	once sync.Once
	done sync.WaitGroup

	mu        sync.Mutex
	nodes     []*node.Node
	searches  []searchRecord
	snapshots map[uint64]*emul.Snapshot
	revisions map[string][]uint64
}

func startPairRun(t *testing.T) *pairRun {
	t.Helper()
	is := is.New(t)
	rg := emul.NewRegister("members")
	is.NoErr(updateMembers(rg, 0))
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
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	is.NoErr(st.WaitReady(ctx))
	pr := &pairRun{
		t: t, st: st, rg: rg,
		stop:      make(chan struct{}),
		nodes:     slices.Clone(st.Nodes()),
		snapshots: map[uint64]*emul.Snapshot{1: st.Fleet().Current()},
		revisions: map[string][]uint64{},
	}
	t.Cleanup(pr.stopTraffic)
	for i := range pairSearchers {
		pr.repeat(func(n int) { pr.search(i, n) })
	}
	for i := range pairRenewers {
		pr.repeat(func(n int) { pr.renew(i, n) })
	}
	pr.repeat(func(int) { pr.recordRevisions() })
	pr.awaitSearches(100)
	return pr
}

func (pr *pairRun) repeat(f func(n int)) {
	pr.done.Add(1)
	go func() {
		defer pr.done.Done()
		for n := 0; ; n++ {
			select {
			case <-pr.stop:
				return
			case <-time.After(pairInterval):
				f(n)
			}
		}
	}()
}

// vms returns the VMs that callers use. A killed VM stays among them until dropVM is called, as with
// a balancer that lags behind.
func (pr *pairRun) vms() []*node.Node {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return slices.Clone(pr.nodes)
}

func (pr *pairRun) addVM(nd *node.Node) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.nodes = append(pr.nodes, nd)
}

func (pr *pairRun) dropVM(nd *node.Node) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.nodes = slices.DeleteFunc(pr.nodes, func(other *node.Node) bool { return other == nd })
}

func (pr *pairRun) search(i, n int) {
	vms := pr.vms()
	as := searchRecord{caller: fmt.Sprint("search ", i), query: pairQuery("search", i, n)}
	pr.attempt(&as, vms[(i+n)%len(vms)], wire.SearchRequest{Search: "lookup"})
	pr.recordSearch(as)
}

// renew sends a search with a ticket to two VMs at the same time, and then to a third one.
func (pr *pairRun) renew(i, n int) {
	vms := pr.vms()
	vm := func(k int) *node.Node { return vms[(i+n+k)%len(vms)] }
	cl, err := client.NewCaller(client.Config{URL: "http://" + vm(0).Addrs().Caller, Timeout: waitTimeout})
	if err != nil {
		pr.t.Error(err)
		return
	}
	tickets, err := cl.Tickets(context.Background(), wire.TicketRequest{Team: "wash"})
	if err != nil || len(tickets.Tickets) != 1 {
		return // no violation; logOutcomes checks that some renewals ran
	}
	as := searchRecord{caller: fmt.Sprint("renewal ", i), query: pairQuery("renewal", i, n), ticket: true}
	rq := wire.SearchRequest{Search: "renewal", Ticket: tickets.Tickets[0]}
	other := as
	otherDone := make(chan struct{})
	go func() {
		defer close(otherDone)
		pr.attempt(&other, vm(1), rq)
	}()
	pr.attempt(&as, vm(0), rq)
	<-otherDone
	// The order of the two attempts is not known. So it is no violation if one reports "not run" after
	// the other has run.
	as.attempts = append(as.attempts, other.attempts...)
	for k := range as.attempts {
		as.attempts[k].runsAtAnswer = 0
	}
	pr.attempt(&as, vm(2), rq)
	pr.recordSearch(as)
}

// pairQuery returns a query that finds all members in their default order and has a unique text.
func pairQuery(kind string, i, n int) string {
	return fmt.Sprintf(`{"orderBy":"%s %d %d"}`, kind, i, n)
}

func (pr *pairRun) attempt(as *searchRecord, nd *node.Node, rq wire.SearchRequest) {
	cl, err := client.NewCaller(client.Config{URL: "http://" + nd.Addrs().Caller, Timeout: waitTimeout})
	if err != nil {
		pr.t.Error(err)
		return
	}
	rq.Team = "wash"
	rq.Query = json.RawMessage(as.query)
	an, err := cl.Search(context.Background(), rq)
	at := attempt{answer: an, err: err}
	if err == nil && an.Outcome == wire.OutcomeNotRun {
		at.runsAtAnswer = len(pr.st.Fleet().RunsOf(as.query))
	}
	as.attempts = append(as.attempts, at)
}

func (pr *pairRun) recordSearch(as searchRecord) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.searches = append(pr.searches, as)
}

// recordRevisions records the revision of each VM if it has changed.
func (pr *pairRun) recordRevisions() {
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

// countSearches returns the number of recorded searches that fit.
func (pr *pairRun) countSearches(fits func(searchRecord) bool) int {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	n := 0
	for _, as := range pr.searches {
		if fits(as) {
			n++
		}
	}
	return n
}

// awaitSearches waits until the given number of further searches have ended.
func (pr *pairRun) awaitSearches(more int) {
	pr.t.Helper()
	all := func(searchRecord) bool { return true }
	from := pr.countSearches(all)
	eventually(pr.t, "searches that have ended", func() bool { return pr.countSearches(all) >= from+more })
}

// awaitRound waits until every caller has ended two searches, the second of which started after the
// call.
func (pr *pairRun) awaitRound() {
	pr.t.Helper()
	by := func(name string) int {
		return pr.countSearches(func(as searchRecord) bool { return as.caller == name })
	}
	from := map[string]int{}
	for i := range pairSearchers {
		name := fmt.Sprint("search ", i)
		from[name] = by(name)
	}
	for i := range pairRenewers {
		name := fmt.Sprint("renewal ", i)
		from[name] = by(name)
	}
	eventually(pr.t, "two searches of each caller", func() bool {
		for name, n := range from {
			if by(name) < n+2 {
				return false
			}
		}
		return true
	})
}

// publishSnapshot updates the members and publishes them as a snapshot of the given number of shards.
func (pr *pairRun) publishSnapshot(shards int) {
	pr.t.Helper()
	is := is.New(pr.t)
	pr.version++
	is.NoErr(updateMembers(pr.rg, pr.version))
	sn, err := pr.st.Fleet().Publish(shards)
	is.NoErr(err)
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.snapshots[sn.Version] = sn
}

// replicas returns the replica with this index of each service.
func (pr *pairRun) replicas(replica int) []emul.Server {
	var out []emul.Server
	for i, sv := range pr.st.Fleet().Servers() {
		if i%emul.DefaultReplicas == replica {
			out = append(out, sv)
		}
	}
	return out
}

// restart restarts a crashed server.
func (pr *pairRun) restart(sv emul.Server) {
	pr.t.Helper()
	is.New(pr.t).NoErr(sv.Upstream.Restart(wire.UpstreamServing))
}

// propose submits a change through a VM and returns the result.
func (pr *pairRun) propose(nd *node.Node, actor string, limit int, expect *uint64) wire.ChangeReply {
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

// awaitRevision waits until all VMs have the same revision, which is at least this one.
func (pr *pairRun) awaitRevision(least uint64) {
	pr.t.Helper()
	eventually(pr.t, "the revision at every VM", func() bool {
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

// awaitRecovered waits for 50 complete answers of the newest snapshot.
func (pr *pairRun) awaitRecovered() {
	pr.t.Helper()
	newest := pr.st.Fleet().Current().Version
	whole := func(as searchRecord) bool {
		an := as.attempts[0].answer
		return an.Outcome == wire.OutcomeComplete && an.Snapshot == newest
	}
	from := pr.countSearches(whole)
	eventually(pr.t, "complete answers of the newest snapshot", func() bool { return pr.countSearches(whole) >= from+50 })
}

// stopTraffic stops the callers and waits for them. It may be called more than once.
func (pr *pairRun) stopTraffic() {
	pr.once.Do(func() { close(pr.stop) })
	pr.done.Wait()
}

// finish stops the traffic, waits until the servers are idle, and returns the record.
func (pr *pairRun) finish() trafficRecord {
	pr.t.Helper()
	pr.stopTraffic()
	eventually(pr.t, "idle servers", func() bool {
		for _, sv := range pr.st.Fleet().Servers() {
			if lo := sv.Upstream.Load(); lo.InFlight+lo.Queued > 0 {
				return false
			}
		}
		return true
	})
	return trafficRecord{
		snapshots: pr.snapshots,
		runsOf:    pr.st.Fleet().RunsOf,
		searches:  pr.searches,
		revisions: pr.revisions,
	}
}
