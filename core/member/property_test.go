package member_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/member"
)

func drawMember(t *rapid.T, label string) member.Member {
	return member.Member{
		VM:      member.VM{Addr: "a", DataCentre: "dc", Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, label+" incarnation"))},
		Count:   uint32(rapid.IntRange(0, 3).Draw(t, label+" count")),
		Leaving: rapid.Bool().Draw(t, label+" leaving"),
		Gone:    rapid.Bool().Draw(t, label+" gone"),
	}
}

// VMs that have received the same updates hold the same state, in whatever order and however often
// the updates arrived.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(&fatal{t})
		a, b, c := drawMember(t, "a"), drawMember(t, "b"), drawMember(t, "c")
		is.Equal(a.Merge(b), b.Merge(a))
		is.Equal(a.Merge(b).Merge(c), a.Merge(b.Merge(c)))
		is.Equal(a.Merge(a), a)
		is.Equal(a.Merge(b).Merge(b), a.Merge(b))
	})
}

// fatal adapts rapid.T to the interface that package is expects.
type fatal struct{ *rapid.T }

// Under any faults, a VM's view of an incarnation never reverts: gone stays gone, and leaving never
// becomes live or suspect.
func TestStateNeverReverts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "loss"))
		sim.fleet(t, 6, 2)
		sim.settle()
		failOnReversal(rt, sim)
		next := uint64(2000)
		for range rapid.IntRange(1, 8).Draw(rt, "faults") {
			pr := sim.order[rapid.IntRange(0, len(sim.order)-1).Draw(rt, "vm")]
			next++
			injectFault(t, rt, sim, pr, next)
			sim.run(time.Duration(rapid.IntRange(0, 6000).Draw(rt, "ms"))*time.Millisecond, nil)
		}
		sim.run(20*time.Second, nil)
	})
}

func injectFault(t *testing.T, rt *rapid.T, sim *simulation, pr *proc, incarnation uint64) {
	switch rapid.IntRange(0, 6).Draw(rt, "fault") {
	case 0:
		pr.dead = true
	case 1:
		sim.boot(t, pr.self.Addr, pr.self.DataCentre, incarnation)
		sim.setList(sim.vms()...)
	case 2:
		sim.step(pr, member.Leave{})
	case 3:
		sim.step(pr, member.Quit{})
		pr.dead = true
	case 4:
		sim.pause(pr, time.Duration(rapid.IntRange(0, 70_000).Draw(rt, "pause"))*time.Millisecond)
	case 5:
		other := sim.order[rapid.IntRange(0, len(sim.order)-1).Draw(rt, "other")]
		sim.blocked = func(from, to *proc) bool { return from == pr && to == other }
	case 6:
		side := pr.self.DataCentre
		sim.blocked = func(from, to *proc) bool { return (from.self.DataCentre == side) != (to.self.DataCentre == side) }
	}
}

// failOnReversal fails the test as soon as any VM's view of another reverts.
func failOnReversal(rt *rapid.T, sim *simulation) {
	type key struct {
		observer *proc
		addr     string
	}
	seen := map[key]member.Member{}
	sim.onAction = func(pr *proc, ac member.Action) {
		ch, ok := ac.(member.Changed)
		if !ok {
			return
		}
		k := key{pr, ch.Member.Addr}
		was, known := seen[k]
		seen[k] = ch.Member
		switch {
		case !known:
		case ch.Member.Incarnation < was.Incarnation:
			rt.Fatalf("incarnation decreased: %v after %v", ch.Member, was)
		case ch.Member.Incarnation == was.Incarnation && ch.Member.State() < was.State() && was.State() >= member.StateLeaving:
			rt.Fatalf("state of %v reverted: %v after %v", ch.Member, ch.Member.State(), was.State())
		}
	}
}
