package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/io/client"
	"laburnumvane/io/wire"
)

// load is callers that search, and others that renew with a ticket twice, each
// through any VM that its health check lets them choose.
type load struct {
	wd   *world
	stop context.CancelFunc
	ctx  context.Context
	done sync.WaitGroup

	mu      sync.Mutex
	fit     map[*vmProc]bool
	counts  map[*vmProc]int
	renewed int
	faults  []string
	queries []json.RawMessage
}

// startLoad lets so many callers search and renew on the VMs. A VM that is no
// longer wanted is left out as a balancer would: by its health check.
func startLoad(wd *world, searchers, renewers int, vms ...*vmProc) *load {
	lo := &load{wd: wd, fit: map[*vmProc]bool{}, counts: map[*vmProc]int{}}
	lo.ctx, lo.stop = context.WithCancel(context.Background())
	wd.t.Cleanup(lo.end)
	lo.check(vms)
	lo.each(func(int) { lo.check(vms) })
	for i := range searchers {
		lo.each(func(n int) { lo.search(vms[(i+n)%len(vms)], ownQuery(fmt.Sprintf("s%d", i), n)) })
	}
	for i := range renewers {
		lo.each(func(n int) { lo.renew(vms, i, n) })
	}
	return lo
}

func (lo *load) each(f func(n int)) {
	lo.done.Add(1)
	go func() {
		defer lo.done.Done()
		for n := 0; lo.ctx.Err() == nil; n++ {
			f(n)
			time.Sleep(2 * time.Millisecond)
		}
	}()
}

// end stops the callers once each has its answer.
func (lo *load) end() {
	lo.stop()
	lo.done.Wait()
}

func (lo *load) check(vms []*vmProc) {
	for _, vm := range vms {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		err := vm.caller.Health(ctx)
		cancel()
		lo.mu.Lock()
		lo.fit[vm] = err == nil
		lo.mu.Unlock()
	}
}

func (lo *load) isFit(vm *vmProc) bool {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	return lo.fit[vm]
}

func (lo *load) fault(vm *vmProc, format string, args ...any) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.faults = append(lo.faults, vm.name+": "+fmt.Sprintf(format, args...))
}

func (lo *load) search(vm *vmProc, query json.RawMessage) {
	if !lo.isFit(vm) {
		return
	}
	an, err := vm.caller.Search(context.Background(), wire.SearchRequest{Team: demoTeam, Search: "history", Query: query})
	if client.KindOf(err) == client.KindUnreachable {
		return // no byte was sent; a balancer would choose another
	}
	if err != nil || an.Outcome != wire.OutcomeComplete {
		lo.fault(vm, "%s %s %v", an.Outcome, an.Reason, err)
		return
	}
	lo.mu.Lock()
	lo.counts[vm]++
	lo.mu.Unlock()
}

// renew takes a ticket of one VM, and sends the search through it and then
// through the next. What it is told is counted; what ran is asked at the end.
func (lo *load) renew(vms []*vmProc, i, n int) {
	issuer, other := vms[n%len(vms)], vms[(n+1)%len(vms)]
	if !lo.isFit(issuer) {
		return
	}
	ry, err := issuer.caller.Tickets(context.Background(), wire.TicketRequest{Team: demoTeam})
	if err != nil || len(ry.Tickets) == 0 {
		return // a ticket not had costs nothing
	}
	query := ownQuery(fmt.Sprintf("r%d", i), n)
	lo.mu.Lock()
	lo.queries = append(lo.queries, query)
	lo.mu.Unlock()
	rq := renewal(ry.Tickets[0], query)
	for _, vm := range []*vmProc{issuer, other} {
		// A caller in doubt asks again, whatever it was told.
		_, _ = vm.caller.Search(context.Background(), rq)
	}
	lo.mu.Lock()
	lo.renewed++
	lo.mu.Unlock()
}

// flows waits until each of the VMs has answered 30 more searches.
func (lo *load) flows(t *testing.T, vms ...*vmProc) {
	t.Helper()
	const more = 30
	lo.mu.Lock()
	from := make([]int, len(vms))
	for i, vm := range vms {
		from[i] = lo.counts[vm]
	}
	lo.mu.Unlock()
	eventually(t, "searches are answered", func() bool {
		lo.mu.Lock()
		defer lo.mu.Unlock()
		for i, vm := range vms {
			if lo.counts[vm] < from[i]+more {
				return false
			}
		}
		return true
	})
}

// noneTwice asks the upstreams: no renewal may have run on a shard twice.
func (lo *load) noneTwice(t *testing.T) {
	t.Helper()
	is := is.New(t)
	is.True(len(lo.queries) > 0)
	ran := 0
	for _, query := range lo.queries {
		ry := lo.wd.runs(query)
		is.True(ry.MostOfShard <= 1)
		ran += ry.MostOfShard
	}
	is.True(ran > 0)
	t.Logf("%d renewals sent twice, %d of them ran, none twice; searches answered: %d", len(lo.queries), ran, sum(lo.counts))
}

func sum(counts map[*vmProc]int) int {
	all := 0
	for _, n := range counts {
		all += n
	}
	return all
}

// faultsOf lists the faults of searches on these VMs.
func (lo *load) faultsOf(vms ...*vmProc) []string {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	var out []string
	for _, fa := range lo.faults {
		for _, vm := range vms {
			if len(fa) > len(vm.name) && fa[:len(vm.name)+1] == vm.name+":" {
				out = append(out, fa)
			}
		}
	}
	return out
}
