package quota

import (
	"math"
	"slices"
	"time"

	"laburnumvane/core/acct"
)

const (
	// refusalMemory is how long a holder is not asked again after it had nothing to give.
	refusalMemory = 150 * time.Millisecond
	// minSilence and maxSilence bound how long a VM is not called after a call without a reply;
	// the time doubles with each such call.
	minSilence = 250 * time.Millisecond
	maxSilence = 2 * time.Second
	// unreachableRetry is the least Retry-After of a VM that reaches no holder: a connection or an
	// updated list of VMs takes some tenths of a second.
	unreachableRetry = 500 * time.Millisecond
	// maxRefusals is how many holders refuse a request of a VM that is no holder before it is
	// refused. Each of them has tried to borrow.
	maxRefusals = 2
	// minLoan is the least number of tokens for which a call is made.
	minLoan = 0.02
	// minUsefulLoan is the least level at which a holder that needs its tokens lends some.
	minUsefulLoan = 2
	// maxCalls limits the outstanding calls of an account. maxSlowCalls limits those of a VM that is no
	// holder and that are not answered after hedgeAfter: the tokens of late replies are mostly lost.
	maxCalls     = 8
	maxSlowCalls = 3
	// expectedShare is how much of its estimated tokens a holder is expected to give, as others
	// borrow from it too.
	expectedShare = 0.35
	// maxWant limits the tokens of one call.
	maxWant = 1 << 20
)

// silence is what is known of a VM that did not respond.
type silence struct {
	until, length time.Duration
	// failed is set once a call to it has failed. Until then it may only be slow.
	failed bool
}

// Reply is the reply to a Call.
type Reply struct {
	// Failed is set if there was no reply.
	Failed  bool
	Granted float64
	// Wait is how long the called VM expects to have no tokens.
	Wait time.Duration
	// Holds is set if the called VM is a holder of the account.
	Holds bool
	// CopyAge is the age of the called VM's copy of the store; 0 if it is unknown. Only calls without Want
	// have it.
	CopyAge time.Duration
}

// outstanding returns the number of calls whose reply is waited for, and the time of the last one. A
// patient request also waits for slow VMs, if they have not failed to reply before.
func (li *Limiter) outstanding(now time.Duration, st *state, patient bool) (n int, last time.Duration) {
	for _, ca := range st.calls {
		age := now - ca.at
		if age < MaxWait || patient && age < CallTimeout && !li.silent[ca.peer].failed {
			n++
			last = max(last, ca.at)
		}
	}
	return n, last
}

// noneReachable reports whether no holder of an account responds, and records since when. One that is
// slow is reachable until a call to it has failed.
func (li *Limiter) noneReachable(now time.Duration, st *state) bool {
	for i := range st.holders.Peers {
		pe := &st.holders.Peers[i]
		si := li.silent[pe.Addr]
		if pe.Rank < st.part.perCentre && (now >= si.until || !si.failed) && now >= st.peers[pe.Addr].refusedUntil {
			return false
		}
	}
	if li.isolatedSince < 0 {
		li.isolatedSince = now
	}
	return true
}

// takeIsolated takes a token from the bucket for when no holder is reachable.
func (li *Limiter) takeIsolated(now time.Duration, st *state) bool {
	if st.isolatedAt < li.isolatedSince {
		st.isolated, st.isolatedAt = 0, li.isolatedSince
	}
	st.isolated = min(1, st.isolated+st.part.isolated*(now-st.isolatedAt).Seconds())
	st.isolatedAt = now
	if st.isolated < 1 {
		return false
	}
	st.isolated = 0
	return true
}

// prefetch returns the call to be made in the background so that later requests find tokens.
func (li *Limiter) prefetch(now time.Duration, st *state) Call {
	need := st.need(now)
	if st.part.holds && st.available() >= need || len(st.calls) > 0 {
		return Call{}
	}
	if !st.part.holds && (need < 1 || st.available() >= need/2) {
		return Call{}
	}
	return li.nextCall(now, st)
}

// nextCall chooses the holder to call, and how much to ask for.
func (li *Limiter) nextCall(now time.Duration, st *state) Call {
	li.markSilent(now, st)
	if len(st.calls) >= maxCalls || !st.part.holds && (st.refusals(now) >= maxRefusals || st.slowCalls(now) >= maxSlowCalls) {
		return Call{}
	}
	peer := li.choose(now, st, false)
	if peer == "" && !st.part.holds && len(st.calls) == 0 {
		peer = li.choose(now, st, true)
	}
	if peer == "" {
		return Call{}
	}
	ca := Call{Account: st.name, Peer: peer, Borrow: st.part.holds, at: now}
	missing := st.missing(now)
	if st.part.holds {
		ca.Want = max(minLoan, missing+2*st.need(now))
	} else {
		ca.Want = max(1, math.Ceil(missing+st.need(now)))
	}
	ca.Want = min(ca.Want, maxWant)
	expected := ca.Want
	if ca.Borrow {
		expected = min(expected, st.estimate(now, peer)*expectedShare)
	}
	st.calls = append(st.calls, call{peer: peer, at: now, expected: expected})
	return ca
}

// missing returns how many tokens the waiting requests need beyond those that are here or should
// come from calls.
func (st *state) missing(now time.Duration) float64 {
	missing := float64(st.waiting) - st.available()
	for _, ca := range st.calls {
		if now-ca.at < hedgeAfter {
			missing -= ca.expected
		}
	}
	return missing
}

// slowCalls counts the calls that took longer than hedgeAfter.
func (st *state) slowCalls(now time.Duration) (n int) {
	for _, ca := range st.calls {
		if now-ca.at >= hedgeAfter {
			n++
		}
	}
	return n
}

