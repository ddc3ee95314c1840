package fanout

import "time"

// tokenRetryDelay is how long a needed attempt without a token waits before it asks for one again.
// Other requests for the shard earn tokens meanwhile: a VM with 30 of them per second earns five.
const tokenRetryDelay = 25 * time.Millisecond

// Capacity is what the servers of a shard can take of one more request.
type Capacity uint8

// Capacities, each better than the previous one.
const (
	// CapacityNone: no server responds, or none could answer in time even if it was idle.
	CapacityNone Capacity = iota
	// CapacityFull: servers respond, but none of them has spare capacity.
	CapacityFull
	// CapacityFree: a server responds and has spare capacity.
	CapacityFree
)

// Need is what a request needs an attempt beyond the first for.
type Need uint8

// Needs, each more important than the previous one.
const (
	// NeedNone: the other shards suffice for MinParts.
	NeedNone Need = iota
	// NeedTarget: too few shards have answered, and this one is late. Its attempt is still open.
	NeedTarget
	// NeedAnswer: without the attempt the request fails.
	NeedAnswer
)

const (
	// targetReserve and noneReserve are the tokens that are kept for more important needs, and
	// noneReserveShare is the latter as a share of the budget's burst if that is more.
	targetReserve    = 1
	noneReserve      = 2
	noneReserveShare = 1.0 / 3
	// reserveTime is for how long after an attempt of NeedAnswer tokens are kept. If they are always
	// kept, fewer hedges are sent on days on which no retry is needed: nine VMs then served 0.988 of
	// the requests in place of 0.996. 10 s is the window over which extra attempts are limited.
	reserveTime = 10 * time.Second
)

// Reserve returns how many tokens have to be left after one is taken, in a budget with a burst. The
// last attempt of NeedAnswer at the same service was sinceNeeded ago. It is less than the burst, or
// no attempt for this need would ever be sent.
func (ne Need) Reserve(burst float64, sinceNeeded time.Duration) float64 {
	if sinceNeeded >= reserveTime {
		return 0
	}
	reserve := 0.0
	switch ne {
	case NeedNone:
		reserve = max(noneReserve, noneReserveShare*burst)
	case NeedTarget:
		reserve = targetReserve
	case NeedAnswer:
	}
	return max(0, min(reserve, burst-1))
}

// spend takes a token for a further attempt, if the shard has no unused one.
func (mc *Machine) spend(now time.Duration, i int, ca Cause) bool {
	if sh := &mc.shards[i]; sh.unusedTokens > 0 {
		sh.unusedTokens--
		return true
	}
	need := mc.need(now, i, ca)
	ok := mc.cfg.Budget.Spend(i, need)
	if need != NeedNone && !ok {
		mc.CapacityLacked(now)
	}
	return ok
}

// need returns what an attempt at shard i is needed for. At the time of a hedge, the other shards
// that have not answered are late as well. A request to one service has nothing to put first.
func (mc *Machine) need(now time.Duration, i int, ca Cause) Need {
	switch {
	case ca == CauseHedge && mc.served >= mc.cfg.MinParts, ca != CauseHedge && mc.canDoWithout(now, i):
		return NeedNone
	case ca == CauseHedge && mc.cfg.Shards > 1:
		return NeedTarget
	}
	return NeedAnswer
}

// canDoWithout reports whether the other shards suffice for MinParts: those that have answered, and
// those that have not failed and have a server that responds.
func (mc *Machine) canDoWithout(now time.Duration, i int) bool {
	others := mc.cfg.Shards - mc.failed - 1
	if others < mc.cfg.MinParts || mc.cfg.Capacity == nil {
		return others >= mc.cfg.MinParts
	}
	for j := range mc.shards {
		sh := &mc.shards[j]
		if j != i && sh.winner == none && !sh.failed && mc.cfg.Capacity(now, j) == CapacityNone {
			others--
		}
	}
	return others >= mc.cfg.MinParts
}

// mayAwaitToken reports whether a retry of shard i may wait for a token. It may if the work of the
// other shards would be lost without it.
func (mc *Machine) mayAwaitToken(now time.Duration, i int) bool {
	return mc.cfg.Capacity != nil && mc.cfg.Idempotent && mc.cfg.Shards > 1 && !mc.canDoWithout(now, i)
}

// deadlineReason returns why a request is not answered by its deadline.
func (mc *Machine) deadlineReason() string {
	for i := range mc.shards {
		if sh := &mc.shards[i]; sh.retryAt > 0 && sh.winner == none && sh.open == 0 {
			return ReasonBudget
		}
	}
	return ReasonDeadline
}

// CapacityLacked records that an attempt could not be sent: it had no token, or waited too long for a
// connection. The request lacks capacity only if fewer requests would help, that is if MinParts can
// be reached with the shards whose servers are full, and not without them.
func (mc *Machine) CapacityLacked(now time.Duration) {
	if mc.cfg.Capacity == nil || mc.answered {
		return
	}
	free, full := mc.served, 0
	for i := range mc.shards {
		sh := &mc.shards[i]
		if sh.winner != none {
			continue
		}
		switch mc.cfg.Capacity(now, i) {
		case CapacityFree:
			if !sh.failed {
				free++
			}
		case CapacityFull:
			full++
		case CapacityNone:
		}
	}
	if free < mc.cfg.MinParts && free+full >= mc.cfg.MinParts {
		mc.lacked, mc.lackedAt = true, now
	}
}
