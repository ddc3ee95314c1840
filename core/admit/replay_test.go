package admit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumvane/core/admit"
	"laburnumvane/internal/vtime"
)

// The replayed VM handles gathers of 36 sub-requests. It has one processor that is shared by the
// phases of its requests in the order of their arrival in small slices; servers answer in between.
const (
	replayCost    = 36
	replayRate    = 160.0 // gathers a second that the processor can do
	replayServers = 20 * time.Millisecond
	replayTarget  = 100 * time.Millisecond
	replayTimeout = 400 * time.Millisecond
	// replaySlices is into how many turns at the processor each of the two phases of a request is
	// divided; replayTimer is the interval of the timers whose lateness is observed.
	replaySlices = 4
	replayTimer  = 10 * time.Millisecond
	// readCost is the part of a request's work that a refusal takes.
	readCost = 0.02
)

// replayRequest is one request of a client, or the retry of one.
type replayRequest struct {
	account  string
	priority int
	arrived  time.Duration
	// retry counts its earlier attempts.
	retry     int
	startedAt time.Duration
	sentAt    time.Duration
	idle      time.Duration
	// offered is what the gate was told of it.
	offered admit.Arrival
}

// replay is a VM in virtual time under a policy.
type replay struct {
	vtime.Agenda[func()]
	rnd    *rand.Rand
	policy replayPolicy
	// speed is the speed of the processor, 1 by default; servers is the time of the servers that
	// the least coverage needs.
	speed   float64
	servers time.Duration
	// measured is the average latency of the servers as this VM sees it, its own delay included; 0
	// if the policy is told the true one.
	measured time.Duration
	// unneeded is until how long after its arrival a request waits for a shard that its answer does
	// not need; 0 if it does not.
	unneeded time.Duration
	// freeAt is when the processor has done the slices that are queued.
	freeAt time.Duration
	// retries decides whether a refused client comes back, and after what time.
	retries func(rq *replayRequest, after time.Duration) (time.Duration, bool)
	count   map[string]*tally
	// goodBy counts the answers within the target by tenths of a second of their time.
	goodBy map[int]int
	// arrivals are the times of first attempts.
	arrivals []time.Duration
}

// tally counts requests of an account.
type tally struct {
	offered, good, late, refused, lost int
	// retried and retriedWell count the retries and those that were answered.
	retried, retriedWell int
}

// replayPolicy decides on the requests of a replay.
type replayPolicy interface {
	arrive(rp *replay, rq *replayRequest)
	sent(rp *replay, rq *replayRequest)
	timer(rp *replay, late time.Duration)
	done(rp *replay, rq *replayRequest, inTarget bool)
}

func newReplay(seed uint64, po replayPolicy) *replay {
	rp := &replay{
		rnd: rand.New(rand.NewPCG(seed, 1)), policy: po, speed: 1, servers: replayServers,
		count: map[string]*tally{}, goodBy: map[int]int{},
	}
	rp.tick()
	return rp
}

func (rp *replay) tally(account string) *tally {
	ta, ok := rp.count[account]
	if !ok {
		ta = &tally{}
		rp.count[account] = ta
	}
	return ta
}

// tick runs a timer of this VM, which fires when the processor is free for it.
func (rp *replay) tick() {
	rp.After(replayTimer, func() {
		due := rp.Now()
		rp.work(0.001, func() { rp.policy.timer(rp, rp.Now()-due) })
		rp.tick()
	})
}

// work queues a part of a request's work at the processor.
func (rp *replay) work(part float64, then func()) {
	took := time.Duration(part / replayRate / rp.speed * float64(time.Second))
	rp.freeAt = max(rp.freeAt, rp.Now()) + took
	rp.After(rp.freeAt-rp.Now(), then)
}

// phase runs half of a request's work in slices.
func (rp *replay) phase(slices int, then func()) {
	if slices == 0 {
		then()
		return
	}
	rp.work((1-readCost)/2/replaySlices, func() { rp.phase(slices-1, then) })
}

