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

// trafficLoad is a load of callers that search and callers that send each renewal twice, through the
// VMs whose health checks pass.
type trafficLoad struct {
	clu  *cluster
	stop context.CancelFunc
	ctx  context.Context
	done sync.WaitGroup

	mu      sync.Mutex
	healthy map[*vmProc]bool
	counts  map[*vmProc]int
	renewed int
	faults  []string
	queries []json.RawMessage
}

// startLoad starts the given numbers of searching and renewing callers. Like a balancer, they send no
// new requests to a VM whose health check fails.
func startLoad(clu *cluster, searchers, renewers int, vms ...*vmProc) *trafficLoad {
	lo := &trafficLoad{clu: clu, healthy: map[*vmProc]bool{}, counts: map[*vmProc]int{}}
	lo.ctx, lo.stop = context.WithCancel(context.Background())
	clu.t.Cleanup(lo.end)
	lo.checkHealth(vms)
	lo.repeat(func(int) { lo.checkHealth(vms) })
	for i := range searchers {
		lo.repeat(func(n int) { lo.search(vms[(i+n)%len(vms)], uniqueQuery(fmt.Sprintf("s%d", i), n)) })
	}
	for i := range renewers {
		lo.repeat(func(n int) { lo.renew(vms, i, n) })
	}
	return lo
}

func (lo *trafficLoad) repeat(f func(n int)) {
	lo.done.Add(1)
	go func() {
		defer lo.done.Done()
		for n := 0; lo.ctx.Err() == nil; n++ {
			f(n)
			time.Sleep(2 * time.Millisecond)
		}
	}()
}

// end stops the callers and waits until each has its answer.
func (lo *trafficLoad) end() {
	lo.stop()
	lo.done.Wait()
}

func (lo *trafficLoad) checkHealth(vms []*vmProc) {
	for _, vm := range vms {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		err := vm.caller.Health(ctx)
		cancel()
		lo.mu.Lock()
		lo.healthy[vm] = err == nil
		lo.mu.Unlock()
	}
}

func (lo *trafficLoad) isHealthy(vm *vmProc) bool {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	return lo.healthy[vm]
}

func (lo *trafficLoad) addFault(vm *vmProc, format string, args ...any) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.faults = append(lo.faults, vm.name+": "+fmt.Sprintf(format, args...))
}

func (lo *trafficLoad) search(vm *vmProc, query json.RawMessage) {
	if !lo.isHealthy(vm) {
		return
	}
	an, err := vm.caller.Search(context.Background(), wire.SearchRequest{Team: demoTeam, Search: "history", Query: query})
	if client.KindOf(err) == client.KindUnreachable {
		return // nothing was sent; a balancer would choose another VM
	}
	if err != nil || an.Outcome != wire.OutcomeComplete {
		lo.addFault(vm, "%s %s %v", an.Outcome, an.Reason, err)
		return
	}
	lo.mu.Lock()
	lo.counts[vm]++
	lo.mu.Unlock()
}

// renew takes a ticket from one VM and sends the renewal through that VM and then through the next.
// It ignores the answers; checkNoneRanTwice checks what ran.
func (lo *trafficLoad) renew(vms []*vmProc, i, n int) {
	issuer, other := vms[n%len(vms)], vms[(n+1)%len(vms)]
	if !lo.isHealthy(issuer) {
		return
	}
	ry, err := issuer.caller.Tickets(context.Background(), wire.TicketRequest{Team: demoTeam})
	if err != nil || len(ry.Tickets) == 0 {
		return // no ticket, so nothing to send
	}
	query := uniqueQuery(fmt.Sprintf("r%d", i), n)
	lo.mu.Lock()
	lo.queries = append(lo.queries, query)
	lo.mu.Unlock()
	rq := renewal(ry.Tickets[0], query)
	for _, vm := range []*vmProc{issuer, other} {
		// The renewal is sent again whatever the first answer was.
		_, _ = vm.caller.Search(context.Background(), rq)
	}
	lo.mu.Lock()
	lo.renewed++
	lo.mu.Unlock()
}

// awaitTraffic waits until each of the VMs has answered 30 more searches.
func (lo *trafficLoad) awaitTraffic(t *testing.T, vms ...*vmProc) {
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

// checkNoneRanTwice checks in the record of the upstreams that no renewal ran twice on a shard.
func (lo *trafficLoad) checkNoneRanTwice(t *testing.T) {
	t.Helper()
	is := is.New(t)
	is.True(len(lo.queries) > 0)
	ran := 0
	for _, query := range lo.queries {
		ry := lo.clu.runs(query)
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

// faultsOf returns the failures of searches on these VMs.
func (lo *trafficLoad) faultsOf(vms ...*vmProc) []string {
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
