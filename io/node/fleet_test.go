package node_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"laburnumvane/core/team"
	"laburnumvane/io/emul"
	"laburnumvane/io/node"
	"laburnumvane/io/site"
	"laburnumvane/io/wire"
)

// testTimeout ends a test that hangs. No passing test depends on its value.
const testTimeout = 60 * time.Second

func startSite(t *testing.T, vms int, lag time.Duration, with ...func(*site.Config)) *site.Site {
	t.Helper()
	is := is.New(t)
	rg, err := emul.SampleRegister("members", 1, 60)
	is.NoErr(err)
	cfg := site.Config{
		Team:        "wash",
		VMs:         vms,
		DataCentres: []string{"east", "north", "west"},
		Region:      "home",
		Register:    rg,
		Services:    6,
		Slots:       6,
		Connections: 60,
		ServiceTime: func(*rand.Rand) time.Duration { return time.Millisecond },
		Searches: map[string]team.Search{
			"kiosk":   {Class: team.ClassUrgent, HardDeadlineMs: 10_000, HitLimit: 5, Retry: team.Retry{Budget: 0.2, PerShard: 2}},
			"renewal": {Class: team.ClassInteractive, HardDeadlineMs: 10_000, NeverRepeat: true, HitLimit: 5, Retry: team.Retry{Budget: 0.2, PerShard: 2}},
		},
		Log:         &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}},
		BalancerLag: lag,
		TicketTTL:   time.Second,
		StopGrace:   20 * time.Second,
	}
	for _, one := range with {
		one(&cfg)
	}
	st, err := site.Start(cfg)
	is.NoErr(err)
	t.Cleanup(st.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	is.NoErr(st.WaitReady(ctx))
	return st
}

// eventually waits until a condition holds, and fails the test if it does not within testTimeout.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for start := time.Now(); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > testTimeout {
			t.Fatalf("condition not met in time: %s", what)
		}
	}
}

// countStates counts the VMs by the state that they have in one VM's status.
func countStates(nd *node.Node) map[string]int {
	out := map[string]int{}
	for _, vm := range nd.Status().VMs {
		out[vm.State]++
	}
	return out
}

// waitForStates waits until every VM's status has the wanted numbers of VMs by state.
func waitForStates(t *testing.T, st *site.Site, want map[string]int) {
	t.Helper()
	var seen []map[string]int
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("last states: %v", seen)
		}
	})
	eventually(t, fmt.Sprint("all see ", want), func() bool {
		seen = nil
		for _, nd := range st.Nodes() {
			seen = append(seen, countStates(nd))
		}
		return !slices.ContainsFunc(seen, func(one map[string]int) bool { return !maps.Equal(one, want) })
	})
}

// A VM is killed, and its address stays on the VM list. The other VMs of its data centre must
// detect it by missing heartbeats, and those of other data centres must learn of it through their
// relays.
func TestKilledVMIsDetected(t *testing.T) {
	st := startSite(t, 9, 0)
	waitForStates(t, st, map[string]int{"live": 9})
	st.Kill(st.Nodes()[4])
	waitForStates(t, st, map[string]int{"live": 8, "gone": 1})
}

// A reply shows one VM that an upstream server is draining. All other VMs must learn of it by the
// sign piggybacked on heartbeats, without sending the server anything.
func TestDrainSignReachesAll(t *testing.T) {
	st := startSite(t, 9, 0)
	waitForStates(t, st, map[string]int{"live": 9})
	first := st.Nodes()[0]
	first.ObserveReply(0, wire.UpstreamLoad{State: wire.UpstreamDraining, Incarnation: 1 << 60}, "")
	var heard []float64
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("signs received by each VM: %v", heard)
		}
	})
	eventually(t, "the sign reached eight VMs", func() bool {
		heard = nil
		for _, nd := range st.Nodes()[1:] {
			heard = append(heard, nd.Metrics()["member.signHeard"])
		}
		return !slices.ContainsFunc(heard, func(n float64) bool { return n != 1 })
	})
}