// load makes requests of an account arrive at random with a rate until a time.
func (rp *replay) load(account string, priority int, rate float64, from, to time.Duration) {
	for at := from; ; {
		at += time.Duration(rp.rnd.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		rp.arrivals = append(rp.arrivals, at)
		rp.After(at-rp.Now(), func() {
			rp.tally(account).offered++
			rp.attempt(&replayRequest{account: account, priority: priority})
		})
	}
}

func (rp *replay) attempt(rq *replayRequest) {
	if rq.retry > 0 {
		rp.tally(rq.account).retried++
	}
	rq.arrived = rp.Now()
	rp.work(readCost, func() { rp.policy.arrive(rp, rq) })
}

func (rp *replay) start(rq *replayRequest) {
	rq.startedAt = rp.Now()
	rp.phase(replaySlices, func() {
		rp.policy.sent(rp, rq)
		rp.After(time.Duration(float64(rp.servers)*(0.7+0.6*rp.rnd.Float64())), func() {
			rp.phase(1, func() {
				if rp.measured > 0 {
					rp.measured += (rp.Now() - rq.sentAt - rp.measured) / 10
				}
				rp.phase(replaySlices-1, func() {
					rq.idle = max(0, rq.arrived+rp.unneeded-rp.Now())
					rp.After(rq.idle, func() { rp.finish(rq) })
				})
			})
		})
	})
}

// expected returns how long the servers take as far as this VM knows.
func (rp *replay) expected() time.Duration {
	if rp.measured > 0 {
		return rp.measured
	}
	return rp.servers
}

func (rp *replay) finish(rq *replayRequest) {
	ta, took := rp.tally(rq.account), rp.Now()-rq.arrived
	switch {
	case took <= replayTarget:
		ta.good++
		rp.goodBy[int(rp.Now()/(100*time.Millisecond))]++
		if rq.retry > 0 {
			ta.retriedWell++
		}
	case took <= replayTimeout:
		ta.late++
	default:
		ta.lost++
	}
	rp.policy.done(rp, rq, took <= replayTarget)
}

func (rp *replay) refuse(rq *replayRequest, after time.Duration) {
	if rp.retries != nil {
		if wait, ok := rp.retries(rq, after); ok {
			rp.After(wait, func() {
				rp.attempt(&replayRequest{account: rq.account, priority: rq.priority, retry: rq.retry + 1})
			})
			return
		}
	}
	rp.tally(rq.account).refused++
}

func (rp *replay) run(end time.Duration) {
	for ev := range rp.Until(end) {
		ev()
	}
}

// good returns the number of answers within the target between two times.
func (rp *replay) good(from, to time.Duration) float64 {
	n := 0
	for at := from; at < to; at += 100 * time.Millisecond {
		n += rp.goodBy[int(at/(100*time.Millisecond))]
	}
	return float64(n)
}

// total returns the sum over all accounts.
func (rp *replay) total() tally {
	var sum tally
	for _, ta := range rp.count {
		sum.offered += ta.offered
		sum.good += ta.good
		sum.late += ta.late
		sum.refused += ta.refused
		sum.lost += ta.lost
		sum.retried += ta.retried
		sum.retriedWell += ta.retriedWell
	}
	return sum
}

func (ta tally) String() string {
	return fmt.Sprintf("offered %d good %d late %d lost %d refused %d retried %d of them well %d",
		ta.offered, ta.good, ta.late, ta.lost, ta.refused, ta.retried, ta.retriedWell)
}

// bestPossible returns how many of the requests that arrived can be answered within their target,
// from a time on, by a policy that knows how long everything takes: it accepts exactly those that
// will be in time. For equal requests in the order of arrival nothing does better. Each retry costs
// what a refusal takes.
func (rp *replay) bestPossible(from, to time.Duration, speed func(at time.Duration) float64) float64 {
	free, good, before := 0.0, 0, 1.0
	reads := readCost * float64(rp.total().retried+len(rp.arrivals)) / float64(len(rp.arrivals))
	slices.Sort(rp.arrivals)
	for _, at := range rp.arrivals {
		now := speed(at)
		// What was accepted before a change of the speed takes longer.
		free, before = at.Seconds()+max(0, free-at.Seconds())*before/now, now
		work := 1 / replayRate / now
		free += reads * work
		if done := free + (1-readCost)*work; done+replayServers.Seconds()-at.Seconds() <= replayTarget.Seconds() {
			free = done
			if at >= from && at < to {
				good++
			}
		}
	}
	return float64(good)
}

func constantSpeed(time.Duration) float64 { return 1 }
