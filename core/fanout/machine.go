package fanout

import (
	"time"

	"laburnumvane/core/origin"
)

// none stands for no attempt.
const none = -1

// SpareTries is how many attempts beyond MaxAttempts may be spent on servers
// that provably did not run the request, so that a wave of refusals does not go
// round all servers of a service.
const SpareTries = 1

// attempt is one try on one server.
type attempt struct {
	shard   int
	up      *origin.Upstream
	started time.Duration
	verdict Verdict
	// trial is set for one that shows whether the request crashes servers.
	trial bool
}

// shard is the progress on one service.
type shard struct {
	winner int
	// open counts attempts without verdict, ran those that may have run, tries
	// those that arrived or may have. All counts those that never left too.
	open, ran, tries, all int
	// broken counts the attempts that its servers broke while none had answered.
	broken int
	// reached is set once an attempt may have arrived at the service, so that
	// further ones draw on the budget.
	reached bool
	// again is set once a server did nothing that speaks against asking it again: it had
	// no room, or another VM advised against it.
	again bool
	// dead is set when nothing more can be done for it.
	dead bool
	// hedgeAt is when a further server is asked; 0 if never.
	hedgeAt time.Duration
	// due is set while it waits for the outcome of a trial, and after is the verdict on
	// its attempt before; 0 if there was none.
	due   bool
	after Verdict
}

// Machine takes one request from Start to its answer.
type Machine struct {
	cfg      Config
	shards   []shard
	attempts []attempt
	actions  []Action
	tried    []*origin.Upstream
	winners  []int
	done     int
	dead     int
	hedges   int
	retries  int
	full     bool
	shown    int
	reason   string
	answered bool
	ward     ward
}

// New makes the machine of one request; it does nothing until Start.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg, shown: none}
}

// Start sends the first attempts. Where too few shards have a server at all,
// nothing is sent: the servers of the others would work for an answer that there
// cannot be, and the client could not be told that its request did not run.
func (mc *Machine) Start(now time.Duration) []Action {
	mc.shards = make([]shard, mc.cfg.Shards)
	mc.attempts = make([]attempt, 0, mc.cfg.Shards+mc.cfg.Shards/4+1)
	mc.actions = make([]Action, 0, mc.cfg.Shards+1)
	for i := range mc.shards {
		mc.shards[i].winner = none
	}
	for i := range mc.shards {
		mc.begin(now, i)
	}
	if mc.hopeless() {
		mc.recall()
	}
	mc.proceed(now)
	mc.settle(now)
	return mc.actions
}

// begin sends a shard's first attempt, or has it wait for a trial.
func (mc *Machine) begin(now time.Duration, i int) {
	if mc.cfg.Suspect {
		mc.ward.careful = true
		if _, ok := mc.pick(now, i, false, true); !ok {
			mc.kill(i, ReasonNoUpstream)
			return
		}
		mc.shards[i].due = true
		return
	}
	if !mc.send(now, i, CauseFirst, 0, false) {
		mc.kill(i, mc.reason)
	}
}

// hopeless tells whether too many shards are given up.
func (mc *Machine) hopeless() bool { return mc.cfg.Shards-mc.dead < mc.cfg.MinParts }

// recall takes back the attempts of Start, which nobody has seen yet.
func (mc *Machine) recall() {
	mc.attempts = mc.attempts[:0]
	mc.actions = mc.actions[:0]
	for i := range mc.shards {
		mc.shards[i] = shard{winner: none, dead: true}
	}
	mc.dead = mc.cfg.Shards
}

// Step takes one event in.
func (mc *Machine) Step(now time.Duration, ev Event) []Action {
	mc.actions = mc.actions[:0]
	switch ev.Kind {
	case EvResult:
		mc.onResult(now, ev)
	case EvGone:
		mc.onGone(now)
	case EvWake:
		// settle looks at the time.
	}
	mc.proceed(now)
	mc.settle(now)
	return mc.actions
}

// Shard is that of an attempt.
func (mc *Machine) Shard(k int) int { return mc.attempts[k].shard }

