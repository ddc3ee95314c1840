package stall_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"laburnumvane/core/stall"
)

// traffic drives one server's connections in virtual time: open arrivals, each
// on a free connection, answered after a drawn time.
type traffic struct {
	tr     *stall.Tracker[int]
	rnd    *rand.Rand
	now    time.Duration
	busy   map[int]time.Duration
	conns  int
	every  time.Duration
	took   func(rnd *rand.Rand) time.Duration
	budget time.Duration
}

func newTraffic(seed uint64, conns int, every time.Duration, took func(*rand.Rand) time.Duration) *traffic {
	return &traffic{
		tr:     stall.New[int](stall.Config{}),
		rnd:    rand.New(rand.NewPCG(seed, 7)),
		busy:   make(map[int]time.Duration),
		conns:  conns,
		every:  every,
		took:   took,
		budget: 30 * time.Second,
	}
}

// step passes one millisecond.
func (tf *traffic) step() {
	tf.now += ms
	for cn, at := range tf.busy {
		if at <= tf.now {
			delete(tf.busy, cn)
			tf.tr.Answer(tf.now, cn)
		}
	}
	if tf.rnd.Int64N(int64(tf.every)) >= int64(ms) {
		return
	}
	for cn := 1; cn < tf.conns; cn++ {
		if _, used := tf.busy[cn]; !used {
			tf.busy[cn] = tf.now + tf.took(tf.rnd)
			tf.tr.Begin(tf.now, cn, tf.now+tf.budget)
			return
		}
	}
}

// found runs until the silent connection 0 is found; it also counts the others
// that were given up.
func (tf *traffic) found() (after time.Duration, wrong int) {
	for range 5000 {
		tf.step()
	}
	began := tf.now
	tf.tr.Begin(tf.now, 0, tf.now+tf.budget)
	for tf.now < began+tf.budget {
		tf.step()
		// The keeper looks, and pings when in doubt, each 250 ms.
		if tf.now%(250*ms) != 0 {
			continue
		}
		for _, cn := range tf.tr.Silent(tf.now, nil) {
			if cn == 0 {
				return tf.now - began, wrong
			}
			wrong++
			delete(tf.busy, cn)
			tf.tr.Drop(cn)
		}
		if tf.tr.Doubt(tf.now) {
			tf.tr.Vouch(tf.now)
		}
	}
	return tf.now - began, wrong
}

func usual(rnd *rand.Rand) time.Duration {
	return 2*ms + time.Duration(rnd.ExpFloat64()*float64(6*ms))
}

// straggling is usual with one in a hundred twenty times slower.
func straggling(rnd *rand.Rand) time.Duration {
	took := usual(rnd)
	if rnd.IntN(100) == 0 {
		took *= 20
	}
	return took
}

// How long a silent connection stays unnoticed, and how many that answer are
// given up by mistake, by load and by how the server answers. With the deadline
// alone it would be 30 s.
func BenchmarkFound(b *testing.B) {
	for _, bc := range []struct {
		name  string
		every time.Duration
		took  func(*rand.Rand) time.Duration
	}{
		{"busy", 3 * ms, usual},
		{"busy,stragglers", 3 * ms, straggling},
		{"quiet", 500 * ms, usual},
		{"quiet,stragglers", 500 * ms, straggling},
		{"silent server beside", time.Hour, usual},
	} {
		b.Run(bc.name, func(b *testing.B) {
			var found []time.Duration
			wrong := 0
			for seed := uint64(0); b.Loop(); seed++ {
				after, bad := newTraffic(seed, 8, bc.every, bc.took).found()
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

// What the books of one exchange cost beside others under way.
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
