package fanout

import (
	"time"

	"laburnumvane/core/origin"
)

// none is the index used for "no attempt".
const none = -1

// SpareAttempts is how many attempts beyond MaxAttempts may be spent on servers that provably did
// not run the request. The bound keeps a wave of refusals from reaching all servers of a service.
const SpareAttempts = 1

// attempt is one request to one server.
type attempt struct {
	shard   int
	up      *origin.Upstream
	started time.Duration
	verdict Verdict
	// trial is set if the attempt shows whether the request crashes servers, and hasToken if a token
	// was taken for it.
	trial, hasToken bool
}

// shard is the state of the request at one service.
type shard struct {
	winner int
	// open counts attempts without a verdict, ran those that may have run, tries those that
	// reached the service or may have. total also counts those that never left this VM.
	open, ran, tries, total int
	// broken counts the attempts whose connection a server ended while none had answered.
	broken int
	// reached is set once an attempt may have reached the service; further ones take from the
	// budget.
	reached bool
	// mayReuse is set once a server may be asked again: it had no capacity, or another VM advised
	// against it.
	mayReuse bool
	// failed is set when the shard can no longer answer.
	failed bool
	// hedgeAt is when a hedge is sent; 0 if none is planned.
	hedgeAt time.Duration
	// unusedTokens counts the attempts that had a token and were not sent; the next ones of the
	// shard need none.
	unusedTokens int
	// late is set once a hedge was due.
	late bool
	// due is set while an attempt waits to be sent, possibly for the result of a trial.
	// lastVerdict is the verdict on the previous attempt; 0 if there was none.
	due         bool
	lastVerdict Verdict
	// retryAt is when an attempt that is due and had no token is tried again.
	retryAt time.Duration
}

// Machine runs one request from Start to its answer. It is not safe for concurrent use.
type Machine struct {
	cfg      Config
	shards   []shard
	attempts []attempt
	actions  []Action
	tried    []*origin.Upstream
	winners  []int
	served   int
	failed   int
	hedges   int
	retries  int
	full     bool
	shown    int
	reason   string
	answered bool
	guard    crashGuard
	// lacked is set once the request lacked capacity, for the last time at lackedAt.
	lacked   bool
	lackedAt time.Duration
}

// New returns the machine for one request; Start begins the work.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg, shown: none}
}

// Start sends the first attempts. If fewer than MinParts shards have a server, nothing is sent:
// the other servers would work in vain, and the client could not be told that its request did not
// run.
func (mc *Machine) Start(now time.Duration) []Action {
	mc.shards = make([]shard, mc.cfg.Shards)
	mc.attempts = make([]attempt, 0, mc.cfg.Shards+mc.cfg.Shards/4+1)
	mc.actions = make([]Action, 0, mc.cfg.Shards+1)
	for i := range mc.shards {
		mc.shards[i].winner = none
	}
	for i := range mc.shards {
		mc.startShard(now, i)
	}
	if mc.cannotSucceed() {
		mc.discardAttempts()
	}
	mc.sendDue(now)
	mc.decide(now)
	return mc.actions
}

// startShard sends a shard's first attempt, or marks it as due for a trial if the request is
// suspect.
func (mc *Machine) startShard(now time.Duration, i int) {
	if mc.cfg.Suspect {
		mc.guard.trialsOnly = true
		if _, ok := mc.pick(now, i, false, true); !ok {
			mc.failShard(i, ReasonNoUpstream)
			return
		}
		mc.shards[i].due = true
		return
	}
	if !mc.send(now, i, CauseFirst, 0, false) {
		mc.failShard(i, mc.reason)
	}
}

// cannotSucceed reports whether so many shards have failed that fewer than MinParts are left.
func (mc *Machine) cannotSucceed() bool { return mc.cfg.Shards-mc.failed < mc.cfg.MinParts }

// discardAttempts drops the attempts of Start before the caller has received them.
func (mc *Machine) discardAttempts() {
	mc.attempts = mc.attempts[:0]
	mc.actions = mc.actions[:0]
	for i := range mc.shards {
		mc.shards[i] = shard{winner: none, failed: true}
	}
	mc.failed = mc.cfg.Shards
}

// Step processes one event.
func (mc *Machine) Step(now time.Duration, ev Event) []Action {
	mc.actions = mc.actions[:0]
	switch ev.Kind {
	case EvResult:
		mc.onResult(now, ev)
	case EvClientGone:
		mc.onGone(now)
	case EvWake:
		// decide checks the deadlines.
	}
	mc.sendDue(now)
	mc.decide(now)
	return mc.actions
}

// Shard returns the shard of attempt k.
func (mc *Machine) Shard(k int) int { return mc.attempts[k].shard }

// Wake returns when the next EvWake is due.
func (mc *Machine) Wake() time.Duration {
	at := mc.cfg.HardDeadline
	if mc.served >= mc.cfg.MinParts {
		at = min(at, mc.cfg.Target)
	}
	if mc.guard.trialsOnly {
		return min(at, mc.nextTrialTime())
	}
	hedge := mc.cfg.HardDeadline
	for i := range mc.shards {
		sh := &mc.shards[i]
		if sh.hedgeAt > 0 {
			hedge = min(hedge, sh.hedgeAt)
		}
		if sh.due {
			at = min(at, sh.retryAt)
		}
	}
	return min(at, max(hedge, mc.guard.hedgeNotBefore))
}

// Upstream returns the server of attempt k.
func (mc *Machine) Upstream(k int) *origin.Upstream { return mc.attempts[k].up }

// Started returns when attempt k was sent.
func (mc *Machine) Started(k int) time.Duration { return mc.attempts[k].started }