// Wake is when EvWake is due.
func (mc *Machine) Wake() time.Duration {
	at := mc.cfg.Hard
	if mc.done >= mc.cfg.MinParts {
		at = min(at, mc.cfg.Target)
	}
	if mc.ward.careful {
		return min(at, mc.nextTrial())
	}
	hedge := mc.cfg.Hard
	for i := range mc.shards {
		if due := mc.shards[i].hedgeAt; due > 0 {
			hedge = min(hedge, due)
		}
	}
	return min(at, max(hedge, mc.ward.hedgeFrom))
}

// Upstream is the server of an attempt.
func (mc *Machine) Upstream(k int) *origin.Upstream { return mc.attempts[k].up }

// Started is when an attempt was sent.
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
	sh.open--
	if ev.Verdict.MayHaveRun() {
		sh.ran++
	}
	switch ev.Verdict {
	case Unsent, Elsewhere, Doubted:
		// Neither arrived at the service: what is at that address is another
		// one's. It takes nothing from what the service may be asked.
		sh.tries--
	default:
		sh.reached = true
	}
	mc.weigh(now, at, ev)
	if mc.answered || sh.winner != none {
		return
	}
	switch ev.Verdict {
	case Served:
		mc.win(at.shard, ev.Attempt)
		return
	case Failed:
		mc.shown = ev.Attempt
	case Refused:
		mc.full = true
		sh.again = true
	case Doubted:
		sh.again = true
	}
	if sh.open == 0 {
		sh.due, sh.after = true, ev.Verdict
	}
}

// win settles a shard.
func (mc *Machine) win(i, k int) {
	sh := &mc.shards[i]
	sh.winner = k
	sh.hedgeAt = 0
	mc.done++
	if sh.open > 0 {
		mc.dropOpen(i)
	}
}

// retry asks another server for a shard that is due, or gives it up.
func (mc *Machine) retry(now time.Duration, i int, trial bool) {
	sh := &mc.shards[i]
	after := sh.after
	sh.due, sh.after = false, 0
	if sh.ran > 0 && !mc.cfg.Idempotent {
		mc.kill(i, ReasonOnce)
		return
	}
	if !mc.mayTry(sh) {
		mc.kill(i, ReasonAttempts)
		return
	}
	cause := CauseFirst
	if sh.reached {
		cause = CauseRetry
	}
	if !mc.send(now, i, cause, after, trial) {
		mc.kill(i, mc.reason)
	}
}

func (mc *Machine) mayTry(sh *shard) bool {
	ran := sh.ran
	if mc.ward.careful && mc.ward.broken >= surelyEnded {
		ran -= sh.broken
	}
	return ran+sh.open < mc.cfg.MaxAttempts && sh.tries < mc.cfg.MaxAttempts+SpareTries
}

// pick picks a server that was not asked for the shard. Where there is none, one that
// refused is asked again, for it did not run the request and may have room by now, or one
// that is doubted, which may be slow and is better than none.
func (mc *Machine) pick(now time.Duration, i int, first, trial bool) (*origin.Upstream, bool) {
	ask := Ask{Shard: i, Tried: mc.triedOf(i), First: first, Trial: trial}
	up, ok := mc.cfg.Chooser.Pick(now, ask)
	if !ok && mc.shards[i].again {
		ask.Tried = mc.spentOf(i)
		up, ok = mc.cfg.Chooser.Pick(now, ask)
	}
	return up, ok
}

// send picks a server and sends; it tells whether it could.
func (mc *Machine) send(now time.Duration, i int, ca Cause, after Verdict, trial bool) bool {
	if mc.cfg.Hard-now < mc.cfg.LeastTime {
		mc.reason = ReasonDeadline
		return false
	}
	up, ok := mc.pick(now, i, ca == CauseFirst && !mc.shards[i].again, trial)
	if !ok {
		mc.reason = ReasonNoUpstream
		return false
	}
	if ca != CauseFirst && !mc.cfg.Budget.Spend(i, mc.needed(ca)) {
		mc.reason = ReasonBudget
		return false
	}
	mc.attempts = append(mc.attempts, attempt{shard: i, up: up, started: now, trial: trial})
	sh := &mc.shards[i]
	sh.open++
	sh.tries++
	sh.all++
	sh.hedgeAt = 0
	if mc.cfg.Idempotent && mc.cfg.HedgeAfter > 0 && mc.mayTry(sh) {
		sh.hedgeAt = now + mc.cfg.HedgeAfter
	}
	mc.count(ca)
	mc.actions = append(mc.actions, Action{
		Kind:     ActSend,
		Attempt:  len(mc.attempts) - 1,
		Shard:    i,
		Upstream: up,
		Cause:    ca,
		After:    after,
		Trial:    trial,
	})
	return true
}

