package server

import (
	"math/rand/v2"
	"time"

	"laburnumvane/core/view"
)

func (mc *machine) hinted(now time.Duration, ev Event, rnd *rand.Rand) effect {
	counts, ef := mc.meet(now, ev, rnd)
	if ev.Probe {
		mc.probeAt = never
	}
	if !counts {
		return ef
	}
	if ev.Says == SaysDraining {
		return mc.leave(now, WhyHintLeaving, rnd)
	}
	if ev.Probe {
		mc.answered(now, rnd)
	}
	if mc.State == view.StateUnknown && mc.leaving == "" && !mc.removed {
		mc.saysCold = ev.Says == SaysCold
		if mc.saysCold {
			mc.ramp(now, 0, WhySaysCold, rnd)
		} else {
			mc.settle(view.StateServing, WhyHint, 1)
		}
	}
	return ef
}

// answered takes a probe that went well.
func (mc *machine) answered(now time.Duration, rnd *rand.Rand) {
	mc.probeFails = 0
	mc.probeGoods = min(mc.probeGoods+1, trustProbes)
	switch {
	case mc.removed:
	case mc.leaving != "":
		mc.later(now, rnd)
	case mc.State == view.StateGone:
		mc.back(now, rnd)
	case mc.State == view.StateSuspect && mc.probeGoods >= trustProbes:
		mc.back(now, rnd)
	case mc.State == view.StateSuspect:
		mc.later(now, rnd)
	}
}

func (mc *machine) told(now time.Duration, ev Event, rnd *rand.Rand) effect {
	switch ev.Sign {
	case SignLeaving:
		counts, ef := mc.meet(now, ev, rnd)
		// A sign without incarnation could be of any time, and would bar a
		// server that has since come back.
		if !counts || ev.Incarnation == 0 {
			return ef
		}
		if mc.leaving == "" {
			mc.leave(now, WhySignLeaving, rnd)
			return effect{sign: SignLeaving}
		}
	case SignUnreachable:
		if ev.Incarnation >= mc.Incarnation && !mc.removed && mc.leaving == "" {
			mc.probeAt = min(mc.probeAt, now+jitter(rnd, probeFirst))
		}
	case SignReturned:
		if ev.Incarnation > mc.Incarnation && !mc.removed {
			mc.probeAt = min(mc.probeAt, now+jitter(rnd, probeFirst))
		}
	}
	return effect{}
}

// leave stops new work for as long as this incarnation lives. Probes go on
// slowly, to see the next one.
func (mc *machine) leave(now time.Duration, why string, rnd *rand.Rand) effect {
	if mc.leaving != "" {
		return effect{}
	}
	mc.leaving = why
	mc.stepAt = never
	if mc.removed {
		return effect{sign: SignLeaving}
	}
	mc.settle(view.StateDraining, why, 0)
	mc.backoff = probeLeft
	mc.probeAt = now + probeLeft/2 + jitter(rnd, probeLeft/2)
	return effect{sign: SignLeaving}
}

func (mc *machine) listed(now time.Duration, rnd *rand.Rand) {
	if !mc.removed {
		return
	}
	mc.removed = false
	if mc.leaving != "" {
		mc.settle(view.StateDraining, mc.leaving, 0)
		mc.later(now, rnd)
		return
	}
	mc.forgive()
	mc.ramp(now, 0, WhyBack, rnd)
}
