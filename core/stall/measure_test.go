package stall_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"laburnumvane/core/stall"
)

// simTraffic drives one server's connections in virtual time: open arrivals, each sent on a
// free connection and answered after a random time.
type simTraffic struct {
	tr           *stall.Tracker[int]
	rnd          *rand.Rand
	now          time.Duration
	busyUntil    map[int]time.Duration
	conns        int
	meanInterval time.Duration
	serviceTime  func(rnd *rand.Rand) time.Duration
	deadline     time.Duration
}

func newSimTraffic(seed uint64, conns int, every time.Duration, took func(*rand.Rand) time.Duration) *simTraffic {
	return &simTraffic{
		tr:           stall.New[int](stall.Config{}),
		rnd:          rand.New(rand.NewPCG(seed, 7)),
		busyUntil:    make(map[int]time.Duration),
		conns:        conns,
		meanInterval: every,
		serviceTime:  took,
		deadline:     30 * time.Second,
	}
}

// step advances the time by one millisecond.
func (tf *simTraffic) step() {
	tf.now += ms
	for cn, at := range tf.busyUntil {
		if at <= tf.now {
			delete(tf.busyUntil, cn)
			tf.tr.Answer(tf.now, cn)
		}
	}
	if tf.rnd.Int64N(int64(tf.meanInterval)) >= int64(ms) {
		return
	}
	for cn := 1; cn < tf.conns; cn++ {
		if _, used := tf.busyUntil[cn]; !used {
			tf.busyUntil[cn] = tf.now + tf.serviceTime(tf.rnd)
			tf.tr.Begin(tf.now, cn, tf.now+tf.deadline)
			return
		}
	}
}

// detect runs until the silent connection 0 is detected. It returns the time this took and
// how many other connections were wrongly reported silent.
func (tf *simTraffic) detect() (took time.Duration, wrong int) {
	for range 5000 {
		tf.step()
	}
	start := tf.now
	tf.tr.Begin(tf.now, 0, tf.now+tf.deadline)
	for tf.now < start+tf.deadline {
		tf.step()
		// Every 250 ms the connections that are reported silent are closed, and the server is
		// pinged if ShouldPing is true.
		if tf.now%(250*ms) != 0 {
			continue
		}
		for _, cn := range tf.tr.Silent(tf.now, nil) {
			if cn == 0 {
				return tf.now - start, wrong
			}
			wrong++
			delete(tf.busyUntil, cn)
			tf.tr.Drop(cn)
		}
		if tf.tr.ShouldPing(tf.now) {
			tf.tr.Overtake(tf.now)
		}
	}
	return tf.now - start, wrong
}

func usualTime(rnd *rand.Rand) time.Duration {
	return 2*ms + time.Duration(rnd.ExpFloat64()*float64(6*ms))
}

// stragglerTime is usualTime, but one in a hundred answers takes twenty times as long.
func stragglerTime(rnd *rand.Rand) time.Duration {
	took := usualTime(rnd)
	if rnd.IntN(100) == 0 {
		took *= 20
	}
	return took
}

// Measures how long a silent connection stays undetected, and how many working connections
// are wrongly reported silent, by load and by the distribution of service times. With the
// deadline alone detection would take 30 s.
func BenchmarkDetect(b *testing.B) {
	for _, bc := range []struct {
		name  string
		every time.Duration
		took  func(*rand.Rand) time.Duration
	}{
		{"busy", 3 * ms, usualTime},
		{"busy,stragglers", 3 * ms, stragglerTime},
		{"quiet", 500 * ms, usualTime},
		{"quiet,stragglers", 500 * ms, stragglerTime},
		{"no other requests", time.Hour, usualTime},
	} {
		b.Run(bc.name, func(b *testing.B) {
			var found []time.Duration
			wrong := 0
			for seed := uint64(0); b.Loop(); seed++ {
				after, bad := newSimTraffic(seed, 8, bc.every, bc.took).detect()
				found = append(found, after)
				wrong += bad
			}
			sort.Slice(found, func(i, j int) bool { return found[i] < found[j] })
			b.ReportMetric(float64(found[len(found)/2]/ms), "p50-ms")
			b.ReportMetric(float64(found[len(found)*99/100]/ms), "p99-ms")
			b.ReportMetric(float64(wrong)/float64(len(found)), "wrong/run")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// Measures the cost of tracking one exchange while others are outstanding.
func BenchmarkBeginAnswer(b *testing.B) {
	for _, others := range []int{0, 8, 100} {
		b.Run(fmt.Sprintf("others=%d", others), func(b *testing.B) {
			tr := stall.New[int](stall.Config{})
			for i := range others {
				tr.Begin(0, 1+i, time.Hour)
			}
			b.ReportAllocs()
			for b.Loop() {
				tr.Begin(1, 0, time.Hour)
				tr.Answer(2, 0)
			}
		})
	}
}
