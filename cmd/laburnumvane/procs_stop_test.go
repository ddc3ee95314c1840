package main

import (
	"context"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/io/emul"
	"laburnumvane/io/wire"
)

// A VM receives SIGTERM under load and, while it still serves for the balancer lag, a second SIGTERM.
// Its health check fails first, and callers stop sending to it. Every search sent must get a complete
// answer, including those in flight at either signal. The process exits with code 0, and the log has
// one stop.
func TestProcsStopUnderLoad(t *testing.T) {
	is := is.New(t)
	clu := startCluster(t, clusterConfig{
		vms: 3, serviceTime: 2 * time.Millisecond, hardDeadline: 10 * time.Second,
		serve: []string{"--max-deadline", "10s", "--balancer-lag", "2s", "--stop-grace", "30s", "--ticket-ttl", "10s"},
	})
	leaving := clu.vms[0]
	lo := startLoad(clu, 6, 2, clu.vms...)
	lo.awaitTraffic(t, clu.vms...)
	clu.setSlowdown(100)
	pending := leaving.searchAsync(wire.SearchRequest{Team: demoTeam, Search: "history", Query: uniqueQuery("aside", 0)})
	eventually(t, "a search is in flight", func() bool { return clu.runs(uniqueQuery("aside", 0)).Total > 0 })
	leaving.signal(syscall.SIGTERM)
	eventually(t, "its health check fails", func() bool { return leaving.caller.Health(t.Context()) != nil })
	leaving.signal(syscall.SIGTERM)
	got := <-pending
	is.NoErr(got.err)
	is.Equal(got.an.Outcome, wire.OutcomeComplete)
	clu.setSlowdown(1)
	is.Equal(leaving.exitCode(), 0)
	lo.awaitTraffic(t, clu.vms[1:]...)
	lo.end()
	is.Equal(lo.faultsOf(clu.vms...), nil)
	is.Equal(strings.Count(leaving.log.String(), `"message":"stopped"`), 1)
	is.Equal(strings.Count(leaving.log.String(), `"message":"leaving`), 1)
	lo.checkNoneRanTwice(t)
}

// SIGTERM arrives while a VM starts up. The key-value service answers only after minutes, so the VM
// has no configuration, and no balancer has connected yet. The VM must exit with code 0 without
// waiting for the balancer lag, which is longer than the test's time-out.
func TestProcsStopDuringBoot(t *testing.T) {
	is := is.New(t)
	clu := startCluster(t, clusterConfig{vms: 1, serviceTime: time.Millisecond, hardDeadline: 10 * time.Second})
	clu.vms[0].kill()
	is.NoErr(clu.admin.KV(t.Context(), emul.KVFaultRequest{SlowMs: (10 * time.Minute).Milliseconds()}))
	vm := clu.startVM(0, "--balancer-lag", (2 * waitTimeout).String(), "--max-deadline", "1s", "--stop-grace", (4 * waitTimeout).String())
	eventually(t, "it listens for operators", func() bool {
		cn, err := net.Dial("tcp", vm.plan.Operator)
		if err != nil {
			return false
		}
		return cn.Close() == nil
	})
	st, err := vm.operator.Status(t.Context())
	is.NoErr(err)
	is.Equal(len(st.Teams), 0)
	vm.signal(syscall.SIGTERM)
	is.Equal(vm.exitCode(), 0)
}

// The upstreams hang, and another VM keeps forwarding renewals to a VM that is stopping, as only the
// issuer of a ticket can answer for it. So searches are in flight when the stop grace ends. The
// process must not wait any longer: it cuts them off, logs that, and exits with code 1. The answers
// are "unknown", or "not run" if the record of the upstreams confirms it.
func TestProcsSearchLongerThanGrace(t *testing.T) {
	is := is.New(t)
	clu := startCluster(t, clusterConfig{
		vms: 2, serviceTime: time.Millisecond, hardDeadline: 2 * time.Second,
		serve: []string{"--max-deadline", "2s", "--balancer-lag", "200ms", "--stop-grace", "2500ms"},
	})
	leaving, other := clu.vms[0], clu.vms[1]
	const each, callers = 50, 4
	ry, err := leaving.caller.Tickets(t.Context(), wire.TicketRequest{Team: demoTeam, Count: each * callers})
	is.NoErr(err)
	clu.setSlowdown(60_000)
	var wg sync.WaitGroup
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	got := make([]searchResult, each*callers)
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := i * each; n < (i+1)*each && ctx.Err() == nil; n++ {
				got[n].an, got[n].err = other.caller.Search(context.Background(), renewal(ry.Tickets[n], uniqueQuery("long", n)))
			}
		}()
	}
	eventually(t, "renewals are in flight", func() bool { return leaving.metric(t, "inFlight.searches") >= callers })
	leaving.signal(syscall.SIGTERM)
	is.Equal(leaving.exitCode(), exitFailure)
	stop()
	wg.Wait()
	for n, res := range got {
		is.NoErr(res.err)
		if res.an.Outcome == wire.OutcomeNotRun {
			is.Equal(clu.runs(uniqueQuery("long", n)).Total, uint64(0))
		} else if res.an.Outcome != "" {
			is.Equal(res.an.Outcome, wire.OutcomeUnknown)
		}
	}
	is.Equal(got[0].an.Outcome, wire.OutcomeUnknown)
	is.True(strings.Contains(leaving.log.String(), "searches in flight; they were cut off"))
	is.True(!strings.Contains(leaving.log.String(), `"cutOff":0`))
}
