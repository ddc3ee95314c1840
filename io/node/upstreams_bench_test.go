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

// bareControl is the upstreams' part of control on a node without listeners.
func bareControl() *control {
	set := setup.Defaults()
	set.DataCentre, set.Region, set.Incarnation = "dc0", "r", 5
	nd := &Node{
		set: set, addr: "10.0.0.0:7703", meter: meter.New(), events: make(chan event, eventRoom),
		// Older than listPatience, so that shares are in force.
		started: time.Now().Add(-time.Minute),
		table:   pick.New(pick.Config{DataCentre: set.DataCentre}),
		log:     &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}},
	}
	nd.stopping, nd.stop = context.WithCancel(context.Background())
	nd.servers.Store(&[]*upst.Server{})
	nd.ups.Store(&[]*upstream{})
	ct := &control{nd: nd}
	ct.ups = newUpstreams(ct)
	return ct
}

// teamOf is a data centre's team with so many services of nine servers.
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

// What control pays for one event at the size aimed at, 13 data centres with
// 270 services each, and at a hundredth of it: a VM that joins and leaves, a
// server that leaves the configuration and comes back, a server that changes its
// state, published. Heap is what all of it keeps.
func BenchmarkUpstreams(b *testing.B) {
	for _, size := range []struct{ services, vms int }{{3, 43}, {270, 4_300}} {
		before := heapNow()
		ct := bareControl()
		for dc := range 13 {
			ct.placeServers(teamOf(dc, size.services))
		}
		var vms []conns.VM
		for i := range size.vms {
			vms = append(vms, conns.VM{Addr: fmt.Sprintf("10.0.%d.%d:7703", i/250, i%250), DataCentre: fmt.Sprint("dc", i%13)})
		}
		ct.ups.membersChanged(vms)
		name := fmt.Sprintf("servers=%d/vms=%d", ct.view.Len(), size.vms)
		heap := (heapNow() - before) / (1 << 20)
		b.Run("join/"+name, func(b *testing.B) {
			for i := range b.N {
				joined := slices.Concat(vms, []conns.VM{{Addr: fmt.Sprint("10.9.9.9:", i), DataCentre: "dc0"}})
				ct.ups.membersChanged(joined)
			}
			b.ReportMetric(heap, "heapMB")
		})
		b.Run("place/"+name, func(b *testing.B) {
			whole, less := teamOf(0, size.services), teamOf(0, size.services)
			sc := less.Registers["members"].Services["s0"]
			sc.Servers = sc.Servers[1:]
			less.Registers["members"].Services["s0"] = sc
			for i := range b.N {
				ct.placeServers([]team.Document{less, whole}[i%2])
			}
		})
		b.Run("state/"+name, func(b *testing.B) {
			for i := range b.N {
				id := view.ServerID(i % ct.view.Len())
				ct.ups.step(id, server.Event{Kind: server.Hint, Incarnation: uint64(i + 1), Says: server.SaysServing})
				ct.ups.flush()
			}
		})
	}
}
