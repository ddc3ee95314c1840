package main

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/io/drive"
	"laburnumvane/io/emul"
	"laburnumvane/io/wire"
)

// A VM is frozen while it runs a renewal. While it is frozen, another renewal arrives at its sockets,
// once directly from a caller and once forwarded. Meanwhile the tickets expire, and the register is
// resharded twice, so that the snapshot of the first run no longer exists. Requests through the other
// VMs are answered "unknown". When the VM is resumed, it reads the requests that waited in its
// sockets. It must not run the one with the expired ticket, and its answers must count the shards of
// the snapshot that they name.
func TestProcsFrozenWithTickets(t *testing.T) {
	is := is.New(t)
	clu := startCluster(t, clusterConfig{
		vms: 3, serviceTime: time.Millisecond, hardDeadline: 3 * time.Second,
		serve: []string{"--max-deadline", "3s", "--ticket-ttl", "3s"},
	})
	frozen, other, third := clu.vms[0], clu.vms[1], clu.vms[2]
	clu.setSlowdown(2000)
	running := renewal(clu.ticket(frozen), uniqueQuery("running", 0))
	first := frozen.searchAsync(running)
	eventually(t, "the renewal runs on every shard", func() bool { return clu.runs(running.Query).Total == uint64(clu.stage.Shards) })
	issued, err := frozen.caller.Tickets(t.Context(), wire.TicketRequest{Team: demoTeam})
	is.NoErr(err)
	expires := time.After(time.Duration(issued.ExpiresMs)*time.Millisecond + time.Second)
	waiting := renewal(issued.Tickets[0], uniqueQuery("waiting", 0))
	frozen.signal(syscall.SIGSTOP)
	awaitStopped(t, frozen.proc)

	direct := frozen.searchAsync(waiting)
	forwarded, again := third.searchAsync(waiting), other.searchAsync(running)
	for _, done := range []<-chan searchResult{forwarded, again} {
		got := <-done
		is.NoErr(got.err)
		is.Equal(got.an.Outcome, wire.OutcomeUnknown)
	}
	shards := map[uint64]int{1: clu.stage.Shards}
	for range 2 {
		sn, err := clu.admin.Snapshot(t.Context(), emul.SnapshotRequest{Shards: 9})
		is.NoErr(err)
		shards[sn.Snapshot] = sn.Shards
	}
	clu.setSlowdown(1)
	eventually(t, "the other VMs no longer see it as live", func() bool { return stateOf(other, frozen) != "live" && stateOf(third, frozen) != "live" })
	<-expires // the freeze lasts until the tickets have expired
	frozen.signal(syscall.SIGCONT)

	got := <-first
	is.NoErr(got.err)
	checkShardCount(t, got.an, shards)
	is.True(got.an.Snapshot <= 1)
	got = <-direct
	is.NoErr(got.err)
	is.Equal(got.an.Outcome, wire.OutcomeUnknown)
	is.Equal(got.an.Reason, drive.ReasonTicketExpired)

	var last wire.SearchAnswer
	eventually(t, "the resumed VM searches the newest snapshot", func() bool {
		var err error
		last, err = frozen.caller.Search(t.Context(), wire.SearchRequest{Team: demoTeam, Search: "history", Query: []byte(`{"member":"m000042"}`)})
		is.NoErr(err)
		checkShardCount(t, last, shards)
		if last.Outcome == wire.OutcomeComplete {
			is.Equal(len(last.Hits), 1)
		}
		return last.Outcome == wire.OutcomeComplete && last.Snapshot == 3
	})
	eventually(t, "its health check passes again", func() bool { return frozen.caller.Health(t.Context()) == nil })
	for _, vm := range clu.vms {
		an, err := vm.caller.Search(t.Context(), waiting)
		is.NoErr(err)
		is.Equal(an.Outcome, wire.OutcomeUnknown)
	}
	is.Equal(clu.runs(waiting.Query).Total, uint64(0))
	is.Equal(clu.runs(running.Query).MostOfShard, 1)
}

// checkShardCount checks that an answer counts the shards of the snapshot that it names.
func checkShardCount(t *testing.T, an wire.SearchAnswer, shards map[uint64]int) {
	t.Helper()
	if an.Outcome == wire.OutcomeComplete || an.Outcome == wire.OutcomePartial {
		is.New(t).Equal(an.Coverage.Shards, shards[an.Snapshot])
	}
}

// A VM is frozen while a search waits in its socket. Meanwhile the register is resharded from six
// shards to nine, and the servers answer with the newest snapshot, whichever is requested. The resumed
// VM still assumes six shards. It must not report six of the nine shards as the whole register. The
// search is for a member in none of the first six of nine shards, so that such an answer would lack it.
func TestProcsFrozenOverNewSnapshot(t *testing.T) {
	is := is.New(t)
	const before, after = 6, 9
	clu := startCluster(t, clusterConfig{
		vms: 2, serviceTime: time.Millisecond, hardDeadline: 10 * time.Second, emulate: []string{"--reports-only"},
	})
	is.Equal(clu.stage.Shards, before)
	frozen, other := clu.vms[0], clu.vms[1]
	rq := wire.SearchRequest{Team: demoTeam, Search: "history", Query: fmt.Appendf(nil, `{"member":%q}`, memberOutsideShards(before, after))}
	an, err := frozen.caller.Search(t.Context(), rq)
	is.NoErr(err)
	is.Equal(len(an.Hits), 1)

	frozen.signal(syscall.SIGSTOP)
	awaitStopped(t, frozen.proc)
	waiting := frozen.searchAsync(rq)
	sn, err := clu.admin.Snapshot(t.Context(), emul.SnapshotRequest{Shards: after})
	is.NoErr(err)
	eventually(t, "the other VM searches the new snapshot", func() bool {
		an, err := other.caller.Search(t.Context(), rq)
		return err == nil && an.Outcome == wire.OutcomeComplete && an.Snapshot == sn.Snapshot
	})
	frozen.signal(syscall.SIGCONT)
	shards := map[uint64]int{1: before, sn.Snapshot: after}
	got := <-waiting
	is.NoErr(got.err)
	t.Logf("the search that waited: %s %s, snapshot %d, %d of %d", got.an.Outcome, got.an.Reason, got.an.Snapshot, got.an.Coverage.Answered, got.an.Coverage.Shards)
	checkCompleteHasHit(t, got.an, shards)
	eventually(t, "the resumed VM searches the new snapshot", func() bool {
		an, err := frozen.caller.Search(t.Context(), rq)
		is.NoErr(err)
		checkCompleteHasHit(t, an, shards)
		return an.Outcome == wire.OutcomeComplete && an.Snapshot == sn.Snapshot
	})
}

