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

// All VMs that have heard the same hold the same, in whatever order and however
// often it came.
func TestMergeIsALattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(&fatal{t})
		a, b, c := drawMember(t, "a"), drawMember(t, "b"), drawMember(t, "c")
		is.Equal(a.Merge(b), b.Merge(a))
		is.Equal(a.Merge(b).Merge(c), a.Merge(b.Merge(c)))
		is.Equal(a.Merge(a), a)
		is.Equal(a.Merge(b).Merge(b), a.Merge(b))
	})
}

// fatal lets is report to rapid.
type fatal struct{ *rapid.T }

// What one VM holds of another's incarnation, over any faults: gone stays gone,
// and leaving never goes back to live or suspect.
func TestNothingReverts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wo := newWorld(rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "loss"))
		wo.fleet(t, 6, 2)
		wo.settle()
		watchReversals(rt, wo)
		next := uint64(2000)
		for range rapid.IntRange(1, 8).Draw(rt, "faults") {
			pr := wo.order[rapid.IntRange(0, len(wo.order)-1).Draw(rt, "vm")]
			next++
			disturb(t, rt, wo, pr, next)
			wo.run(time.Duration(rapid.IntRange(0, 6000).Draw(rt, "ms"))*time.Millisecond, nil)
		}
		wo.run(20*time.Second, nil)
	})
}

func disturb(t *testing.T, rt *rapid.T, wo *world, pr *proc, incarnation uint64) {
	switch rapid.IntRange(0, 6).Draw(rt, "fault") {
	case 0:
		pr.dead = true
	case 1:
		wo.boot(t, pr.self.Addr, pr.self.DataCentre, incarnation)
		wo.list(wo.vms()...)
	case 2:
		wo.step(pr, member.Leave{})
	case 3:
		wo.step(pr, member.Quit{})
		pr.dead = true
	case 4:
		wo.pause(pr, time.Duration(rapid.IntRange(0, 70_000).Draw(rt, "pause"))*time.Millisecond)
	case 5:
		other := wo.order[rapid.IntRange(0, len(wo.order)-1).Draw(rt, "other")]
		wo.cut = func(from, to *proc) bool { return from == pr && to == other }
	case 6:
		side := pr.self.DataCentre
		wo.cut = func(from, to *proc) bool { return (from.self.DataCentre == side) != (to.self.DataCentre == side) }
	}
}

// watchReversals fails as soon as any VM's view goes back.
func watchReversals(rt *rapid.T, wo *world) {
	type key struct {
		observer *proc
		addr     string
	}
	seen := map[key]member.Member{}
	wo.onAct = func(pr *proc, ac member.Action) {
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
			rt.Fatalf("%v after %v", ch.Member, was)
		case ch.Member.Incarnation == was.Incarnation && ch.Member.State() < was.State() && was.State() >= member.StateLeaving:
			rt.Fatalf("%v, %v after %v", ch.Member, ch.Member.State(), was.State())
		}
	}
}
