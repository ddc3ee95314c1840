package server

import (
	"math/rand/v2"
	"time"

	"laburnumvane/core/view"
)

// Reasons for a state, as shown to operators.
const (
	WhyUnknown         = "not heard from yet"
	WhyHint            = "its load endpoint says so"
	WhyReplies         = "replies show it"
	WhyReportsCold     = "says itself that it is cold"
	WhyNewIncarnation  = "new incarnation, ramping"
	WhyRecovered       = "answers again, ramping"
	WhyShedding        = "sheds load"
	WhyReplyLeaving    = "a reply says that it leaves"
	WhyHintLeaving     = "its load endpoint says that it leaves"
	WhySignLeaving     = "another VM was told that it leaves"
	WhyRemoved         = "no longer in the configuration"
	WhyFailures        = "requests to it fail"
	WhyUnreachable     = "requests and probes fail"
	WhyLastReplica     = "requests and probes fail, but it is a shard's last replica"
	WhyLeftUnreachable = "left, and no longer answers"
)

const (
	// suspectFailures is the number of consecutive failures that make a server suspect; one or two
	// occur in any network.
	suspectFailures = 3
	// goneFailures and goneProbes are the failures needed before a server becomes gone: of real
	// traffic and of probes.
	goneFailures = 4
	goneProbes   = 2
	// readmitProbes is the number of consecutive answered probes after which a suspect server ramps
	// up on a VM without traffic to it.
	readmitProbes = 3

	// scoreDecay is the factor of the moving average of failures for each outcome. Above
	// suspectScore a server is suspect even if some requests succeed, as with one that returns fast
	// errors; below recoveredScore it counts as recovered.
	scoreDecay     = 0.8
	suspectScore   = 0.5
	recoveredScore = 0.3
	// negligibleScore is the score below which past failures are ignored.
	negligibleScore = 0.05

	rampSteps = 3
	// maxColdStep is the last step of the ramp for a server that still reports to be cold.
	maxColdStep      = 2
	rampStepInterval = 2 * time.Second

	// shedThreshold is the share of refusals because of load from which the weight is halved, at
	// most once per minShedInterval and down to minShedWeight. It doubles after shedRecoverAfter
	// without halving.
	shedThreshold    = 0.25
	shedRecoverAfter = time.Second
	minShedInterval  = 250 * time.Millisecond
	minShedWeight    = 1.0 / 8

	suspectWeight = 1.0 / 32

	firstProbeDelay      = 100 * time.Millisecond
	minProbeBackoff      = 250 * time.Millisecond
	maxProbeBackoff      = 8 * time.Second
	leavingProbeInterval = 2 * time.Second
	// probeTimeout is the time after which a probe without any outcome is repeated.
	probeTimeout = 10 * time.Second

	// maxMessageDelay bounds the time for which messages of an ended process may still arrive.
	maxMessageDelay = time.Minute

	// never is the time of a step or probe that is not scheduled.
	never = time.Duration(1<<63 - 1)
)

// machine holds the state of one server. It is kept small and flat, because a VM may know 32,000
// servers.
type machine struct {
	Status
	// leaving is the reason why the incarnation leaves; empty if it does not.
	leaving        string
	removed        bool
	reportsCold    bool
	stepConfirmed  bool
	step           uint8
	probeFailures  uint8
	probeSuccesses uint8
	failures       uint16
	score          float32
	backoff        time.Duration
	probeAt        time.Duration
	goneAt         time.Duration
	stepAt         time.Duration
	shedAt         time.Duration
	// queuedWake is the earliest wake time of this server in the table's queue.
	queuedWake time.Duration
}

// effect is what a step requests of the table besides publishing the status.
type effect struct {
	probe bool
	sign  SignKind
}

func newMachine() machine {
	return machine{
		Status:     Status{State: view.StateUnknown, Why: WhyUnknown, Weight: 1},
		probeAt:    never,
		stepAt:     never,
		queuedWake: never,
	}
}

func (mc *machine) wake() time.Duration {
	return min(mc.probeAt, mc.stepAt)
}

