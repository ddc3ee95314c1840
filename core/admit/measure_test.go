package admit_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/admit"
)

const (
	measureWarmup = 3 * time.Second
	measureFor    = 6 * time.Second
)

// seeds are those of the runs that are evaluated together, since one run has too few
// urgent searches for a 99th percentile.
var seeds = []uint64{7, 8, 9, 10}

type measurement struct {
	goodput   float64
	p99       [admit.Classes]time.Duration
	refused   float64
	failed    float64
	extraWork float64
}

func measure(de deployment, mo mode, times float64) measurement {
	var me measurement
	var latency [admit.Classes][]time.Duration
	offered, good, refused, failed, primaries, retries := 0, 0, 0, 0, 0, 0
	for _, seed := range seeds {
		sm := newSimulation(de, mo, seed)
		sm.countFrom = measureWarmup
		sm.startLoad(times * de.capacity())
		sm.run(measureWarmup + measureFor)
		ct := &sm.count
		for cl := range admit.Classes {
			offered += ct.offered[cl]
			good += ct.good[cl]
			refused += ct.refused[cl]
			failed += ct.failed[cl]
			latency[cl] = append(latency[cl], ct.latency[cl]...)
		}
		primaries += ct.primaries
		retries += ct.retries
	}
	for cl := range admit.Classes {
		me.p99[cl] = p99(latency[cl])
	}
	me.goodput = float64(good) / measureFor.Seconds() / de.capacity() / float64(len(seeds))
	me.refused = float64(refused) / float64(offered)
	me.failed = float64(failed) / float64(offered)
	me.extraWork = float64(retries) / float64(primaries)
	return me
}

// At 2 and 5 times the capacity, the goodput must be nearly the best at any load, the
// urgent latency at most 1.5 times that at half load, and the extra work within the
// budget. All other searches are refused at once with RetryAfter. Admission starts
// only what every service has capacity for, higher classes first, and each VM learns
// its part of the slots from its own replies.
func TestOverload(t *testing.T) {
	for _, de := range []deployment{pettigrew, kalimba} {
		t.Run(de.name, func(t *testing.T) {
			is := is.New(t)
			rows := measureAll(de)
			var sb strings.Builder
			best := 0.0
			got := make(map[float64]measurement)
			for _, ro := range rows {
				best = max(best, ro.goodput)
				if ro.mode == adaptive {
					got[ro.times] = ro.measurement
				}
				sb.WriteString(ro.String())
			}
			t.Logf("%s\n| mode | load | goodput | urgent p99 ms | interactive | batch | refused | failed | extra work |\n|---|---|---|---|---|---|---|---|---|\n%s", de.name, sb.String())
			burst := retryBurst * float64(de.vms) / (measureFor.Seconds() * de.capacity() * float64(de.services))
			for _, times := range []float64{2, 5} {
				is.True(got[times].goodput >= 0.95*best)                            // goodput under overload, best of all modes and loads
				is.True(float64(got[times].p99[0]) <= 1.5*float64(got[0.5].p99[0])) // urgent p99
				is.True(got[times].extraWork <= retryShare+burst)                   // retry budget
			}
		})
	}
}

type row struct {
	mode  mode
	times float64
	measurement
}

func (ro row) String() string {
	return fmt.Sprintf("| %s | %.1f | %.3f | %.1f | %.1f | %.1f | %.1f%% | %.1f%% | %.2f%% |\n", ro.mode, ro.times, ro.goodput,
		ms(ro.p99[0]), ms(ro.p99[1]), ms(ro.p99[2]), 100*ro.refused, 100*ro.failed, 100*ro.extraWork)
}

func measureAll(de deployment) []row {
	var rows []row
	for _, mo := range []mode{adaptive, static, static2, unlimited} {
		for _, times := range []float64{0.5, 0.9, 1.2, 2, 5} {
			rows = append(rows, row{mode: mo, times: times})
		}
	}
	var wg sync.WaitGroup
	for i := range rows {
		wg.Go(func() { rows[i].measurement = measure(de, rows[i].mode, rows[i].times) })
	}
	wg.Wait()
	return rows
}

func ms(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
