package share

import (
	"math"
	"sync"
	"time"
)

// Reason is the limit by which a search was refused.
type Reason string

// Reasons.
const (
	ReasonRate       Reason = "teamRate"
	ReasonConcurrent Reason = "teamConcurrent"
)

const (
	// burstTime is the time in which a bucket earns as many tokens as it can hold.
	burstTime = 250 * time.Millisecond
	// minBurst is the minimum capacity of a bucket, in tokens, so that a team
	// with a small share can start a search at all.
	minBurst = 1
	// concurrentRetry is the time after which to retry if the concurrent limit
	// is reached. It is fixed, since it is not known when a search will end.
	concurrentRetry = 200 * time.Millisecond
	// demandWindow is the time constant of the average of the demand.
	demandWindow = 2 * time.Second
)

// Bucket limits a team's searches on this VM to the VM's share of the team's limits. It
// is safe for concurrent use.
type Bucket struct {
	mu     sync.Mutex
	now    time.Duration
	tokens float64
	// rate is in searches per second; 0 means that none may start, infinite no limit.
	rate        float64
	maxInFlight int
	inFlight    int
	offered     int
	demand      float64
	demandAt    time.Duration
}

func newBucket() *Bucket {
	return &Bucket{rate: math.Inf(1), maxInFlight: math.MaxInt, tokens: minBurst}
}

// Take requests the start of a search. If it is refused, re is set, and after is the
// time after which to retry.
func (bu *Bucket) Take(now time.Duration) (re Reason, after time.Duration) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.refill(now)
	bu.offered++
	if bu.inFlight >= bu.maxInFlight {
		return ReasonConcurrent, concurrentRetry
	}
	if bu.tokens < 1 {
		missing := (1 - bu.tokens) / bu.rate
		return ReasonRate, time.Duration(min(missing, maxRetrySeconds) * float64(time.Second))
	}
	if !math.IsInf(bu.rate, 1) {
		bu.tokens--
	}
	bu.inFlight++
	return "", 0
}

// maxRetrySeconds is the maximum time after which to retry.
const maxRetrySeconds = 30.0

// Release ends a search that Take allowed to start.
func (bu *Bucket) Release() {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.inFlight--
}

// Refund ends a search that Take allowed to start but that was then refused for
// another reason. It returns the token, since nothing of the team's limit was used.
func (bu *Bucket) Refund() {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.inFlight--
	bu.tokens = min(bu.tokens+1, bu.burst())
}

// InFlight is the number of the team's searches in progress on this VM.
func (bu *Bucket) InFlight() int {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.inFlight
}

// Limits returns this VM's share of the team's limits: the searches per second and the
// concurrent searches that it may start; 0 where there is no such limit.
func (bu *Bucket) Limits() (rate float64, concurrent int) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if !math.IsInf(bu.rate, 1) {
		rate = bu.rate
	}
	if bu.maxInFlight != math.MaxInt {
		concurrent = bu.maxInFlight
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
		bu.tokens = minBurst
		return
	}
	bu.tokens = min(bu.tokens+elapsed*bu.rate, bu.burst())
}

func (bu *Bucket) burst() float64 {
	if math.IsInf(bu.rate, 1) {
		return minBurst
	}
	return max(minBurst, bu.rate*burstTime.Seconds())
}

// set changes the limits of this VM.
func (bu *Bucket) set(now time.Duration, rate float64, maxInFlight int) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.refill(now)
	bu.rate, bu.maxInFlight = rate, maxInFlight
	bu.tokens = min(bu.tokens, bu.burst())
}

// measureDemand returns the demand: the average number of searches offered per second,
// whether admitted or not. It is to be called at each announcement.
func (bu *Bucket) measureDemand(now time.Duration) float64 {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	elapsed := now - bu.demandAt
	if elapsed <= 0 {
		return bu.demand
	}
	recent := float64(bu.offered) / elapsed.Seconds()
	weight := 1 - math.Exp(-elapsed.Seconds()/demandWindow.Seconds())
	bu.demand += (recent - bu.demand) * weight
	bu.offered = 0
	bu.demandAt = now
	return bu.demand
}