// estimate returns how many tokens another holder may have: it gains as many as this one. A holder
// that was not called yet is assumed to have its whole part.
func (st *state) estimate(now time.Duration, addr string) float64 {
	ps, known := st.peers[addr]
	if !known || !ps.holds {
		return st.part.limit
	}
	return min(st.part.limit, ps.left+st.part.refill*(now-ps.at).Seconds())
}

// refusals counts the holders that refused tokens lately.
func (st *state) refusals(now time.Duration) int {
	n := 0
	for _, ps := range st.peers {
		if now < ps.refusedUntil && ps.holds {
			n++
		}
	}
	return n
}

func (st *state) isCalling(addr string) bool {
	return slices.ContainsFunc(st.calls, func(ca call) bool { return ca.peer == addr })
}

// choose returns the holder to call. A VM that is no holder prefers the first holder of its data
// centre, so that tokens are not scattered. A holder prefers those that should have the most. slow
// includes the VMs that did not reply in time, but have not failed to reply.
func (li *Limiter) choose(now time.Duration, st *state, slow bool) string {
	best, bestScore := "", math.Inf(-1)
	for i := range st.holders.Peers {
		pe := &st.holders.Peers[i]
		si := li.silent[pe.Addr]
		if pe.Rank >= st.part.perCentre || now < st.peers[pe.Addr].refusedUntil || now < si.until && (si.failed || !slow) || st.isCalling(pe.Addr) {
			continue
		}
		score := -float64(i)
		if st.part.holds {
			score = st.estimate(now, pe.Addr)
			if score < min(1, st.part.limit/4) {
				continue
			}
			if pe.Local {
				score += tolerance
			}
		}
		if score > bestScore {
			best, bestScore = pe.Addr, score
		}
	}
	return best
}

// markSilent avoids the VMs whose calls take longer than MaxWait.
func (li *Limiter) markSilent(now time.Duration, st *state) {
	for _, ca := range st.calls {
		if now-ca.at >= MaxWait && now >= li.silent[ca.peer].until {
			li.noteSilent(now, ca.peer)
		}
	}
}

func (li *Limiter) noteSilent(now time.Duration, addr string) {
	si := li.silent[addr]
	si.length = min(maxSilence, max(minSilence, 2*si.length))
	si.until = now + si.length
	li.silent[addr] = si
}

func (li *Limiter) noteFailed(now time.Duration, addr string) {
	if now >= li.silent[addr].until {
		li.noteSilent(now, addr)
	}
	si := li.silent[addr]
	si.failed = true
	li.silent[addr] = si
}

// Reply records the reply to a Call.
func (li *Limiter) Reply(now time.Duration, ca Call, rp Reply) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if !rp.Failed {
		delete(li.silent, ca.Peer)
		li.isolatedSince = -1
	} else {
		li.noteFailed(now, ca.Peer)
	}
	if ca.Want == 0 {
		li.tenure.confirm(ca, now, rp.CopyAge)
		return
	}
	st, ok := li.accounts[ca.Account]
	if !ok {
		return
	}
	st.advance(now)
	st.calls = slices.DeleteFunc(st.calls, func(other call) bool { return other.peer == ca.Peer && other.at == ca.at })
	if rp.Failed {
		return
	}
	ps := peerState{holds: rp.Holds, at: now}
	if rp.Granted >= ca.Want-tolerance {
		// It may have more than it gave.
		ps.left = st.part.limit / 2
	}
	switch {
	case !rp.Holds:
		// The called VM knows another fleet or another version.
		ps.refusedUntil = now + refusalMemory
	case rp.Granted < minLoan:
		st.refusedBy, st.refusedAt = ca.Peer, now
		ps.refusedUntil = now + refusalMemory
	}
	if len(st.peers) > len(st.holders.Peers)+maxCalls {
		clear(st.peers)
	}
	st.peers[ca.Peer] = ps
	if rp.Granted > 0 {
		st.loans.add(now, rp.Granted)
		st.put(now, rp.Granted)
	}
}

// Serve answers the call of another VM without waiting. If it grants nothing and Call has a Peer,
// that call may bring tokens. A VM that is no holder grants nothing.
func (li *Limiter) Serve(now time.Duration, ac *acct.Account, ho *Holders, want float64, borrow bool) (Reply, Call) {
	li.mu.Lock()
	defer li.mu.Unlock()
	st := li.state(now, ac, ho)
	if !st.part.holds {
		return Reply{}, Call{}
	}
	rp := Reply{Holds: true}
	if borrow {
		rp.Granted = st.lend(now, want)
		st.counts.Lent += rp.Granted
		return rp, Call{}
	}
	st.demand.add(now, want)
	whole := math.Floor(st.available() + tolerance)
	if whole < 1 {
		rp.Wait = time.Duration((1 - st.available()) / st.part.refill * float64(time.Second))
		return rp, Call{}
	}
	rp.Granted = min(want, max(1, math.Floor(whole/2)))
	st.spend(rp.Granted)
	st.counts.Lent += rp.Granted
	return rp, li.prefetch(now, st)
}

// lend removes what this holder gives another one: up to half of its tokens, or what it does not
// expect to need.
func (st *state) lend(now time.Duration, want float64) float64 {
	need := st.need(now)
	if st.part.limit < 1 || st.level < 1 && st.demand.value(now) < st.part.total {
		// A fraction is of no use here, but may complete a token elsewhere. Holders of an account
		// that is above its limit keep theirs, as they would only pass fractions to each other.
		need = 0
	}
	free := st.level - need
	if st.level >= minUsefulLoan {
		free = max(free, st.level/2)
	}
	give := min(want, free)
	if give < minLoan {
		return 0
	}
	st.level -= give
	return give
}
