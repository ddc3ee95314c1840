package edge

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"laburnumvane/core/reach"
	"laburnumvane/core/toggle"
	"laburnumvane/io/meter"
)

const (
	// lookEvery is how often the silence from beyond the data centre is looked at.
	lookEvery = 50 * time.Millisecond
	// probeAfter is the silence after which a VM there is asked for a sign of life
	// in any case: a tick before it may be taken for a cut.
	probeAfter = reach.DefaultSilence - tickEvery
	// probeTime is how long a VM may take to give it, and probeEvery how often some
	// are asked. Within a region it is a few milliseconds away; a small one that is
	// short of processor time may need some tens more.
	probeTime  = 150 * time.Millisecond
	probeEvery = 250 * time.Millisecond
	// probeVMs is how many are asked at once, of different data centres: one of them
	// may be down itself, or its data centre be the one that is cut off.
	probeVMs = 2
)

// judgeCut takes this VM out of the balancer's rotation while it is cut off: its
// check fails and its answers close their connections.
func (eg *Edge) judgeCut(ctx context.Context) {
	vw, now := eg.view.Load(), eg.clock()
	tr := eg.entry.Traffic()
	si := reach.Sight{
		Silence:  min(eg.follow.Silence(), now-tr.FarHeard),
		Asked:    tr.Asked,
		Unserved: tr.Unserved,
	}
	// Most of the time nothing is silent, and servers and routes need not be looked
	// at.
	if si.Silence > reach.DefaultSoon {
		si.Told = !eg.set.Off.Off(toggle.Proofs) && eg.follow.ToldCut()
		si.Owed = tr.FarLost + eg.steer.Overdue(now, vw.Upstreams())
		si.Mute = !eg.set.Off.Off(toggle.Proofs) && time.Duration(eg.muteSince.Load()) > now-si.Silence
		si.Lacking = !vw.ServesAlone()
	}
	if si.Silence > probeAfter || vw.BlindMatters() && eg.ramp.Doubts(now) || eg.isolated.Load() || eg.cut.Doubts(si) {
		eg.probe(now)
	}
	blind := vw.BlindMatters() && eg.ramp.Blind(now)
	off := (eg.cut.Look(now, si) && !eg.set.Off.Off(toggle.Cuts) || blind) && vw.FleetSize() > 1
	if eg.isolated.Swap(off) == off {
		return
	}
	eg.entry.Move(off)
	eg.follow.SetCut(off)
	if off {
		eg.workers.run(func() { eg.follow.TellCut(ctx) })
	}
	eg.cfg.Log.Warn().Bool("cutOff", off).Int64("silenceMs", si.Silence.Milliseconds()).Int("owed", si.Owed).
		Bool("told", si.Told).Bool("blind", blind).Bool("mute", si.Mute).Bool("failing", eg.cut.Failing()).Msg("cut off from servers and other VMs")
}

// probe asks VMs of other data centres whether they hear this one. While the
// store is away nobody has news, and a VM without requests of its own hears from
// nobody by itself: without a probe all of a fleet took that for a cut, and left
// the rotation together.
func (eg *Edge) probe(now time.Duration) {
	if now < eg.probeAt {
		return
	}
	eg.probeAt = now + probeEvery
	vms := eg.view.Load().FarVMs(probeVMs, rand.Float64)
	var left atomic.Int64
	left.Store(int64(len(vms)))
	for _, vm := range vms {
		eg.workers.run(func() {
			eg.meter.Count(meter.Platform, "probe")
			lives := eg.homes.Lives(vm.Addr, probeTime)
			eg.ramp.Probed(eg.clock(), lives)
			if lives {
				eg.follow.Touch()
				return
			}
			eg.meter.Count(meter.Platform, "probeFailed")
			eg.cfg.Log.Debug().Str("vm", vm.Addr).Msg("no sign of life from another data centre")
			if left.Add(-1) == 0 {
				eg.muteSince.Store(int64(now))
			}
		})
	}
}
