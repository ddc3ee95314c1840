// Package stall detects which connections to one server have become silent, by comparing the
// exchanges outstanding on them with those answered on other connections.
//
// # Usage
//
//	tr := stall.New[*conn](stall.Config{})
//	tr.Begin(now, cn, due)
//	tr.Answer(now, cn)
//	for _, cn := range tr.Silent(now, nil) {
//		cn.close()
//	}
//	if tr.ShouldPing(now) {
//		// ping on another connection, then:
//		tr.Overtake(began)
//	}
//
// A Tracker covers one server and is not safe for concurrent use.
//
// # Detection
//
// On one connection a silent connection and a slow server look the same: no reply arrives.
// Other connections tell them apart. A server that stalls answers on none of them, so no
// exchange is overtaken and no connection is closed. On a connection whose state a middlebox
// has lost, exchanges are overtaken by exchanges that began later on other connections. An
// exchange counts as silent only if it was overtaken several times and is far older than the
// server's slow answers, or if its own deadline, which the server knows, has long passed.
package stall

import "time"

// Defaults of a Config.
const (
	DefaultMinAge        = 500 * time.Millisecond
	DefaultMinAgeUnknown = time.Second
	DefaultDeadlineGrace = time.Second
	DefaultLatencyFactor = 10
	DefaultMinOvertaken  = 3
	DefaultMinAnswers    = 4
)

const (
	// unknownLatencyDivisor is the fraction of its deadline, as a divisor, that an exchange
	// may take while the server's latency is unknown. A caller that allows 30 s expects a
	// slow answer.
	unknownLatencyDivisor = 4
	// latencyDecay is the divisor of the distance by which the slow latency falls towards each
	// faster answer.
	latencyDecay = 32
)

// Config configures a Tracker. Fields that are 0 take the defaults.
type Config struct {
	// MinAge is the age below which no exchange counts as silent.
	MinAge time.Duration
	// MinAgeUnknown replaces MinAge until MinAnswers answers have been observed.
	MinAgeUnknown time.Duration
	MinAnswers    int
	// LatencyFactor times the server's slow latency is the minimum age of a silent exchange.
	LatencyFactor int
	// MinOvertaken is the number of later exchanges that must have been answered.
	MinOvertaken int
	// DeadlineGrace is how long after its deadline an exchange may still be answered.
	DeadlineGrace time.Duration
}

func (cf Config) withDefaults() Config {
	cf.MinAge = orDefault(cf.MinAge, DefaultMinAge)
	cf.MinAgeUnknown = orDefault(cf.MinAgeUnknown, DefaultMinAgeUnknown)
	cf.DeadlineGrace = orDefault(cf.DeadlineGrace, DefaultDeadlineGrace)
	cf.LatencyFactor = orDefault(cf.LatencyFactor, DefaultLatencyFactor)
	cf.MinOvertaken = orDefault(cf.MinOvertaken, DefaultMinOvertaken)
	cf.MinAnswers = orDefault(cf.MinAnswers, DefaultMinAnswers)
	return cf
}

func orDefault[T int | time.Duration](val, def T) T {
	if val == 0 {
		return def
	}
	return val
}

// Tracker tracks the outstanding exchanges of one server; K identifies a connection.
type Tracker[K comparable] struct {
	cfg         Config
	outstanding []exchange[K]
	// slowLatency is a decaying maximum of the latencies of answers.
	slowLatency time.Duration
	answers     int
}

type exchange[K comparable] struct {
	key   K
	began time.Duration
	due   time.Duration
	// overtaken is how many exchanges began later and were answered.
	overtaken int
}

// New returns a Tracker without observed answers.
func New[K comparable](cfg Config) *Tracker[K] {
	return &Tracker[K]{cfg: cfg.withDefaults()}
}

// Begin records that a request was written to a connection, which carries one exchange at a
// time. due is its deadline, 0 if it has none.
func (tr *Tracker[K]) Begin(now time.Duration, key K, due time.Duration) {
	tr.outstanding = append(tr.outstanding, exchange[K]{key: key, began: now, due: due})
}

// Answer records the complete reply of an exchange.
func (tr *Tracker[K]) Answer(now time.Duration, key K) {
	ex, ok := tr.remove(key)
	if !ok {
		return
	}
	tr.answers++
	took := now - ex.began
	if took >= tr.slowLatency {
		tr.slowLatency = took
	} else {
		tr.slowLatency -= (tr.slowLatency - took) / latencyDecay
	}
	tr.Overtake(ex.began)
}

// Overtake records that the server answered something sent at began, such as a ping: all older
// exchanges have been overtaken.
func (tr *Tracker[K]) Overtake(began time.Duration) {
	for i := range tr.outstanding {
		if tr.outstanding[i].began < began {
			tr.outstanding[i].overtaken++
		}
	}
}

// Drop removes an exchange that ended without a reply.
func (tr *Tracker[K]) Drop(key K) {
	tr.remove(key)
}

// Len returns the number of outstanding exchanges.
func (tr *Tracker[K]) Len() int {
	return len(tr.outstanding)
}

// Silent appends the silent connections to buf. They stay in the tracker until they are
// dropped.
func (tr *Tracker[K]) Silent(now time.Duration, buf []K) []K {
	for _, ex := range tr.outstanding {
		old := tr.isOld(now, ex) && ex.overtaken >= tr.cfg.MinOvertaken
		if old || tr.isOverdue(now, ex) {
			buf = append(buf, ex.key)
		}
	}
	return buf
}

// ShouldPing reports whether an exchange is old enough to count as silent but was not overtaken
// often enough to decide, as with few requests. A ping would decide.
func (tr *Tracker[K]) ShouldPing(now time.Duration) bool {
	for _, ex := range tr.outstanding {
		if tr.isOld(now, ex) && ex.overtaken < tr.cfg.MinOvertaken && !tr.isOverdue(now, ex) {
			return true
		}
	}
	return false
}

func (tr *Tracker[K]) isOld(now time.Duration, ex exchange[K]) bool {
	return now-ex.began >= tr.minSilentAge(ex)
}

func (tr *Tracker[K]) isOverdue(now time.Duration, ex exchange[K]) bool {
	return ex.due > 0 && now >= ex.due+tr.cfg.DeadlineGrace
}

func (tr *Tracker[K]) minSilentAge(ex exchange[K]) time.Duration {
	if tr.answers < tr.cfg.MinAnswers {
		return max(tr.cfg.MinAgeUnknown, (ex.due-ex.began)/unknownLatencyDivisor)
	}
	return max(tr.cfg.MinAge, time.Duration(tr.cfg.LatencyFactor)*tr.slowLatency)
}

func (tr *Tracker[K]) remove(key K) (exchange[K], bool) {
	for i, ex := range tr.outstanding {
		if ex.key == key {
			last := len(tr.outstanding) - 1
			tr.outstanding[i] = tr.outstanding[last]
			tr.outstanding[last] = exchange[K]{}
			tr.outstanding = tr.outstanding[:last]
			return ex, true
		}
	}
	return exchange[K]{}, false
}
