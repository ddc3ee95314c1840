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
