package server

import (
	"math/rand/v2"
	"time"

	"laburnumvane/core/view"
)

func (mc *machine) replied(now time.Duration, ev Event, rnd *rand.Rand) effect {
	counts, ef := mc.meet(now, ev, rnd)
	if !counts {
		return ef
	}
	if ev.Says == SaysDraining {
		return mc.leave(now, WhySaidLeaving, rnd)
	}
	mc.failures, mc.probeFails = 0, 0
	for range min(ev.Good, 16) {
		mc.score *= scoreKeep
	}
	if mc.leaving != "" || mc.removed {
		return ef
	}
	mc.saysCold = ev.Says == SaysCold
	mc.good = mc.good || ev.Good > 0
	switch {
	case ev.Cold > 0:
		mc.ramp(now, 0, WhySaysCold, rnd)
	case mc.State == view.StateUnknown && mc.saysCold:
		mc.ramp(now, 0, WhySaysCold, rnd)
	case mc.State == view.StateUnknown:
		mc.settle(view.StateServing, WhyReplies, 1)
	case mc.State == view.StateServing && mc.saysCold:
		mc.ramp(now, sayingColdStep, WhySaysCold, rnd)
	case mc.mended(ev):
		mc.back(now, rnd)
	}
	mc.sheds(now, ev)
	return ef
}

func (mc *machine) mended(ev Event) bool {
	ill := mc.State == view.StateSuspect || mc.State == view.StateGone
	return ill && ev.Good > 0 && mc.score < mendScore
}

// back lets a server in again that had failed: one that was gone from the
// start of the ramp, one that was only suspect from its middle.
func (mc *machine) back(now time.Duration, rnd *rand.Rand) {
	step := uint8(rampSteps / 2)
	if mc.State == view.StateGone {
		step = 0
	}
	mc.forgive()
	mc.ramp(now, step, WhyBack, rnd)
}

// sheds takes the refusals by load: the weight halves, at most four times a
// second, and doubles after each second without.
func (mc *machine) sheds(now time.Duration, ev Event) {
	if float64(ev.Shed) < shedShare*float64(ev.Shed+ev.Good) || ev.Shed == 0 {
		return
	}
	switch mc.State {
	case view.StateServing:
		mc.settle(view.StateShedding, WhySheds, 1.0/2)
	case view.StateShedding:
		if now-mc.shedAt < shedEvery {
			return
		}
		mc.Weight = max(shedFloor, mc.Weight/2)
	default:
		return
	}
	mc.shedAt = now
	mc.stepAt = now + shedHold
}

func (mc *machine) failed(now time.Duration, ev Event, rnd *rand.Rand) effect {
	if mc.removed {
		return effect{}
	}
	if ev.Probe {
		mc.probeFails = min(mc.probeFails+1, goneProbes)
		mc.probeGoods = 0
		mc.later(now, rnd)
	}
	failed := max(ev.Failed, 1)
	mc.failures = uint16(min(int(mc.failures)+failed, 1<<15))
	for range min(failed, 16) {
		mc.score = 1 - (1-mc.score)*scoreKeep
	}
	if mc.leaving != "" {
		mc.quiet(now)
		return effect{}
	}
	if mc.State == view.StateGone {
		return effect{}
	}
	if mc.failures < suspectFailures && mc.score <= suspectScore {
		return effect{}
	}
	if mc.failures < goneFailures || mc.probeFails < goneProbes {
		mc.suspect(now, WhyFails, rnd)
		return effect{}
	}
	if ev.last {
		mc.suspect(now, WhyLastReplica, rnd)
		return effect{}
	}
	mc.settle(view.StateGone, WhyUnreachable, 0)
	mc.goneAt = now
	mc.stepAt = never
	return effect{sign: SignUnreachable}
}

// nearlyGone tells whether a failure may be the one that makes the server gone.
func (mc *machine) nearlyGone(ev Event) bool {
	return ev.Kind == Failure && mc.State != view.StateGone && (ev.Probe || mc.probeFails >= goneProbes)
}

// quiet ends a leaving server's time: it is gone once probes fail too.
func (mc *machine) quiet(now time.Duration) {
	if mc.probeFails >= goneProbes && mc.State != view.StateGone {
		mc.settle(view.StateGone, WhyLeftAndQuiet, 0)
		mc.goneAt = now
	}
}

func (mc *machine) suspect(now time.Duration, why string, rnd *rand.Rand) {
	if mc.State == view.StateSuspect {
		mc.Why = why
		return
	}
	mc.settle(view.StateSuspect, why, suspectWeight)
	mc.stepAt = never
	mc.backoff = 0
	mc.probeAt = min(mc.probeAt, now+jitter(rnd, probeFirst))
}
