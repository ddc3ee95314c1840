package fanout

import (
	"time"

	"laburnumvane/core/origin"
)

// retry sends the next attempt of a shard that is due, or fails the shard if no more are allowed.
func (mc *Machine) retry(now time.Duration, i int, trial bool) {
	sh := &mc.shards[i]
	after := sh.lastVerdict
	sh.due, sh.lastVerdict = false, 0
	if sh.ran > 0 && !mc.cfg.Idempotent {
		mc.failShard(i, ReasonMayHaveRun)
		return
	}
	if !mc.mayAttempt(sh) {
		mc.failShard(i, ReasonAttempts)
		return
	}
	cause := CauseFirst
	if sh.reached {
		cause = CauseRetry
	}
	if mc.send(now, i, cause, after, trial) {
		return
	}
	if mc.reason == ReasonBudget && !trial && mc.mayAwaitToken(now, i) {
		sh.due, sh.lastVerdict, sh.retryAt = true, after, now+tokenRetryDelay
		return
	}
	if mc.reason == ReasonDeadline {
		mc.reason = mc.deadlineReason()
	}
	mc.failShard(i, mc.reason)
}

func (mc *Machine) mayAttempt(sh *shard) bool {
	ran := sh.ran
	if mc.guard.trialsOnly && mc.guard.broken >= confirmedCrashes {
		ran -= sh.broken
	}
	return ran+sh.open < mc.cfg.MaxAttempts && sh.tries < mc.cfg.MaxAttempts+SpareAttempts
}

// mayHedge reports whether a shard may have another attempt while one is open.
func (mc *Machine) mayHedge(sh *shard) bool {
	return mc.cfg.Idempotent && mc.cfg.HedgeAfter > 0 && mc.mayAttempt(sh)
}

// pick picks a server that was not asked for the shard yet. If there is none, it allows a server
// that refused, since that did not run the request and may have capacity by now, or one that was
// advised against, since a slow server is better than none.
func (mc *Machine) pick(now time.Duration, i int, first, trial bool) (*origin.Upstream, bool) {
	rq := PickRequest{Shard: i, Tried: mc.triedServers(i), First: first, Trial: trial}
	up, ok := mc.cfg.Chooser.Pick(now, rq)
	if !ok && mc.shards[i].mayReuse {
		rq.Tried = mc.nonReusableServers(i)
		up, ok = mc.cfg.Chooser.Pick(now, rq)
	}
	return up, ok
}

// send picks a server and sends an attempt. If it cannot, it returns false and sets mc.reason.
func (mc *Machine) send(now time.Duration, i int, ca Cause, after Verdict, trial bool) bool {
	if mc.cfg.HardDeadline-now < mc.cfg.MinTimeLeft {
		mc.reason = ReasonDeadline
		return false
	}
	up, ok := mc.pick(now, i, ca == CauseFirst && !mc.shards[i].mayReuse, trial)
	if !ok {
		mc.reason = ReasonNoUpstream
		return false
	}
	if ca != CauseFirst && !mc.spend(now, i, ca) {
		mc.reason = ReasonBudget
		return false
	}
	mc.attempts = append(mc.attempts, attempt{shard: i, up: up, started: now, trial: trial, hasToken: ca != CauseFirst})
	sh := &mc.shards[i]
	sh.open++
	sh.tries++
	sh.total++
	sh.hedgeAt = 0
	if mc.mayHedge(sh) {
		sh.hedgeAt = now + mc.cfg.HedgeAfter
	}
	mc.countCause(ca)
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

func (mc *Machine) countCause(ca Cause) {
	switch ca {
	case CauseHedge:
		mc.hedges++
	case CauseRetry:
		mc.retries++
	}
}

// triedServers returns the servers that were asked for a shard.
func (mc *Machine) triedServers(i int) []*origin.Upstream {
	mc.tried = mc.tried[:0]
	if mc.shards[i].total == 0 {
		return mc.tried
	}
	for k := range mc.attempts {
		if mc.attempts[k].shard == i {
			mc.tried = append(mc.tried, mc.attempts[k].up)
		}
	}
	return mc.tried
}

// nonReusableServers returns the servers that were asked for a shard, without those that refused
// or were advised against. Asking refusing servers again matters when few servers are left: if
// two of a shard's three servers are left and each refuses two of five requests at random, one
// request in six is refused by both; with one more attempt it is one in sixteen.
func (mc *Machine) nonReusableServers(i int) []*origin.Upstream {
	mc.tried = mc.tried[:0]
	for k := range mc.attempts {
		if at := &mc.attempts[k]; at.shard == i && at.verdict != Refused && at.verdict != Doubted {
			mc.tried = append(mc.tried, at.up)
		}
	}
	return mc.tried
}
