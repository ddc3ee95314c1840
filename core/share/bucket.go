package share

import (
	"math"
	"sync"
	"time"
)

// Reason tells which limit refused a search.
type Reason string

// Reasons.
const (
	ReasonRate       Reason = "teamRate"
	ReasonConcurrent Reason = "teamConcurrent"
)

const (
	// burstTime is the time whose tokens a bucket holds.
	burstTime = 250 * time.Millisecond
	// leastBurst lets a team with a small part start one search at all.
	leastBurst = 1
	// busyRetry is when to come back to a team that is at its concurrent limit:
	// nothing is known of when a search will end.
	busyRetry = 200 * time.Millisecond
	// demandTime is the time over which demand is averaged.
	demandTime = 2 * time.Second
)

// Bucket holds a team's searches to this VM's part of its limits. It may be
// used from many goroutines.
type Bucket struct {
	mu     sync.Mutex
	now    time.Duration
	tokens float64
	// rate is in searches a second; 0 is none, infinite is no limit.
	rate     float64
	most     int
	inFlight int
	offers   int
	demand   float64
	demandAt time.Duration
}

func newBucket() *Bucket {
	return &Bucket{rate: math.Inf(1), most: math.MaxInt, tokens: leastBurst}
}

// Take asks for the start of a search. Where it is refused, after is when to
// come back and the reason is set.
func (bu *Bucket) Take(now time.Duration) (re Reason, after time.Duration) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.refill(now)
	bu.offers++
	if bu.inFlight >= bu.most {
		return ReasonConcurrent, busyRetry
	}
	if bu.tokens < 1 {
		missing := (1 - bu.tokens) / bu.rate
		return ReasonRate, time.Duration(min(missing, maxRetry) * float64(time.Second))
	}
	if !math.IsInf(bu.rate, 1) {
		bu.tokens--
	}
	bu.inFlight++
	return "", 0
}

// maxRetry bounds, in seconds, when a refused search is told to come back.
const maxRetry = 30.0

// Give ends a search that Take let start.
func (bu *Bucket) Give() {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.inFlight--
}

// GiveBack ends a search that Take let start and that was then refused for
// another reason: it has used none of the team's limit.
func (bu *Bucket) GiveBack() {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.inFlight--
	bu.tokens = min(bu.tokens+1, bu.burst())
}

// InFlight is the number of the team's searches under way here.
func (bu *Bucket) InFlight() int {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.inFlight
}

// Part is what this VM may start of the team's searches: so many a second and
// so many at once, 0 where there is no such limit.
func (bu *Bucket) Part() (rate float64, concurrent int) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if !math.IsInf(bu.rate, 1) {
		rate = bu.rate
	}
	if bu.most != math.MaxInt {
		concurrent = bu.most
	}
	return rate, concurrent
}

func (bu *Bucket) refill(now time.Duration) {
	if now <= bu.now {
		return
	}
	elapsed := (now - bu.now).Seconds()
	bu.now = now
	if math.IsInf(bu.rate, 1) {
		bu.tokens = leastBurst
		return
	}
	bu.tokens = min(bu.tokens+elapsed*bu.rate, bu.burst())
}

func (bu *Bucket) burst() float64 {
	if math.IsInf(bu.rate, 1) {
		return leastBurst
	}
	return max(leastBurst, bu.rate*burstTime.Seconds())
}

// set puts another part in force.
func (bu *Bucket) set(now time.Duration, rate float64, most int) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.refill(now)
	bu.rate, bu.most = rate, most
	bu.tokens = min(bu.tokens, bu.burst())
}

// measure gives the demand: searches offered a second, admitted or not.
func (bu *Bucket) measure(now time.Duration) float64 {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	elapsed := now - bu.demandAt
	if elapsed <= 0 {
		return bu.demand
	}
	recent := float64(bu.offers) / elapsed.Seconds()
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTime.Seconds())
	bu.demand += (recent - bu.demand) * weight
	bu.offers = 0
	bu.demandAt = now
	return bu.demand
}