// needed tells whether the request fails if the shard at hand gives no answer. A
// hedge is needed if so many are late that there would be too few at the target.
func (mc *Machine) needed(ca Cause) bool {
	spare := mc.cfg.Shards - mc.cfg.MinParts - mc.dead
	if ca == CauseHedge {
		return mc.cfg.Shards-mc.done-mc.dead > spare
	}
	return spare <= 0
}

func (mc *Machine) count(ca Cause) {
	switch ca {
	case CauseHedge:
		mc.hedges++
	case CauseRetry:
		mc.retries++
	}
}

// triedOf lists the servers that were asked for a shard.
func (mc *Machine) triedOf(i int) []*origin.Upstream {
	mc.tried = mc.tried[:0]
	if mc.shards[i].all == 0 {
		return mc.tried
	}
	for k := range mc.attempts {
		if mc.attempts[k].shard == i {
			mc.tried = append(mc.tried, mc.attempts[k].up)
		}
	}
	return mc.tried
}

// spentOf lists the servers that were asked for a shard and did more than refuse, or were
// not asked for an advice only.
// Where two of three servers of a shard are left, and both refuse two of five requests
// at random, one request in six is refused by both; asked once more, one in sixteen.
func (mc *Machine) spentOf(i int) []*origin.Upstream {
	mc.tried = mc.tried[:0]
	for k := range mc.attempts {
		if at := &mc.attempts[k]; at.shard == i && at.verdict != Refused && at.verdict != Doubted {
			mc.tried = append(mc.tried, at.up)
		}
	}
	return mc.tried
}

// kill gives a shard up.
func (mc *Machine) kill(i int, reason string) {
	sh := &mc.shards[i]
	sh.dead = true
	sh.hedgeAt = 0
	mc.dead++
	mc.reason = reason
}

// hedge asks a second server for each shard whose attempt is late.
func (mc *Machine) hedge(now time.Duration) {
	for i := range mc.shards {
		sh := &mc.shards[i]
		if sh.hedgeAt == 0 || now < sh.hedgeAt || now < mc.ward.hedgeFrom {
			continue
		}
		sh.hedgeAt = 0
		switch {
		case mc.send(now, i, CauseHedge, 0, false):
			mc.holdHedges(now)
		case mc.reason == ReasonBudget:
			// Later requests earn tokens; one may be there by then.
			sh.hedgeAt = now + mc.cfg.HedgeAfter
		}
	}
}

// settle answers as soon as the answer is certain, or asks further servers.
func (mc *Machine) settle(now time.Duration) {
	if mc.answered {
		return
	}
	enough := mc.done >= mc.cfg.MinParts
	switch {
	case mc.done == mc.cfg.Shards:
		mc.answer(now, OutcomeServed, "")
	case mc.done+mc.dead == mc.cfg.Shards && enough:
		mc.answer(now, OutcomeServed, mc.reason)
	case mc.hopeless():
		mc.answer(now, mc.failure(), mc.reason)
	case enough && now >= mc.cfg.Target:
		mc.answer(now, OutcomeServed, ReasonTarget)
	case now >= mc.cfg.Hard:
		mc.answer(now, mc.failure(), ReasonDeadline)
	case !mc.ward.careful:
		mc.hedge(now)
	}
}

// failure tells whether the request may have run.
func (mc *Machine) failure() Outcome {
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
		mc.answer(now, OutcomeGone, ReasonGone)
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
		Outcome:  oc,
		Reason:   reason,
		Winners:  mc.winners,
		Missing:  mc.cfg.Shards - mc.done,
		Shown:    mc.shown,
		Full:     mc.full,
		Attempts: len(mc.attempts),
		Hedges:   mc.hedges,
		Retries:  mc.retries,
		At:       now,
	}})
}

// dropOpen drops the attempts of a shard that have no verdict.
func (mc *Machine) dropOpen(i int) {
	for k := range mc.attempts {
		if at := &mc.attempts[k]; at.shard == i && at.verdict == 0 {
			mc.actions = append(mc.actions, Action{Kind: ActDrop, Attempt: k, Shard: i, Upstream: at.up})
		}
	}
}
