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
	// cutCheckInterval is how often this VM checks whether it is cut off from other data
	// centres.
	cutCheckInterval = 50 * time.Millisecond
	// probeSilence is the silence after which VMs of other data centres are probed in any case:
	// one tick before the silence may be taken for a cut.
	probeSilence = reach.DefaultSilence - tickInterval
	// probeTimeout is how long a VM may take to respond to a probe, and probeInterval how often
	// some are probed. Within a region a VM responds within a few milliseconds; a small one
	// that is short of processor time may need some tens of milliseconds more.
	probeTimeout  = 150 * time.Millisecond
	probeInterval = 250 * time.Millisecond
	// probesPerRound is how many VMs are probed at once, in different data centres: one of them
	// may be down itself, or its data centre may be the one that is cut off.
	probesPerRound = 2
)

// updateCutOff takes this VM out of the balancer's rotation while it is cut off: its readiness
// check fails, and its responses close their connections.
func (eg *Edge) updateCutOff(ctx context.Context) {
	vw, now := eg.view.Load(), eg.clock()
	tr := eg.entry.Stats()
	ob := reach.Observation{
		Silence:  min(eg.follow.RemoteSilence(), now-tr.RemoteAnsweredAt),
		Requests: tr.Routed,
		Unserved: tr.Unserved,
	}
	// Usually nothing is silent, and the checks of servers and routes can be skipped.
	if ob.Silence > reach.DefaultShortSilence {
		ob.CutReported = !eg.set.Off.Off(toggle.Proofs) && eg.follow.CutReported()
		ob.Overdue = tr.RemoteLost + eg.steer.CountOverdue(now, vw.Upstreams())
		ob.ProbesFailed = !eg.set.Off.Off(toggle.Proofs) && time.Duration(eg.probesFailedAt.Load()) > now-ob.Silence
		ob.LocalInsufficient = !vw.LocalServersSuffice()
	}
	if ob.Silence > probeSilence || vw.StaleStateMatters() && eg.warmUp.ShouldProbe(now) || eg.cutOff.Load() || eg.cutDetector.ShouldProbe(ob) {
		eg.probeRemote(now)
	}
	blind := vw.StaleStateMatters() && eg.warmUp.Stale(now)
	off := (eg.cutDetector.Update(now, ob) && !eg.set.Off.Off(toggle.Cuts) || blind) && vw.FleetSize() > 1
	if eg.cutOff.Swap(off) == off {
		return
	}
	eg.entry.SetCutOff(off)
	eg.follow.SetCut(off)
	if off {
		eg.workers.submit(func() { eg.follow.ReportCut(ctx) })
	}
	eg.cfg.Log.Warn().Bool("cutOff", off).Int64("silenceMs", ob.Silence.Milliseconds()).Int("owed", ob.Overdue).
		Bool("told", ob.CutReported).Bool("blind", blind).Bool("mute", ob.ProbesFailed).Bool("failing", eg.cutDetector.Failing()).Msg("cut-off state changed")
}

// probeRemote probes VMs of other data centres. While the store is down nothing changes, and a
// VM that handles no requests receives nothing from other data centres: without a probe all VMs
// of a fleet concluded that they were cut off, and left the rotation together.
func (eg *Edge) probeRemote(now time.Duration) {
	if now < eg.nextProbe {
		return
	}
	eg.nextProbe = now + probeInterval
	vms := eg.view.Load().RemoteVMs(probesPerRound, rand.Float64)
	var left atomic.Int64
	left.Store(int64(len(vms)))
	for _, vm := range vms {
		eg.workers.submit(func() {
			eg.meter.Count(meter.Platform, "probe")
			alive := eg.homeClient.Alive(vm.Addr, probeTimeout)
			eg.warmUp.RecordProbe(eg.clock(), alive)
			if alive {
				eg.follow.RecordRemoteAnswer()
				return
			}
			eg.meter.Count(meter.Platform, "probeFailed")
			eg.cfg.Log.Debug().Str("vm", vm.Addr).Msg("probe of a VM in another data centre failed")
			if left.Add(-1) == 0 {
				eg.probesFailedAt.Store(int64(now))
			}
		})
	}
}