func (mc *machine) handle(now time.Duration, ev Event, rnd *rand.Rand) effect {
	switch ev.Kind {
	case Reply:
		return mc.handleReply(now, ev, rnd)
	case Failure:
		return mc.handleFailure(now, ev, rnd)
	case Hint:
		return mc.handleHint(now, ev, rnd)
	case SignReceived:
		return mc.handleSign(now, ev, rnd)
	case Removed:
		mc.removed = true
		mc.setState(view.StateDraining, WhyRemoved, 0)
		mc.probeAt, mc.stepAt = never, never
	case Listed:
		mc.handleListed(now, rnd)
	case Wake:
		return mc.handleWake(now, rnd)
	}
	return effect{}
}

// checkIncarnation compares an event's incarnation with the known one and reports whether the event
// counts. A new incarnation resets everything known of the old one.
func (mc *machine) checkIncarnation(now time.Duration, ev Event, rnd *rand.Rand) (counts bool, ef effect) {
	if ev.Incarnation == mc.Incarnation || ev.Incarnation == 0 {
		return true, ef
	}
	first := mc.Incarnation == 0
	restarted := ev.Kind == Hint && ev.Probe && mc.acceptsLowerIncarnation(now)
	if ev.Incarnation < mc.Incarnation && !restarted {
		return false, ef
	}
	mc.Incarnation = ev.Incarnation
	if first {
		return true, ef
	}
	mc.leaving = ""
	mc.resetFailures()
	if !mc.removed {
		mc.setRampStep(now, 0, WhyNewIncarnation, rnd)
	}
	return true, effect{sign: SignReturned}
}

// acceptsLowerIncarnation reports whether a probe's answer may come from a process with a lower
// incarnation. If the old process had announced that it leaves, its messages may still be in
// transit, and its load endpoint may lag, until the longest deadline has passed.
func (mc *machine) acceptsLowerIncarnation(now time.Duration) bool {
	if mc.State != view.StateGone {
		return false
	}
	return mc.leaving == "" || now-mc.goneAt >= maxMessageDelay
}

// resetFailures clears the record of failures and probes.
func (mc *machine) resetFailures() {
	mc.failures, mc.probeFailures, mc.probeSuccesses = 0, 0, 0
	mc.score = 0
	mc.backoff = 0
	mc.reportsCold = false
	mc.probeAt = never
}

func (mc *machine) handleWake(now time.Duration, rnd *rand.Rand) effect {
	if now >= mc.stepAt {
		mc.handleStepDue(now, rnd)
	}
	if now < mc.probeAt {
		return effect{}
	}
	mc.probeAt = now + probeTimeout
	return effect{probe: true}
}

func (mc *machine) handleStepDue(now time.Duration, rnd *rand.Rand) {
	mc.stepAt = never
	switch mc.State {
	case view.StateShedding:
		mc.Weight = min(1, mc.Weight*2)
		if mc.Weight == 1 {
			mc.setState(view.StateServing, WhyReplies, 1)
			return
		}
		mc.stepAt = now + shedRecoverAfter
	case view.StateCold:
		mc.nextRampStep(now, rnd)
	}
}

// nextRampStep moves to the next step of the ramp if replies have confirmed the current one.
func (mc *machine) nextRampStep(now time.Duration, rnd *rand.Rand) {
	step := mc.step
	if mc.stepConfirmed && !(mc.reportsCold && step >= maxColdStep) {
		step++
	}
	if step >= rampSteps {
		mc.setState(view.StateServing, WhyReplies, 1)
		return
	}
	mc.setRampStep(now, step, mc.Why, rnd)
}

// setRampStep makes the server cold, with a weight of 1/8, 1/4 or 1/2 by the step.
func (mc *machine) setRampStep(now time.Duration, step uint8, why string, rnd *rand.Rand) {
	mc.step = step
	mc.stepConfirmed = false
	mc.setState(view.StateCold, why, 1/float32(uint(1)<<(rampSteps-step)))
	// Jitter prevents all VMs from raising the server's load at the same moment.
	mc.stepAt = now + rampStepInterval*3/4 + jitter(rnd, rampStepInterval/2)
}

// scheduleProbe schedules the next probe, with a backoff that doubles each time, and jitter.
func (mc *machine) scheduleProbe(now time.Duration, rnd *rand.Rand) {
	mc.backoff = min(max(2*mc.backoff, minProbeBackoff), maxProbeBackoff)
	mc.probeAt = now + mc.backoff/2 + jitter(rnd, mc.backoff/2)
}

func jitter(rnd *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rnd.Int64N(int64(limit)))
}

func (mc *machine) setState(st view.State, why string, weight float32) {
	mc.State, mc.Why, mc.Weight = st, why, weight
}
