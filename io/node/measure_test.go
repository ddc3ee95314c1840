package node_test

import (
	"flag"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/io/node"
)

var measure = flag.Bool("measure", false, "print the figures of docs/measures/fleet.md")

func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var ru syscall.Rusage
	is.New(t).NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &ru))
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// TestMeasureBeatBytes counts the bytes on the inner listeners of nine idle VMs, HTTP headers
// included.
func TestMeasureBeatBytes(t *testing.T) {
	if !*measure {
		t.Skip("a measurement, run with -measure")
	}
	st := startSite(t, 9, 0)
	waitForStates(t, st, map[string]int{"live": 9})
	time.Sleep(5 * time.Second)
	const d = 20 * time.Second
	type count struct{ in, out, beats float64 }
	at := func(nd *node.Node) count {
		me := nd.Metrics()
		return count{me["inner.bytesIn"], me["inner.bytesOut"], me["member.beatServed"]}
	}
	before := map[*node.Node]count{}
	for _, nd := range st.Nodes() {
		before[nd] = at(nd)
	}
	busy := cpuTime(t)
	time.Sleep(d)
	busy = cpuTime(t) - busy
	var in, out, beats float64
	for _, nd := range st.Nodes() {
		now, was := at(nd), before[nd]
		in += now.in - was.in
		out += now.out - was.out
		beats += now.beats - was.beats
	}
	vms := float64(len(st.Nodes()))
	fmt.Printf("beats served per VM and second: %.1f\n", beats/vms/d.Seconds())
	fmt.Printf("bytes of a beat: %.0f, of its answer: %.0f\n", in/beats, out/beats)
	fmt.Printf("CPU time per VM and second, of an idle VM and its share of the emulated services: %.2f%% of a core\n",
		100*busy.Seconds()/vms/d.Seconds())
	// What one VM sends as a client others receive as servers, so that the fleet's totals
	// are the same.
	fmt.Printf("sent per VM and second: %.0f bytes, and received as many\n", (in+out)/vms/d.Seconds())
}
