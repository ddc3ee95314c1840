package quota

import (
	"sync"
	"time"

	"laburnumvane/core/acct"
)

const (
	// MaxWait is how long a request waits for a token, unless it has a later deadline and only slow
	// holders to wait for.
	MaxWait = 20 * time.Millisecond
	// CallTimeout limits a call for tokens. A small VM is throttled by the kernel for up to 90 ms at a
	// time: the called one perhaps twice, when it has to borrow, and the calling one once.
	CallTimeout = 300 * time.Millisecond
	// lateWake is how late a request may take again before its VM counts as throttled, and lateGrace is
	// for how long replies that arrived meanwhile are then waited for.
	lateWake  = 5 * time.Millisecond
	lateGrace = 10 * time.Millisecond
	// hedgeAfter is how long a call may take before another holder is asked.
	hedgeAfter = 12 * time.Millisecond
	// ServeWait is how long a holder may take to find a token for another VM. It leaves that VM
	// time to ask another holder.
	ServeWait = 12 * time.Millisecond
	// idleTime is how long a bucket is kept without requests, sweepInterval how often buckets are
	// examined.
	idleTime      = time.Minute
	sweepInterval = 10 * time.Second
)

// Config configures a Limiter.
type Config struct {
	// Bounds are the bounds of the deployment; zero means the defaults.
	Bounds acct.Bounds
	// DataCentres is the least number of data centres among which limits are divided until this
	// VM knows the fleet.
	DataCentres int
}

// Limiter holds this VM's parts of the limits. It is safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	cfg      Config
	accounts map[string]*state
	// removed is the sum of the counters of removed buckets.
	removed Usage
	// silent holds the VMs that did not respond.
	silent map[string]silence
	tenure tenure
	// isolatedSince is when this VM began to reach no holder; negative means that it reaches some.
	isolatedSince time.Duration
	// fleet was observed last, fleetSince when it changed, and listedSince when this VM's entry
	// came into its copy of the store. settled is set once it has been there for SettleTime.
	fleet                   *Fleet
	fleetSince, listedSince time.Duration
	settled                 bool
	// dataCentres is the number of data centres among which limits are divided; it does not
	// shrink before centresUntil. epoch changes whenever parts have to be computed again.
	dataCentres, epoch      int
	centresUntil, nextSweep time.Duration
}

// New creates a Limiter without buckets.
func New(cfg Config) *Limiter {
	cfg.Bounds = cfg.Bounds.WithDefaults()
	return &Limiter{
		cfg: cfg, accounts: make(map[string]*state), silent: make(map[string]silence), isolatedSince: -1,
		tenure: tenure{confirmed: make(map[string]time.Duration), asked: make(map[string]time.Duration)},
	}
}

// Kind is the result of a Take.
type Kind uint8

// Results of a Take.
const (
	// Granted: the request may run.
	Granted Kind = iota + 1
	// Waiting: the request has to wait for a call.
	Waiting
	// Refused: the account is above its limit.
	Refused
	// Unreachable: this VM has no part of the limit and reaches no VM that has.
	Unreachable
)

// Call is a call to be made to another VM. Its Peer is empty if there is none to be made.
type Call struct {
	Account, Peer string
	// Want is the number of tokens. It is a whole number unless Borrow is set. With 0 the call only asks
	// for the age of the other VM's copy of the store.
	Want   float64
	Borrow bool
	at     time.Duration
}

// Decision is the result of a Take.
type Decision struct {
	Kind Kind
	// Call may be set with every Kind. With Waiting the request takes again at once, because it
	// may need tokens of several VMs.
	Call Call
	// Until is when a waiting request takes again, unless a call has ended before.
	Until time.Duration
	// RetryAfter is when the client should retry, in time from now, unless the request was granted.
	RetryAfter time.Duration
	// Rate is the recent number of requests a second on this VM. Holder is set if this VM decided by
	// its own part.
	Rate   float64
	Holder bool
	// DecidedBy is the VM that refused last, and Age the time since then, unless Holder is set.
	DecidedBy string
	Age       time.Duration
}

// Attempt is what the Limiter keeps of a request between its calls of Take. The zero value is a
// new request.
type Attempt struct {
	// Deadline is when the request stops waiting; 0 means MaxWait after the first Take. A later one
	// applies only while this VM is no holder and fewer than maxRefusals holders have refused.
	Deadline time.Duration
	// Served is set for a call of another VM, whose demand Serve has counted.
	Served                     bool
	counted, waiting, extended bool
	// began is the time of the first Take, until the latest time for the next one.
	began, until time.Duration
}

// Take requests a token for a request. jitter is uniform in [0, 1).
func (li *Limiter) Take(now time.Duration, ac *acct.Account, ho *Holders, at *Attempt, jitter float64) Decision {
	li.mu.Lock()
	defer li.mu.Unlock()
	st := li.state(now, ac, ho)
	if !at.counted {
		at.counted, at.began, at.until = true, now, now
		if !at.Served {
			st.demand.add(now, 1)
		}
		if at.Deadline == 0 {
			at.Deadline = now + MaxWait
		}
	}
	if st.available() >= 1-tolerance {
		st.endWait(at)
		st.spend(1)
		st.count(at, &st.counts.Granted)
		if !at.Served {
			st.running++
		}
		return Decision{Kind: Granted, Call: li.prefetch(now, st)}
	}
	if de, ok := li.wait(now, st, at); ok {
		return de
	}
	st.endWait(at)
	return li.refuse(now, st, at, jitter)
}

