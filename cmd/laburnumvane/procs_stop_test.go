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

// A VM gets SIGTERM under load and, while it goes on serving for the balancer's
// lag, a second one. Callers go by its health check, which fails first. Every
// search that was sent is answered whole, those in flight at both signals too;
// the process ends by itself with code 0 and the log tells of one stop.
func TestProcsStopUnderLoad(t *testing.T) {
	is := is.New(t)
	wd := startWorld(t, worldConfig{
		vms: 3, serviceTime: 2 * time.Millisecond, hardDeadline: 10 * time.Second,
		serve: []string{"--max-deadline", "10s", "--balancer-lag", "2s", "--stop-grace", "30s", "--ticket-ttl", "10s"},
	})
	leaving := wd.vms[0]
	lo := startLoad(wd, 6, 2, wd.vms...)
	lo.flows(t, wd.vms...)
	wd.slow(100)
	aside := leaving.searchAside(wire.SearchRequest{Team: demoTeam, Search: "history", Query: ownQuery("aside", 0)})
	eventually(t, "a search is in flight", func() bool { return wd.runs(ownQuery("aside", 0)).Total > 0 })
	leaving.signal(syscall.SIGTERM)
	eventually(t, "its health fails", func() bool { return leaving.caller.Health(t.Context()) != nil })
	leaving.signal(syscall.SIGTERM)
	got := <-aside
	is.NoErr(got.err)
	is.Equal(got.an.Outcome, wire.OutcomeComplete)
	wd.slow(1)
	is.Equal(leaving.exitCode(), 0)
	lo.flows(t, wd.vms[1:]...)
	lo.end()
	is.Equal(lo.faultsOf(wd.vms...), nil)
	is.Equal(strings.Count(leaving.log.String(), `"message":"stopped"`), 1)
	is.Equal(strings.Count(leaving.log.String(), `"message":"leaving`), 1)
	lo.noneTwice(t)
}

// SIGTERM comes while a VM boots: the key-value service is slow by minutes, so
// that it holds no configuration, and no balancer has ever connected. It must
// end with code 0 and not wait for the lag, here longer than the test waits.
func TestProcsStopDuringBoot(t *testing.T) {
	is := is.New(t)
	wd := startWorld(t, worldConfig{vms: 1, serviceTime: time.Millisecond, hardDeadline: 10 * time.Second})
	wd.vms[0].kill()
	is.NoErr(wd.admin.KV(t.Context(), emul.KVFaultRequest{SlowMs: (10 * time.Minute).Milliseconds()}))
	vm := wd.boot(0, "--balancer-lag", (2 * patience).String(), "--max-deadline", "1s", "--stop-grace", (4 * patience).String())
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

// The upstreams hang, and other VMs go on forwarding renewals to a VM that is
// leaving, for it alone may answer for its tickets. So something is in flight
// whenever the grace ends. The process must not wait on: it cuts it off, says so
// in its log and exits with 1. The callers are told unknown, or "not run" where
// the upstreams' record agrees.
func TestProcsSearchLongerThanGrace(t *testing.T) {
	is := is.New(t)
	wd := startWorld(t, worldConfig{
		vms: 2, serviceTime: time.Millisecond, hardDeadline: 2 * time.Second,
		serve: []string{"--max-deadline", "2s", "--balancer-lag", "200ms", "--stop-grace", "2500ms"},
	})
	leaving, other := wd.vms[0], wd.vms[1]
	const each, callers = 50, 4
	ry, err := leaving.caller.Tickets(t.Context(), wire.TicketRequest{Team: demoTeam, Count: each * callers})
	is.NoErr(err)
	wd.slow(60_000)
	var wg sync.WaitGroup
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	got := make([]answered, each*callers)
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := i * each; n < (i+1)*each && ctx.Err() == nil; n++ {
				got[n].an, got[n].err = other.caller.Search(context.Background(), renewal(ry.Tickets[n], ownQuery("long", n)))
			}
		}()
	}
	eventually(t, "renewals are in flight", func() bool { return leaving.metric(t, "inFlight.searches") >= callers })
	leaving.signal(syscall.SIGTERM)
	is.Equal(leaving.exitCode(), exitFailure)
	stop()
	wg.Wait()
	for n, one := range got {
		is.NoErr(one.err)
		if one.an.Outcome == wire.OutcomeNotRun {
			is.Equal(wd.runs(ownQuery("long", n)).Total, uint64(0))
		} else if one.an.Outcome != "" {
			is.Equal(one.an.Outcome, wire.OutcomeUnknown)
		}
	}
	is.Equal(got[0].an.Outcome, wire.OutcomeUnknown)
	is.True(strings.Contains(leaving.log.String(), "searches in flight; they were cut off"))
	is.True(!strings.Contains(leaving.log.String(), `"cutOff":0`))
}
