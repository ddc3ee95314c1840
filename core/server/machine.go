package server

import (
	"math/rand/v2"
	"time"

	"laburnumvane/core/view"
)

// The reasons shown for a state.
const (
	WhyUnheard      = "not heard from yet"
	WhyHint         = "its load endpoint says so"
	WhyReplies      = "replies show it"
	WhySaysCold     = "says itself that it is cold"
	WhyNew          = "new incarnation, ramping"
	WhyBack         = "answers again, ramping"
	WhySheds        = "sheds load"
	WhySaidLeaving  = "a reply says that it leaves"
	WhyHintLeaving  = "its load endpoint says that it leaves"
	WhySignLeaving  = "another VM was told that it leaves"
	WhyRemoved      = "no longer in the configuration"
	WhyFails        = "requests to it fail"
	WhyUnreachable  = "requests and probes fail"
	WhyLastReplica  = "requests and probes fail, but it is a shard's last replica"
	WhyLeftAndQuiet = "left, and no longer answers"
)

const (
	// suspectFailures in a row make a server suspect; one or two are the
	// weather of any network.
	suspectFailures = 3
	// goneFailures and goneProbes are the evidence for gone: real traffic and
	// probes both.
	goneFailures = 4
	goneProbes   = 2
	// trustProbes answered in a row let an idle VM's suspect ramp again.
	trustProbes = 3

	// scoreKeep is what one outcome leaves of the failure score; above
	// suspectScore a server is suspect even if some requests go well, as with
	// one that answers fast errors, and below mendScore it is well again.
	scoreKeep    = 0.8
	suspectScore = 0.5
	mendScore    = 0.3
	// calmScore is a score so low that nothing is held against the server.
	calmScore = 0.05

	rampSteps = 3
	// sayingColdStep is as far as a server ramps that still calls itself cold.
	sayingColdStep = 2
	rampEvery      = 2 * time.Second

	shedShare = 0.25
	shedHold  = time.Second
	shedEvery = 250 * time.Millisecond
	shedFloor = 1.0 / 8

	suspectWeight = 1.0 / 32

	probeFirst = 100 * time.Millisecond
	probeLeast = 250 * time.Millisecond
	probeMost  = 8 * time.Second
	probeLeft  = 2 * time.Second
	// probeLost is when a probe without any outcome is given up.
	probeLost = 10 * time.Second

	// lateNews is how long the words of a process that is over can be under way.
	lateNews = time.Minute

	never = time.Duration(1<<63 - 1)
)

// machine is one server's state. It is small and flat: a VM may hold 32,000.
type machine struct {
	Status
	// leaving is why the incarnation leaves; empty while nothing says so.
	leaving    string
	removed    bool
	saysCold   bool
	good       bool
	step       uint8
	probeFails uint8
	probeGoods uint8
	failures   uint16
	score      float32
	backoff    time.Duration
	probeAt    time.Duration
	goneAt     time.Duration
	stepAt     time.Duration
	shedAt     time.Duration
	// queued is the earliest wake that the table's queue holds.
	queued time.Duration
}

// effect is what a step asks of the table besides publishing.
type effect struct {
	probe bool
	sign  SignKind
}

func newMachine() machine {
	return machine{
		Status:  Status{State: view.StateUnknown, Why: WhyUnheard, Weight: 1},
		probeAt: never,
		stepAt:  never,
		queued:  never,
	}
}

func (mc *machine) wake() time.Duration {
	return min(mc.probeAt, mc.stepAt)
}

func (mc *machine) handle(now time.Duration, ev Event, rnd *rand.Rand) effect {
	switch ev.Kind {
	case Reply:
		return mc.replied(now, ev, rnd)
	case Failure:
		return mc.failed(now, ev, rnd)
	case Hint:
		return mc.hinted(now, ev, rnd)
	case Told:
		return mc.told(now, ev, rnd)
	case Removed:
		mc.removed = true
		mc.settle(view.StateDraining, WhyRemoved, 0)
		mc.probeAt, mc.stepAt = never, never
	case Listed:
		mc.listed(now, rnd)
	case Wake:
		return mc.woken(now, rnd)
	}
	return effect{}
}

