package quota

import (
	"math"
	"time"

	"laburnumvane/core/acct"
)

const (
	// demandMemory is the time constant of the averages of requests and loans.
	demandMemory = time.Second
	// expectedNeed is how far ahead a holder expects to need tokens, and how long a batch should
	// last on a VM that is no holder.
	expectedNeed = 200 * time.Millisecond
	// batchLife is how long tokens are valid that a VM got beyond its own bucket.
	batchLife = 250 * time.Millisecond
	// tolerance absorbs rounding errors in the sum of fractions of tokens.
	tolerance = 1e-6
)

// average is a rate per second that decays with demandMemory.
type average struct {
	rate float64
	at   time.Duration
}

func (av *average) add(now time.Duration, n float64) {
	av.rate = av.value(now) + n/demandMemory.Seconds()
	av.at = max(av.at, now)
}

func (av *average) value(now time.Duration) float64 {
	if now <= av.at {
		return av.rate
	}
	return av.rate * math.Exp(-(now-av.at).Seconds()/demandMemory.Seconds())
}

// call is an outstanding call for tokens of an account.
type call struct {
	peer string
	at   time.Duration
	// expected is how many tokens it should bring.
	expected float64
}

// peerState is what a VM remembers of a holder of an account.
type peerState struct {
	// refusedUntil is until when the holder is not asked again.
	refusedUntil time.Duration
	// holds is set if it replied as a holder, at a time, and had left tokens then.
	holds bool
	at    time.Duration
	left  float64
}

// state is what the Limiter keeps of one account.
type state struct {
	name        string
	rate, burst float64
	// epoch is the Limiter's when the part was computed, and centres its number of data centres.
	epoch, centres int
	holders        *Holders
	// keeps is set if this VM may use its part.
	keeps bool
	part  part
	// level is the bucket's content at a time; it does not change while this VM is no holder.
	level       float64
	at          time.Duration
	burstWindow burstWindow
	// leftAt is when this VM ceased to be a holder; started is set once the bucket has had its
	// initial level.
	leftAt  time.Duration
	started bool
	// running is the number of granted requests of this VM that have not ended, and refilledFor how
	// many of their tokens have been replaced by refill: these do not come back.
	running     int
	refilledFor float64
	// extra are tokens beyond the bucket, until extraUntil.
	extra      float64
	extraUntil time.Duration
	// isolated is the content of the bucket for when no holder is reachable.
	isolated   float64
	isolatedAt time.Duration
	// demand counts requested tokens, loans borrowed ones.
	demand, loans average
	// waiting is the number of requests that wait for a call.
	waiting int
	calls   []call
	peers   map[string]peerState
	// refusedBy is the holder that refused last, at refusedAt.
	refusedBy string
	refusedAt time.Duration
	// nextSlot is the earliest time for the retry of the next refused request.
	nextSlot time.Duration
	counts   Usage
}

// state returns the up-to-date state of an account.
func (li *Limiter) state(now time.Duration, ac *acct.Account, ho *Holders) *state {
	li.observeFleet(now, ho.Fleet)
	if now >= li.nextSweep {
		li.sweep(now)
	}
	st, ok := li.accounts[ac.Name]
	if !ok {
		st = &state{name: ac.Name, at: now, peers: make(map[string]peerState), keeps: li.keeps(now, ho)}
		li.accounts[ac.Name] = st
		li.apply(st, ac, ho)
		// Had the bucket existed since the last change in the fleet, it would have filled until
		// now.
		st.level = min(st.part.limit, st.part.start+st.part.refill*(now-li.fleetSince).Seconds())
		st.counts.began = now
	}
	st.advance(now)
	if keeps := li.keeps(now, ho); st.rate != ac.Rate || st.burst != ac.Burst || st.holders != ho || st.epoch != li.epoch || st.keeps != keeps {
		st.keeps = keeps
		li.apply(st, ac, ho)
	}
	return st
}

// apply sets the limit and the part of an account. A level above the new part is lost; one below
// grows only by refill.
func (li *Limiter) apply(st *state, ac *acct.Account, ho *Holders) {
	st.rate, st.burst, st.holders, st.epoch, st.centres = ac.Rate, ac.Burst, ho, li.epoch, li.dataCentres
	former := st.part
	st.part = li.partOf(ac, ho, st.keeps)
	if former.holds && !st.part.holds {
		st.leftAt = st.at
	}
	if st.part.holds {
		if !st.started {
			st.level, st.started = st.part.start, true
		} else if !former.holds {
			// The VM that was a holder instead had an initial level and refill; both could be used
			// in one window.
			other := st.part.start + st.part.refill*(st.at-st.leftAt).Seconds()
			st.level = max(min(st.level, st.part.start), st.level-other)
		}
		st.level = min(st.level, st.part.limit)
		if st.part != former {
			st.burstWindow.block(int64(st.at/(st.part.window/windowSlots)), st.part.burstCapacity)
		}
	}
}

// advance refills the bucket and drops tokens that expired.
func (st *state) advance(now time.Duration) {
	if now > st.at {
		if st.part.holds {
			st.refill(now)
		}
		st.at = now
	}
	if now >= st.extraUntil {
		st.extra = 0
	}
	st.refilledFor = min(float64(st.running), max(st.refilledFor, st.available()+float64(st.running)-st.capacity()))
}

// capacity returns how many tokens this VM can have without refill, loans or batches.
func (st *state) capacity() float64 { return max(1, st.part.limit) }

// endRun ends a granted request.
func (st *state) endRun() {
	st.running = max(0, st.running-1)
	st.refilledFor = min(st.refilledFor, float64(st.running))
}

// takeBack ends a request that did not run and adds its token. The bucket is refilled while requests
// wait for servers; if all their tokens came back too, requests that are refused again and again would
// collect tokens without bound, and all would be used once the servers work again.
func (st *state) takeBack(now time.Duration) {
	lost := min(1, st.refilledFor)
	st.refilledFor -= lost
	st.endRun()
	if lost == 1 {
		return
	}
	st.put(now, 1-lost)
	// The tokens of running requests may come back in this window like those of a bucket.
	st.burstWindow.record(min(st.part.burstCapacity, st.level+float64(st.running)))
}

// available returns the tokens that can be used now.
func (st *state) available() float64 {
	if !st.part.holds {
		return st.extra
	}
	return st.level + st.extra
}

// spend removes tokens, those that expire first.
func (st *state) spend(n float64) {
	fromExtra := min(n, st.extra)
	st.extra -= fromExtra
	if st.part.holds {
		st.level = max(0, st.level-(n-fromExtra))
		moved := min(st.extra, st.part.limit-st.level)
		st.level += moved
		st.extra -= moved
		st.burstWindow.record(st.level)
	}
}

// put adds tokens: what the bucket cannot hold is valid for batchLife.
func (st *state) put(now time.Duration, n float64) {
	if st.part.holds {
		fits := max(0, min(n, st.part.limit-st.level))
		st.level += fits
		// Waiting requests use tokens at once: these count as tokens in flight.
		st.burstWindow.record(st.level - float64(st.waiting))
		n -= fits
	}
	if n > 0 {
		// The mean of the remaining times: the tokens that are here must not last longer each time
		// that others come.
		left := max(0, st.extraUntil-now).Seconds() * st.extra
		st.extra += n
		st.extraUntil = now + time.Duration((left+n*batchLife.Seconds())/st.extra*float64(time.Second))
	}
}

// need returns how many tokens this VM expects to need within expectedNeed.
func (st *state) need(now time.Duration) float64 {
	return min(st.demand.value(now), st.part.total) * expectedNeed.Seconds()
}