func (mc *Machine) onResult(now time.Duration, ev Event) {
	if ev.Attempt < 0 || ev.Attempt >= len(mc.attempts) {
		return
	}
	at := &mc.attempts[ev.Attempt]
	if at.verdict != 0 {
		return
	}
	at.verdict = ev.Verdict
	sh := &mc.shards[at.shard]
	sh.count(at)
	mc.updateGuard(now, at, ev)
	if mc.answered || sh.winner != none {
		return
	}
	switch ev.Verdict {
	case Served:
		mc.setWinner(at.shard, ev.Attempt)
		return
	case Failed:
		mc.shown = ev.Attempt
	case Refused:
		mc.full = true
		sh.mayReuse = true
	case Doubted:
		sh.mayReuse = true
	}
	switch {
	case sh.open == 0:
		sh.due, sh.lastVerdict = true, ev.Verdict
	case ev.Verdict == Unsent && mc.mayHedge(sh):
		// The hedge got no connection, and the attempt before it is still late.
		sh.hedgeAt = now
	}
}

// count counts the verdict on an attempt of the shard.
func (sh *shard) count(at *attempt) {
	sh.open--
	if at.verdict.MayHaveRun() {
		sh.ran++
	}
	switch at.verdict {
	case Unsent, Elsewhere, Doubted:
		// The request did not reach the service: another process listens at that address, or
		// nothing was sent. It does not count against the service's limit of attempts.
		sh.tries--
		if at.verdict == Unsent && at.hasToken {
			sh.unusedTokens++
		}
	default:
		sh.reached = true
	}
}

// setWinner records the attempt that answered for a shard and drops its other attempts.
func (mc *Machine) setWinner(i, k int) {
	sh := &mc.shards[i]
	sh.winner = k
	sh.hedgeAt = 0
	mc.served++
	if sh.open > 0 {
		mc.dropOpen(i)
	}
}

// failShard records that a shard cannot answer, and why.
func (mc *Machine) failShard(i int, reason string) {
	sh := &mc.shards[i]
	sh.failed = true
	sh.hedgeAt = 0
	mc.failed++
	mc.reason = reason
}

// hedgeDue reports whether the attempt of a shard is late.
func (mc *Machine) hedgeDue(now time.Duration, sh *shard) bool {
	return sh.hedgeAt > 0 && now >= sh.hedgeAt && now >= mc.guard.hedgeNotBefore
}

// hedge sends a further attempt for each shard whose attempt is late.
func (mc *Machine) hedge(now time.Duration) {
	for i := range mc.shards {
		sh := &mc.shards[i]
		sh.late = sh.late || mc.hedgeDue(now, sh)
	}
	for i := range mc.shards {
		sh := &mc.shards[i]
		if !mc.hedgeDue(now, sh) {
			continue
		}
		if mc.hasMaxHedges() {
			sh.hedgeAt = now + mc.cfg.HedgeAfter
			continue
		}
		sh.hedgeAt = 0
		switch {
		case mc.send(now, i, CauseHedge, 0, false):
			mc.delayHedges(now)
		case mc.reason == ReasonBudget:
			// Later requests earn tokens; one may be available by then.
			sh.hedgeAt = now + mc.cfg.HedgeAfter
		}
	}
}

// decide gives the answer as soon as it is certain, and otherwise sends hedges that are due.
func (mc *Machine) decide(now time.Duration) {
	if mc.answered {
		return
	}
	enough := mc.served >= mc.cfg.MinParts
	switch {
	case mc.served == mc.cfg.Shards:
		mc.answer(now, OutcomeServed, "")
	case mc.served+mc.failed == mc.cfg.Shards && enough:
		mc.answer(now, OutcomeServed, mc.reason)
	case mc.cannotSucceed():
		mc.answer(now, mc.failureOutcome(), mc.reason)
	case enough && now >= mc.cfg.Target:
		mc.answer(now, OutcomeServed, ReasonTarget)
	case now >= mc.cfg.HardDeadline:
		mc.answer(now, mc.failureOutcome(), mc.deadlineReason())
	case !mc.guard.trialsOnly:
		mc.hedge(now)
	}
}

// failureOutcome reports whether a failed request may have run.
func (mc *Machine) failureOutcome() Outcome {
	for k := range mc.attempts {
		ve := mc.attempts[k].verdict
		if ve == 0 || ve.MayHaveRun() {
			return OutcomeFailed
		}
	}
	return OutcomeNotRun
}

func (mc *Machine) onGone(now time.Duration) {
	if !mc.answered {
		mc.answer(now, OutcomeClientGone, ReasonClientGone)
	}
}

func (mc *Machine) answer(now time.Duration, oc Outcome, reason string) {
	mc.answered = true
	for i := range mc.shards {
		sh := &mc.shards[i]
		sh.hedgeAt = 0
		if sh.winner != none {
			mc.winners = append(mc.winners, sh.winner)
		} else if sh.open > 0 {
			mc.dropOpen(i)
		}
	}
	mc.actions = append(mc.actions, Action{Kind: ActAnswer, Answer: Answer{
		Outcome:      oc,
		Reason:       reason,
		Winners:      mc.winners,
		Missing:      mc.cfg.Shards - mc.served,
		ShownFailure: mc.shown,
		NoCapacity:   mc.full,
		Attempts:     len(mc.attempts),
		Hedges:       mc.hedges,
		Retries:      mc.retries,
		Lacked:       mc.lacked,
		LackedAt:     mc.lackedAt,
		At:           now,
	}})
}

// dropOpen drops the attempts of a shard that have no verdict yet.
func (mc *Machine) dropOpen(i int) {
	for k := range mc.attempts {
		if at := &mc.attempts[k]; at.shard == i && at.verdict == 0 {
			mc.actions = append(mc.actions, Action{Kind: ActDrop, Attempt: k, Shard: i, Upstream: at.up})
		}
	}
}
