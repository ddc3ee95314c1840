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
	measureWarm = 3 * time.Second
	measureFor  = 6 * time.Second
)

// seeds are put together: one run has too few urgent searches for a p99.
var seeds = []uint64{7, 8, 9, 10}

type measured struct {
	goodput   float64
	p99       [admit.Classes]time.Duration
	refused   float64
	failed    float64
	extraWork float64
}

func measure(de deployment, mo mode, times float64) measured {
	var me measured
	var latency [admit.Classes][]time.Duration
	offered, good, refused, failed, primaries, retries := 0, 0, 0, 0, 0, 0
	for _, seed := range seeds {
		wo := newWorld(de, mo, seed)
		wo.from = measureWarm
		wo.load(times * de.capacity())
		wo.run(measureWarm + measureFor)
		ta := &wo.count
		for cl := range admit.Classes {
			offered += ta.offered[cl]
			good += ta.good[cl]
			refused += ta.refused[cl]
			failed += ta.failed[cl]
			latency[cl] = append(latency[cl], ta.latency[cl]...)
		}
		primaries += ta.primaries
		retries += ta.retries
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

// What the caller sees: at 2 and 5 times what the servers can do, as many
// searches a second are answered as at any load, and an urgent one hardly later
// than at half load; the others are refused at once and told when to come back.
// Why: admission starts no more than every service has room for, upper classes
// first, and each VM finds its part of the slots by itself.
func TestOverload(t *testing.T) {
	for _, de := range []deployment{pettigrew, kalimba} {
		t.Run(de.name, func(t *testing.T) {
			is := is.New(t)
			rows := measureAll(de)
			var sb strings.Builder
			best := 0.0
			got := make(map[float64]measured)
			for _, ro := range rows {
				best = max(best, ro.goodput)
				if ro.mode == adaptive {
					got[ro.times] = ro.measured
				}
				sb.WriteString(ro.String())
			}
			t.Logf("%s\n| mode | load | goodput | urgent p99 ms | interactive | batch | refused | failed | extra work |\n|---|---|---|---|---|---|---|---|---|\n%s", de.name, sb.String())
			burst := spareBurst * float64(de.vms) / (measureFor.Seconds() * de.capacity() * float64(de.services))
			for _, times := range []float64{2, 5} {
				is.True(got[times].goodput >= 0.95*best)                            // goodput under overload, best of all modes and loads
				is.True(float64(got[times].p99[0]) <= 1.5*float64(got[0.5].p99[0])) // urgent p99
				is.True(got[times].extraWork <= spareShare+burst)                   // the budget
			}
		})
	}
}

type row struct {
	mode  mode
	times float64
	measured
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
		wg.Go(func() { rows[i].measured = measure(de, rows[i].mode, rows[i].times) })
	}
	wg.Wait()
	return rows
}

func ms(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
