package server

import (
	"math/rand/v2"
	"time"

	"laburnumvane/core/view"
)

func (mc *machine) handleReply(now time.Duration, ev Event, rnd *rand.Rand) effect {
	counts, ef := mc.checkIncarnation(now, ev, rnd)
	if !counts {
		return ef
	}
	if ev.Reported == ReportedDraining {
		return mc.startLeaving(now, WhyReplyLeaving, rnd)
	}
	mc.failures, mc.probeFailures = 0, 0
	for range min(ev.Good, 16) {
		mc.score *= scoreDecay
	}
	if mc.leaving != "" || mc.removed {
		return ef
	}
	mc.reportsCold = ev.Reported == ReportedCold
	mc.stepConfirmed = mc.stepConfirmed || ev.Good > 0
	switch {
	case ev.Cold > 0:
		mc.setRampStep(now, 0, WhyReportsCold, rnd)
	case mc.State == view.StateUnknown && mc.reportsCold:
		mc.setRampStep(now, 0, WhyReportsCold, rnd)
	case mc.State == view.StateUnknown:
		mc.setState(view.StateServing, WhyReplies, 1)
	case mc.State == view.StateServing && mc.reportsCold:
		mc.setRampStep(now, maxColdStep, WhyReportsCold, rnd)
	case mc.recovered(ev):
		mc.readmit(now, rnd)
	}
	mc.handleSheds(now, ev)
	return ef
}

func (mc *machine) recovered(ev Event) bool {
	failing := mc.State == view.StateSuspect || mc.State == view.StateGone
	return failing && ev.Good > 0 && mc.score < recoveredScore
}

// readmit ramps a server up after failures: from the first step if it was gone, from the middle if
// it was only suspect.
func (mc *machine) readmit(now time.Duration, rnd *rand.Rand) {
	step := uint8(rampSteps / 2)
	if mc.State == view.StateGone {
		step = 0
	}
	mc.resetFailures()
	mc.setRampStep(now, step, WhyRecovered, rnd)
}

// handleSheds handles refusals because of load: the weight is halved, at most four times a second,
// and doubled after each second without further halving.
func (mc *machine) handleSheds(now time.Duration, ev Event) {
	if float64(ev.Shed) < shedThreshold*float64(ev.Shed+ev.Good) || ev.Shed == 0 {
		return
	}
	switch mc.State {
	case view.StateServing:
		mc.setState(view.StateShedding, WhyShedding, 1.0/2)
	case view.StateShedding:
		if now-mc.shedAt < minShedInterval {
			return
		}
		mc.Weight = max(minShedWeight, mc.Weight/2)
	default:
		return
	}
	mc.shedAt = now
	mc.stepAt = now + shedRecoverAfter
}

func (mc *machine) handleFailure(now time.Duration, ev Event, rnd *rand.Rand) effect {
	if mc.removed {
		return effect{}
	}
	if ev.Probe {
		mc.probeFailures = min(mc.probeFailures+1, goneProbes)
		mc.probeSuccesses = 0
		mc.scheduleProbe(now, rnd)
	}
	failed := max(ev.Failed, 1)
	mc.failures = uint16(min(int(mc.failures)+failed, 1<<15))
	for range min(failed, 16) {
		mc.score = 1 - (1-mc.score)*scoreDecay
	}
	if mc.leaving != "" {
		mc.checkLeavingGone(now)
		return effect{}
	}
	if mc.State == view.StateGone {
		return effect{}
	}
	if mc.failures < suspectFailures && mc.score <= suspectScore {
		return effect{}
	}
	if mc.failures < goneFailures || mc.probeFailures < goneProbes {
		mc.setSuspect(now, WhyFailures, rnd)
		return effect{}
	}
	if ev.last {
		mc.setSuspect(now, WhyLastReplica, rnd)
		return effect{}
	}
	mc.setState(view.StateGone, WhyUnreachable, 0)
	mc.goneAt = now
	mc.stepAt = never
	return effect{sign: SignUnreachable}
}

// mayBecomeGone reports whether an event may make the server gone, so that Config.IsLastReplica has
// to be called.
func (mc *machine) mayBecomeGone(ev Event) bool {
	return ev.Kind == Failure && mc.State != view.StateGone && (ev.Probe || mc.probeFailures >= goneProbes)
}

// checkLeavingGone makes a leaving server gone once probes fail too.
func (mc *machine) checkLeavingGone(now time.Duration) {
	if mc.probeFailures >= goneProbes && mc.State != view.StateGone {
		mc.setState(view.StateGone, WhyLeftUnreachable, 0)
		mc.goneAt = now
	}
}

func (mc *machine) setSuspect(now time.Duration, why string, rnd *rand.Rand) {
	if mc.State == view.StateSuspect {
		mc.Why = why
		return
	}
	mc.setState(view.StateSuspect, why, suspectWeight)
	mc.stepAt = never
	mc.backoff = 0
	mc.probeAt = min(mc.probeAt, now+jitter(rnd, firstProbeDelay))
}