// memberOutsideShards returns a sample member that is in none of the first shards, where all is the
// number of shards.
func memberOutsideShards(first, all int) string {
	for i := 0; ; i++ {
		id := fmt.Sprintf("m%06d", i)
		if emul.ShardOf(id, all) >= first {
			return id
		}
	}
}

// checkCompleteHasHit checks the shard count and that an answer marked complete has the one hit.
func checkCompleteHasHit(t *testing.T, an wire.SearchAnswer, shards map[uint64]int) {
	t.Helper()
	checkShardCount(t, an, shards)
	if an.Outcome == wire.OutcomeComplete {
		is.New(t).Equal(len(an.Hits), 1)
	}
}

// stateOf returns the state of the VM of as the VM on reports it, or "" if it does not list it.
func stateOf(on, of *vmProc) string {
	for _, vm := range on.status().VMs {
		if vm.Addr == of.plan.Inner {
			return vm.State
		}
	}
	return ""
}

// Two of the three VMs of a data centre watch the key-value service. Both are frozen; the third takes
// over the watch, and a change takes effect without them. Then the service serves stale reads from
// before the change, and the two VMs are resumed. No VM's revision may decrease because of what they
// hold or read, and they must get the change from the other VMs.
func TestProcsFrozenWatchers(t *testing.T) {
	is := is.New(t)
	clu := startCluster(t, clusterConfig{
		vms: 4, dataCentres: []string{"east", "east", "east", "west"}, serviceTime: time.Millisecond, hardDeadline: 10 * time.Second,
	})
	far := clu.vms[3]
	watchers, third := splitWatchers(t, clu.vms[:3])
	is.NoErr(clu.admin.KV(t.Context(), emul.KVFaultRequest{Remember: true}))
	mon := monitorRevisions(clu.vms)
	defer mon.end()
	before := third.metric(t, "platform.watch")
	for _, vm := range watchers {
		vm.signal(syscall.SIGSTOP)
	}
	eventually(t, "the third watches", func() bool { return third.metric(t, "platform.watch") > before })
	rev := clu.submitChange(far, setHitLimit(3))
	for _, vm := range []*vmProc{far, third} {
		eventually(t, vm.name+" has the change", func() bool { return vm.revision() == rev })
	}
	is.NoErr(clu.admin.KV(t.Context(), emul.KVFaultRequest{Past: true}))
	for _, vm := range watchers {
		vm.signal(syscall.SIGCONT)
	}
	for _, vm := range watchers {
		eventually(t, vm.name+" has the change after it is resumed", func() bool { return vm.revision() == rev })
	}
	is.NoErr(clu.admin.KV(t.Context(), emul.KVFaultRequest{}))
	is.Equal(clu.changeConfig(watchers[0], setHitLimit(4)), rev+1)
	mon.end()
	is.Equal(mon.decreases, nil)
	is.True(mon.samples > 0)
}

// splitWatchers waits until two of three VMs watch, and returns them and the one that does not.
func splitWatchers(t *testing.T, vms []*vmProc) (watchers []*vmProc, third *vmProc) {
	t.Helper()
	eventually(t, "two of three watch", func() bool {
		watchers, third = nil, nil
		for _, vm := range vms {
			if vm.metric(t, "platform.watch") > 0 {
				watchers = append(watchers, vm)
			} else {
				third = vm
			}
		}
		return len(watchers) == 2
	})
	return watchers, third
}

// revisionMonitor polls the configuration revisions of VMs and records each decrease.
type revisionMonitor struct {
	stop chan struct{}
	once sync.Once
	done sync.WaitGroup

	mu        sync.Mutex
	samples   int
	decreases []string
}

func monitorRevisions(vms []*vmProc) *revisionMonitor {
	mon := &revisionMonitor{stop: make(chan struct{})}
	for _, vm := range vms {
		mon.done.Add(1)
		go mon.watch(vm)
	}
	return mon
}

func (mon *revisionMonitor) watch(vm *vmProc) {
	defer mon.done.Done()
	highest := uint64(0)
	for {
		select {
		case <-mon.stop:
			return
		case <-time.After(pollInterval):
		}
		rev := vm.revision()
		if rev == 0 {
			continue // frozen or not started yet
		}
		mon.mu.Lock()
		mon.samples++
		if rev < highest {
			mon.decreases = append(mon.decreases, fmt.Sprintf("%s: %d after %d", vm.name, rev, highest))
		}
		mon.mu.Unlock()
		highest = max(highest, rev)
	}
}

func (mon *revisionMonitor) end() {
	mon.once.Do(func() { close(mon.stop) })
	mon.done.Wait()
}
