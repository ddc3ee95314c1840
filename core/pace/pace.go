package pace

import (
	"math"
	"time"
)

// Defaults of a Config.
const (
	// DefaultDelay is the delay of the run queue that is allowed. With 8 ms, requests in progress
	// took so long that those of small accounts could not meet their targets beside a large one.
	DefaultDelay = 5500 * time.Microsecond
	// DefaultInitial and DefaultLeast are the window at the start and the smallest one, in
	// multiples of the largest weight seen.
	DefaultInitial = 8
	DefaultLeast   = 1.5
)

const (
	// workShare: this share of the time that this VM needs for the largest request is allowed as
	// delay too. With 0.3, a VM that needs 20 ms is idle now and then; with 0.7 its requests are
	// late.
	workShare = 0.5
	// delayWeight and tookWeight are the weights of a new observation in the averages.
	delayWeight = 0.1
	tookWeight  = 0.1
	// maxDelay bounds an observed delay: a VM that was paused for seconds says nothing about its
	// usual delay.
	maxDelay = 200 * time.Millisecond
	// growth is the largest increase of the window, as a share of the work that ended.
	growth = 0.3
	// unusedCut is the decrease of a window that is not used up, as a share of the work that ended.
	// A window that was kept from easier times admits too much when the capacity falls. It does not
	// fall below the initial one: with a window of two requests, one in ten waited for more than
	// 7 ms on VMs that were nearly idle.
	unusedCut = 0.15
	// maxCut bounds a single cut: to this share of the window.
	maxCut = 0.7
	// leastWeight is the least window whatever the weights: requests to one server mostly wait for
	// it, and two at once would leave a VM idle.
	leastWeight = 16
	// maxWindow bounds the window, in multiples of the largest weight seen.
	maxWindow = 1024
	// maxAllowed bounds the allowed delay.
	maxAllowed = 15 * time.Millisecond
	// leastTime is for how long the least time until sending is kept, and at most twice as long.
	leastTime = 10 * time.Second
	// defaultTook is assumed as the duration of a request until one has ended.
	defaultTook = 50 * time.Millisecond
	// workTime is the time over which completed work is averaged.
	workTime = 300 * time.Millisecond
)

// Config configures an Estimator. Fields that are 0 take the defaults.
type Config struct {
	Delay          time.Duration
	Initial, Least float64
}

// Estimator estimates the capacity of this VM.
type Estimator struct {
	cfg Config
	// largest is the largest weight seen.
	largest float64
	window  float64
	// delay is the average delay of the run queue, took the average time that a request is in
	// progress on this VM, weighted by its weight; both in nanoseconds.
	delay, took float64
	// least and earlier are the least time in nanoseconds until a unit of weight was sent, since
	// leastSince and before; 0 if none was.
	least, earlier float64
	leastSince     time.Duration
	cutAt          time.Duration
	work           Sum
}

// New returns an Estimator that knows nothing yet.
func New(cfg Config) *Estimator {
	if cfg.Delay == 0 {
		cfg.Delay = DefaultDelay
	}
	if cfg.Initial == 0 {
		cfg.Initial = DefaultInitial
	}
	if cfg.Least == 0 {
		cfg.Least = DefaultLeast
	}
	return &Estimator{cfg: cfg}
}

// Begin records that a request of a weight is about to be decided on.
func (es *Estimator) Begin(weight float64) {
	if es.window == 0 {
		es.window = max(es.cfg.Initial*weight, leastWeight)
	}
	if weight > es.largest {
		// What is known of small requests says little about large ones.
		es.largest = weight
		es.window = max(es.window, es.cfg.Initial*weight)
	}
}

// Sent records how long it took from the start of a request until its first sub-requests were
// written. What exceeds the least such time is delay.
func (es *Estimator) Sent(now time.Duration, weight float64, took time.Duration) {
	if now-es.leastSince >= leastTime {
		es.least, es.earlier, es.leastSince = 0, es.least, now
	}
	if unit := float64(took) / max(1, weight); es.least == 0 || unit < es.least {
		es.least = unit
	}
	es.observeDelay(float64(took) - es.leastSent()*weight)
}

// leastSent returns the least time until a unit of weight was sent lately, in nanoseconds.
func (es *Estimator) leastSent() float64 {
	if es.earlier == 0 || es.least == 0 {
		return max(es.least, es.earlier)
	}
	return min(es.least, es.earlier)
}

// Late records how late a timer fired.
func (es *Estimator) Late(late time.Duration) { es.observeDelay(float64(late)) }

func (es *Estimator) observeDelay(delay float64) {
	es.delay += delayWeight * (min(max(0, delay), float64(maxDelay)) - es.delay)
}

// allowed returns the allowed delay in nanoseconds.
func (es *Estimator) allowed() float64 {
	if es.window == 0 {
		return float64(es.cfg.Delay)
	}
	return max(float64(es.cfg.Delay), min(workShare*es.largest/es.Rate()*float64(time.Second), float64(maxAllowed)))
}

// End records the end of a request. Took is how long it was in progress on this VM, and limited is
// set if requests wait for the window.
func (es *Estimator) End(now time.Duration, weight float64, took time.Duration, limited bool) {
	es.work.Add(now, workTime, weight)
	if es.took == 0 {
		es.took = float64(took)
	}
	es.took += tookWeight * min(1, weight/max(1, es.largest)) * (float64(took) - es.took)
	room := 1 - es.delay/es.allowed()
	switch {
	case room > 0 && limited:
		es.window = min(es.window+growth*room*weight, maxWindow*es.largest)
	case room > 0:
		es.window = max(es.window-unusedCut*weight, min(es.window, es.cfg.Initial*es.largest), leastWeight)
	case room < 0 && now >= es.cutAt+time.Duration(es.took):
		// Whether a cut sufficed shows only after the requests that were in progress have ended.
		es.cutAt = now
		es.window = max(es.window*max(maxCut, es.allowed()/es.delay), es.cfg.Least*es.largest, leastWeight)
	}
}

// Window returns the weight that may be in progress at once.
func (es *Estimator) Window() float64 { return es.window }

// Rate returns the weight per second that this VM can do.
func (es *Estimator) Rate() float64 {
	took := es.took
	if took == 0 {
		took = float64(defaultTook)
	}
	return es.window / took * float64(time.Second)
}

// Delay returns the delay of the run queue.
func (es *Estimator) Delay() time.Duration { return time.Duration(es.delay) }

// Load returns the delay as a share of what is allowed.
func (es *Estimator) Load() float64 { return es.delay / es.allowed() }

// Behind reports whether the delay is above what is allowed.
func (es *Estimator) Behind() bool { return es.delay > es.allowed() }

// Work returns the weight per second that was completed lately.
func (es *Estimator) Work(now time.Duration) float64 { return es.work.Rate(now, workTime) }

// Sum is a sum whose parts lose weight exponentially with their age. The zero value is empty.
type Sum struct {
	value float64
	at    time.Duration
}

// Add adds x at a time. The parts lose two thirds of their weight within decay.
func (su *Sum) Add(now, decay time.Duration, x float64) {
	su.value = su.Value(now, decay) + x
	su.at = max(su.at, now)
}

// Value returns the sum at a time.
func (su *Sum) Value(now, decay time.Duration) float64 {
	if now <= su.at {
		return su.value
	}
	return su.value * math.Exp(-float64(now-su.at)/float64(decay))
}

// Rate returns the sum per second.
func (su *Sum) Rate(now, decay time.Duration) float64 {
	return su.Value(now, decay) / decay.Seconds()
}