// meet takes the incarnation of a piece of news and tells whether the news
// counts. A new incarnation wipes out all that was known of the old one.
func (mc *machine) meet(now time.Duration, ev Event, rnd *rand.Rand) (counts bool, ef effect) {
	if ev.Incarnation == mc.Incarnation || ev.Incarnation == 0 {
		return true, ef
	}
	first := mc.Incarnation == 0
	fresh := ev.Kind == Hint && ev.Probe && mc.startsAnew(now)
	if ev.Incarnation < mc.Incarnation && !fresh {
		return false, ef
	}
	mc.Incarnation = ev.Incarnation
	if first {
		return true, ef
	}
	mc.leaving = ""
	mc.forgive()
	if !mc.removed {
		mc.ramp(now, 0, WhyNew, rnd)
	}
	return true, effect{sign: SignReturned}
}

// startsAnew tells whether a probe's answer may come from a process with a lower
// incarnation. Of a server that left, the old process's words may still be under
// way, and its load endpoint may lag, until the longest deadline has passed.
func (mc *machine) startsAnew(now time.Duration) bool {
	if mc.State != view.StateGone {
		return false
	}
	return mc.leaving == "" || now-mc.goneAt >= lateNews
}

// forgive forgets failures and probes.
func (mc *machine) forgive() {
	mc.failures, mc.probeFails, mc.probeGoods = 0, 0, 0
	mc.score = 0
	mc.backoff = 0
	mc.saysCold = false
	mc.probeAt = never
}

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

func (mc *machine) woken(now time.Duration, rnd *rand.Rand) effect {
	if now >= mc.stepAt {
		mc.stepped(now, rnd)
	}
	if now < mc.probeAt {
		return effect{}
	}
	mc.probeAt = now + probeLost
	return effect{probe: true}
}

func (mc *machine) stepped(now time.Duration, rnd *rand.Rand) {
	mc.stepAt = never
	switch mc.State {
	case view.StateShedding:
		mc.Weight = min(1, mc.Weight*2)
		if mc.Weight == 1 {
			mc.settle(view.StateServing, WhyReplies, 1)
			return
		}
		mc.stepAt = now + shedHold
	case view.StateCold:
		mc.climb(now, rnd)
	}
}

// climb goes up the ramp, if the step so far was borne out by replies.
func (mc *machine) climb(now time.Duration, rnd *rand.Rand) {
	step := mc.step
	if mc.good && !(mc.saysCold && step >= sayingColdStep) {
		step++
	}
	if step >= rampSteps {
		mc.settle(view.StateServing, WhyReplies, 1)
		return
	}
	mc.ramp(now, step, mc.Why, rnd)
}

// ramp makes the server cold with the weight of a step: 1/8, 1/4, 1/2.
func (mc *machine) ramp(now time.Duration, step uint8, why string, rnd *rand.Rand) {
	mc.step = step
	mc.good = false
	mc.settle(view.StateCold, why, 1/float32(uint(1)<<(rampSteps-step)))
	// Jitter keeps the VMs from raising a server's load all in one moment.
	mc.stepAt = now + rampEvery*3/4 + jitter(rnd, rampEvery/2)
}

// later puts off the next probe, twice as long each time, with jitter.
func (mc *machine) later(now time.Duration, rnd *rand.Rand) {
	mc.backoff = min(max(2*mc.backoff, probeLeast), probeMost)
	mc.probeAt = now + mc.backoff/2 + jitter(rnd, mc.backoff/2)
}

func jitter(rnd *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(rnd.Int64N(int64(most)))
}

func (mc *machine) settle(st view.State, why string, weight float32) {
	mc.State, mc.Why, mc.Weight = st, why, weight
}
