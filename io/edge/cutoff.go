package edge

import (
	"math/rand/v2"

	"laburnumvane/core/reach"
	"laburnumvane/io/meter"
)

// probeAfter is the silence from beyond the data centre after which a VM there is
// asked for a sign of life: a tick before it may be taken for a cut.
const probeAfter = reach.DefaultSilence - tickEvery

// judgeCut takes this VM out of the balancer's rotation while it is cut off: its
// check fails and its answers close their connections.
func (eg *Edge) judgeCut() {
	vw, now := eg.view.Load(), eg.clock()
	tr := eg.entry.Traffic()
	si := reach.Sight{
		Silence:  min(eg.follow.Silence(), now-tr.FarHeard),
		Asked:    tr.Asked,
		Unserved: tr.Unserved,
	}
	if si.Silence > probeAfter && now >= eg.probeAt {
		eg.probeAt = now + tickEvery
		eg.probe()
	}
	// Most of the time nothing is silent, and the routes need not be looked at.
	si.Lacking = si.Silence > reach.DefaultIdle && !vw.ServesAlone()
	off := eg.cut.Look(now, si) && vw.FleetSize() > 1
	if eg.isolated.Swap(off) == off {
		return
	}
	eg.entry.Move(off)
	eg.cfg.Log.Warn().Bool("cutOff", off).Int64("silenceMs", si.Silence.Milliseconds()).
		Bool("failing", eg.cut.Failing()).Msg("cut off from servers and other VMs")
}

// probe asks a VM of another data centre whether it hears this one. While the
// store is away nobody has news, and a VM without requests of its own hears from
// nobody by itself: without a probe all of a fleet took that for a cut, and left
// the rotation together.
func (eg *Edge) probe() {
	vm, ok := eg.view.Load().FarVM(rand.Float64())
	if !ok {
		return
	}
	eg.workers.run(func() {
		eg.meter.Count(meter.Platform, "probe")
		if eg.homes.Lives(vm.Addr) {
			eg.follow.Touch()
			return
		}
		eg.meter.Count(meter.Platform, "probeFailed")
		eg.cfg.Log.Debug().Str("vm", vm.Addr).Msg("no sign of life from another data centre")
	})
}
