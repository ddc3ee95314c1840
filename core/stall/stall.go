// Package stall tells which connections to one server have gone silent, from
// the exchanges outstanding on them against those answered on others.
//
// # Usage
//
//	tr := stall.New[*conn](stall.Config{})
//	tr.Begin(now, cn, due)
//	tr.Answer(now, cn)
//	for _, cn := range tr.Silent(now, nil) {
//		cn.close()
//	}
//	if tr.Doubt(now) {
//		// ping on another connection, then:
//		tr.Vouch(began)
//	}
//
// A Tracker belongs to one server and is not safe for use from several
// goroutines.
//
// # Why it is enough
//
// A silent connection and a slow server look the same on one connection: no
// reply. They differ in what others see. A server that stalls answers nobody,
// so nothing overtakes and nothing is closed. A connection that something in
// between has forgotten is overtaken by exchanges that began later. An exchange
// counts as silent only when it was overtaken several times and is far older
// than the server's slow answers, or when its own deadline, which the server
// was told, has long passed.
package stall

import "time"

// Defaults of a Config.
const (
	DefaultLeastAge     = 500 * time.Millisecond
	DefaultBlindAge     = time.Second
	DefaultGrace        = time.Second
	DefaultFactor       = 10
	DefaultOvertaken    = 3
	DefaultLeastAnswers = 4
)

const (
	// blindShare is the part of its deadline that an exchange may take while
	// the server's latency is not known: a caller who allows 30 s expects a
	// slow answer.
	blindShare = 4
	// slowDecay is the weight by which the slow latency falls back towards
	// each newer answer.
	slowDecay = 32
)

// Config sets a tracker; zero values take the defaults.
type Config struct {
	// LeastAge is the age below which no exchange counts as silent.
	LeastAge time.Duration
	// BlindAge is used for LeastAge while fewer than LeastAnswers were seen.
	BlindAge     time.Duration
	LeastAnswers int
	// Factor times the server's slow latency is the age of a silent exchange.
	Factor int
	// Overtaken is the number of later exchanges that must have been answered.
	Overtaken int
	// Grace is how long after its deadline an exchange may still be answered.
	Grace time.Duration
}

func (cf Config) withDefaults() Config {
	cf.LeastAge = orDefault(cf.LeastAge, DefaultLeastAge)
	cf.BlindAge = orDefault(cf.BlindAge, DefaultBlindAge)
	cf.Grace = orDefault(cf.Grace, DefaultGrace)
	cf.Factor = orDefault(cf.Factor, DefaultFactor)
	cf.Overtaken = orDefault(cf.Overtaken, DefaultOvertaken)
	cf.LeastAnswers = orDefault(cf.LeastAnswers, DefaultLeastAnswers)
	return cf
}

func orDefault[T int | time.Duration](val, def T) T {
	if val == 0 {
		return def
	}
	return val
}

// Tracker holds the outstanding exchanges of one server; K names a connection.
type Tracker[K comparable] struct {
	cfg     Config
	open    []exchange[K]
	slow    time.Duration
	answers int
}

type exchange[K comparable] struct {
	key       K
	began     time.Duration
	due       time.Duration
	overtaken int
}

// New makes a tracker that knows nothing yet.
func New[K comparable](cfg Config) *Tracker[K] {
	return &Tracker[K]{cfg: cfg.withDefaults()}
}

// Begin notes that a request was written to a connection, which carries one at
// a time. Due is its deadline.
func (tr *Tracker[K]) Begin(now time.Duration, key K, due time.Duration) {
	tr.open = append(tr.open, exchange[K]{key: key, began: now, due: due})
}

// Answer notes the whole reply of an exchange.
func (tr *Tracker[K]) Answer(now time.Duration, key K) {
	ex, ok := tr.remove(key)
	if !ok {
		return
	}
	tr.answers++
	took := now - ex.began
	if took >= tr.slow {
		tr.slow = took
	} else {
		tr.slow -= (tr.slow - took) / slowDecay
	}
	tr.Vouch(ex.began)
}

// Vouch notes that the server answered something asked at began, such as a
// ping: all that is older has been overtaken.
func (tr *Tracker[K]) Vouch(began time.Duration) {
	for i := range tr.open {
		if tr.open[i].began < began {
			tr.open[i].overtaken++
		}
	}
}

// Drop forgets an exchange that ended without a reply.
func (tr *Tracker[K]) Drop(key K) {
	tr.remove(key)
}

// Len is the number of outstanding exchanges.
func (tr *Tracker[K]) Len() int {
	return len(tr.open)
}

// Silent appends the connections that have gone silent to buf. They stay in
// the tracker until they are dropped.
func (tr *Tracker[K]) Silent(now time.Duration, buf []K) []K {
	for _, ex := range tr.open {
		old := tr.old(now, ex) && ex.overtaken >= tr.cfg.Overtaken
		if old || tr.late(now, ex) {
			buf = append(buf, ex.key)
		}
	}
	return buf
}

// Doubt tells whether an exchange is old enough to be silent but was overtaken
// too seldom to tell, as on a quiet server: a ping would tell.
func (tr *Tracker[K]) Doubt(now time.Duration) bool {
	for _, ex := range tr.open {
		if tr.old(now, ex) && ex.overtaken < tr.cfg.Overtaken && !tr.late(now, ex) {
			return true
		}
	}
	return false
}

func (tr *Tracker[K]) old(now time.Duration, ex exchange[K]) bool {
	return now-ex.began >= tr.limit(ex)
}

func (tr *Tracker[K]) late(now time.Duration, ex exchange[K]) bool {
	return ex.due > 0 && now >= ex.due+tr.cfg.Grace
}

func (tr *Tracker[K]) limit(ex exchange[K]) time.Duration {
	if tr.answers < tr.cfg.LeastAnswers {
		return max(tr.cfg.BlindAge, (ex.due-ex.began)/blindShare)
	}
	return max(tr.cfg.LeastAge, time.Duration(tr.cfg.Factor)*tr.slow)
}

func (tr *Tracker[K]) remove(key K) (exchange[K], bool) {
	for i, ex := range tr.open {
		if ex.key == key {
			last := len(tr.open) - 1
			tr.open[i] = tr.open[last]
			tr.open[last] = exchange[K]{}
			tr.open = tr.open[:last]
			return ex, true
		}
	}
	return exchange[K]{}, false
}
