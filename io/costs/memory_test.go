package costs_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"laburnumvane/core/pick"
	"laburnumvane/core/server"
	"laburnumvane/core/view"
	"laburnumvane/io/upst"
)

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapAlloc + ms.StackInuse)
}

// BenchmarkIdleConnection measures the memory that an idle connection uses in this process, without
// that of the kernel.
func BenchmarkIdleConnection(b *testing.B) {
	const conns = 400
	ad := startPeer(b)
	for b.Loop() {
		before := memoryInUse()
		sv := upst.New(upst.Config{Addr: ad.Upstream, MaxConns: conns, MinConns: conns})
		for tries := 0; sv.Open() < conns; tries++ {
			if tries > 10_000 {
				b.Fatal("connections open: ", sv.Open())
			}
			sv.MaintainOnce(true)
			time.Sleep(time.Millisecond)
		}
		after := memoryInUse()
		runtime.KeepAlive(sv)
		sv.Close()
		b.ReportMetric((after-before)/conns, "B/conn")
	}
}

// BenchmarkServerMemory measures the memory of a server without connections: in the published view, in
// the tables of the control goroutine and of the picker, and in its pool.
func BenchmarkServerMemory(b *testing.B) {
	const n = 2_460
	for b.Loop() {
		before := memoryInUse()
		tb := server.New(server.Config{Rand: rand.New(rand.NewPCG(1, 1))})
		list := make([]view.Server, n)
		pools := make([]*upst.Server, n)
		for i := range list {
			addr := fmt.Sprintf("10.1.%d.%d:9000", i>>8, i&0xff)
			list[i] = view.Server{ID: view.ServerID(i), Addr: addr, DataCentre: "east", Service: "s", Team: teamName, Register: register}
			tb.Add(view.ServerID(i), addr)
			pools[i] = upst.New(upst.Config{Addr: addr, MaxConns: 1})
		}
		vw := view.View{}.WithServers(list)
		list = nil
		table := pick.New(pick.Config{DataCentre: "east"})
		table.Grow(n)
		after := memoryInUse()
		runtime.KeepAlive(tb)
		runtime.KeepAlive(pools)
		runtime.KeepAlive(vw)
		runtime.KeepAlive(table)
		runtime.KeepAlive(list)
		b.ReportMetric((after-before)/n, "B/server")
	}
}
