package node

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/phuslu/log"

	"laburnumvane/core/conns"
	"laburnumvane/core/pick"
	"laburnumvane/core/server"
	"laburnumvane/core/team"
	"laburnumvane/core/view"
	"laburnumvane/io/meter"
	"laburnumvane/io/setup"
	"laburnumvane/io/upst"
)

// newBenchControl returns a control with only its upstreams, on a VM without listeners.
func newBenchControl() *control {
	set := setup.Defaults()
	set.DataCentre, set.Region, set.Incarnation = "dc0", "r", 5
	nd := &Node{
		set: set, addr: "10.0.0.0:7703", meter: meter.New(), events: make(chan event, eventQueueLen),
		// Older than listSettleTime, so that shares are in force.
		started: time.Now().Add(-time.Minute),
		table:   pick.New(pick.Config{DataCentre: set.DataCentre}),
		log:     &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}},
	}
	nd.stopping, nd.stop = context.WithCancel(context.Background())
	nd.pools.Store(&[]*upst.Server{})
	nd.upstreams.Store(&[]*upstream{})
	ct := &control{nd: nd}
	ct.upstreams = newUpstreams(ct)
	return ct
}

// teamOf returns a data centre's team with a number of services of nine servers each.
func teamOf(dc, services int) team.Document {
	sc := make(map[string]team.Service, services)
	for s := range services {
		one := team.Service{SlotsPerServer: 3, ConnectionsPerServer: 100}
		for r := range 9 {
			one.Servers = append(one.Servers, team.Server{Addr: fmt.Sprintf("10.%d.%d.%d:9000", dc, s, r), DataCentre: fmt.Sprint("dc", dc)})
		}
		sc[fmt.Sprint("s", s)] = one
	}
	return team.Document{Team: fmt.Sprint("team", dc), Registers: map[string]team.Register{"members": {Services: sc}}}
}

func heapNow() float64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapAlloc)
}

// BenchmarkUpstreams measures the cost of one event on the control goroutine at the intended size,
// 13 data centres with 270 services each, and at a hundredth of it. The events are a VM that joins
// or leaves, a server that is removed from the configuration or added again, and a server that
// changes its state, which is published. heapMB is the heap that the whole state retains.
func BenchmarkUpstreams(b *testing.B) {
	for _, size := range []struct{ services, vms int }{{3, 43}, {270, 4_300}} {
		before := heapNow()
		ct := newBenchControl()
		for dc := range 13 {
			ct.updateServers(teamOf(dc, size.services))
		}
		var vms []conns.VM
		for i := range size.vms {
			vms = append(vms, conns.VM{Addr: fmt.Sprintf("10.0.%d.%d:7703", i/250, i%250), DataCentre: fmt.Sprint("dc", i%13)})
		}
		ct.upstreams.membersChanged(vms)
		name := fmt.Sprintf("servers=%d/vms=%d", ct.view.Len(), size.vms)
		heap := (heapNow() - before) / (1 << 20)
		b.Run("join/"+name, func(b *testing.B) {
			for i := range b.N {
				joined := slices.Concat(vms, []conns.VM{{Addr: fmt.Sprint("10.9.9.9:", i), DataCentre: "dc0"}})
				ct.upstreams.membersChanged(joined)
			}
			b.ReportMetric(heap, "heapMB")
		})
		b.Run("place/"+name, func(b *testing.B) {
			full, reduced := teamOf(0, size.services), teamOf(0, size.services)
			sc := reduced.Registers["members"].Services["s0"]
			sc.Servers = sc.Servers[1:]
			reduced.Registers["members"].Services["s0"] = sc
			for i := range b.N {
				ct.updateServers([]team.Document{reduced, full}[i%2])
			}
		})
		b.Run("state/"+name, func(b *testing.B) {
			for i := range b.N {
				id := view.ServerID(i % ct.view.Len())
				ct.upstreams.step(id, server.Event{Kind: server.Hint, Incarnation: uint64(i + 1), Reported: server.ReportedServing})
				ct.upstreams.flush()
			}
		})
	}
}
