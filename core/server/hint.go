package server

import (
	"math/rand/v2"
	"time"

	"laburnumvane/core/view"
)

func (mc *machine) handleHint(now time.Duration, ev Event, rnd *rand.Rand) effect {
	counts, ef := mc.checkIncarnation(now, ev, rnd)
	if ev.Probe {
		mc.probeAt = never
	}
	if !counts {
		return ef
	}
	if ev.Reported == ReportedDraining {
		return mc.startLeaving(now, WhyHintLeaving, rnd)
	}
	if ev.Probe {
		mc.handleProbeAnswer(now, rnd)
	}
	if mc.State == view.StateUnknown && mc.leaving == "" && !mc.removed {
		mc.reportsCold = ev.Reported == ReportedCold
		if mc.reportsCold {
			mc.setRampStep(now, 0, WhyReportsCold, rnd)
		} else {
			mc.setState(view.StateServing, WhyHint, 1)
		}
	}
	return ef
}

// handleProbeAnswer handles a successful probe.
func (mc *machine) handleProbeAnswer(now time.Duration, rnd *rand.Rand) {
	mc.probeFailures = 0
	mc.probeSuccesses = min(mc.probeSuccesses+1, readmitProbes)
	switch {
	case mc.removed:
	case mc.leaving != "":
		mc.scheduleProbe(now, rnd)
	case mc.State == view.StateGone:
		mc.readmit(now, rnd)
	case mc.State == view.StateSuspect && mc.probeSuccesses >= readmitProbes:
		mc.readmit(now, rnd)
	case mc.State == view.StateSuspect:
		mc.scheduleProbe(now, rnd)
	}
}

func (mc *machine) handleSign(now time.Duration, ev Event, rnd *rand.Rand) effect {
	switch ev.Sign {
	case SignLeaving:
		counts, ef := mc.checkIncarnation(now, ev, rnd)
		// A sign without incarnation may refer to any process, and would block a server that has
		// since restarted.
		if !counts || ev.Incarnation == 0 {
			return ef
		}
		if mc.leaving == "" {
			mc.startLeaving(now, WhySignLeaving, rnd)
			return effect{sign: SignLeaving}
		}
	case SignUnreachable:
		if ev.Incarnation >= mc.Incarnation && !mc.removed && mc.leaving == "" {
			mc.probeAt = min(mc.probeAt, now+jitter(rnd, firstProbeDelay))
		}
	case SignReturned:
		if ev.Incarnation > mc.Incarnation && !mc.removed {
			mc.probeAt = min(mc.probeAt, now+jitter(rnd, firstProbeDelay))
		}
	}
	return effect{}
}

// startLeaving stops new work for the rest of this incarnation. Slow probes continue, to detect the
// next one.
func (mc *machine) startLeaving(now time.Duration, why string, rnd *rand.Rand) effect {
	if mc.leaving != "" {
		return effect{}
	}
	mc.leaving = why
	mc.stepAt = never
	if mc.removed {
		return effect{sign: SignLeaving}
	}
	mc.setState(view.StateDraining, why, 0)
	mc.backoff = leavingProbeInterval
	mc.probeAt = now + leavingProbeInterval/2 + jitter(rnd, leavingProbeInterval/2)
	return effect{sign: SignLeaving}
}

func (mc *machine) handleListed(now time.Duration, rnd *rand.Rand) {
	if !mc.removed {
		return
	}
	mc.removed = false
	if mc.leaving != "" {
		mc.setState(view.StateDraining, mc.leaving, 0)
		mc.scheduleProbe(now, rnd)
		return
	}
	mc.resetFailures()
	mc.setRampStep(now, 0, WhyRecovered, rnd)
}