// count counts a request of this VM. Those of other VMs are counted there.
func (st *state) count(at *Attempt, counter *int64) {
	switch {
	case !at.Served:
		*counter++
	case counter == &st.counts.Granted:
		st.counts.Lent++
	}
}

// wait decides whether a request without a token waits for a call.
func (li *Limiter) wait(now time.Duration, st *state, at *Attempt) (Decision, bool) {
	patient := !st.part.holds && st.refusals(now) < maxRefusals
	deadline := at.Deadline
	if !patient {
		deadline = min(deadline, at.began+MaxWait)
	}
	if patient && now >= deadline && now-at.until >= lateWake && !at.extended {
		// This VM was throttled: the reply may be here, but not read yet.
		at.extended = true
		at.Deadline = now + lateGrace
		deadline = at.Deadline
	}
	if now >= deadline {
		return Decision{}, false
	}
	outstanding, last := li.outstanding(now, st, patient)
	de := Decision{Kind: Waiting}
	if !at.waiting {
		at.waiting = true
		st.waiting++
	}
	if st.missing(now) > tolerance {
		de.Call = li.nextCall(now, st)
		if de.Call.Peer != "" {
			outstanding, last = outstanding+1, now
		}
	}
	if outstanding == 0 {
		return Decision{}, false
	}
	de.Until = nextTake(now, last, deadline)
	at.until = de.Until
	return de, true
}

// nextTake returns when a waiting request takes again: when the next holder can be asked, when a VM that
// failed before has not replied in time either, or at its deadline.
func nextTake(now, lastCall, deadline time.Duration) time.Duration {
	for _, at := range []time.Duration{lastCall + hedgeAfter, lastCall + MaxWait} {
		if at > now {
			return min(at, deadline)
		}
	}
	return deadline
}

// endWait ends the waiting of a request.
func (st *state) endWait(at *Attempt) {
	if at.waiting {
		at.waiting = false
		st.waiting--
	}
}

// refuse decides on a request for which there is no token.
func (li *Limiter) refuse(now time.Duration, st *state, at *Attempt, jitter float64) Decision {
	de := Decision{Rate: st.demand.value(now), Holder: st.part.holds, DecidedBy: st.refusedBy, Age: now - st.refusedAt}
	li.markSilent(now, st)
	if !st.part.holds && st.refusals(now) == 0 {
		if li.noneReachable(now, st) && li.takeIsolated(now, st) {
			st.counts.Granted++
			st.running++
			de.Kind = Granted
			return de
		}
		st.counts.Unreachable++
		de.Kind = Unreachable
		de.RetryAfter = time.Duration((1 + jitter) * float64(unreachableRetry))
		return de
	}
	st.count(at, &st.counts.Refused)
	de.Kind = Refused
	de.RetryAfter = st.retryAfter(now, li.cfg.Bounds.Window, jitter)
	return de
}

// retryAfter returns the time until a token is expected for one more refused request. Each request
// that was refused lately and has not been retried yet has a token of its own.
func (st *state) retryAfter(now, window time.Duration, jitter float64) time.Duration {
	income := st.part.refill + st.loans.value(now)
	if !st.part.holds {
		income = st.loans.value(now)
	}
	// An account that this VM has not got a token for lately gets some from time to time.
	income = max(income, st.part.total/float64(max(1, st.centres*st.part.perCentre)))
	interval := time.Duration(float64(time.Second) / income)
	missing := max(0, 1-st.available())
	st.nextSlot = max(st.nextSlot+interval, now+time.Duration(missing/income*float64(time.Second)))
	if st.nextSlot > now+window {
		// More are waiting than there will be tokens in a window: spread them evenly.
		st.nextSlot = now + window
		return min(window, time.Duration((1+jitter)/2*float64(window)))
	}
	return min(window, max(time.Millisecond, st.nextSlot-now+time.Duration(jitter*float64(min(interval, window)))))
}

// Return ends a granted request that did not run and gives back its token, if the bucket has room.
func (li *Limiter) Return(now time.Duration, account string) {
	li.mu.Lock()
	defer li.mu.Unlock()
	st, ok := li.accounts[account]
	if !ok {
		return
	}
	st.advance(now)
	st.takeBack(now)
	st.counts.Granted--
	st.counts.Returned++
}

// Done ends a granted request that ran or may have run.
func (li *Limiter) Done(account string) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if st, ok := li.accounts[account]; ok {
		st.endRun()
	}
}

// sweep removes the buckets of accounts without requests. A bucket that is not full yet is kept, as
// a new one could have more tokens.
func (li *Limiter) sweep(now time.Duration) {
	li.nextSweep = now + sweepInterval
	for name, st := range li.accounts {
		st.advance(now)
		full := !st.part.holds || st.level >= st.part.limit-tolerance
		if now-max(st.demand.at, st.counts.began) >= idleTime && full && st.waiting == 0 && len(st.calls) == 0 {
			li.removed.addCounts(&st.counts)
			delete(li.accounts, name)
		}
	}
	for addr, si := range li.silent {
		if now-si.until >= idleTime {
			delete(li.silent, addr)
		}
	}
}
