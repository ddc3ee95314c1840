package emul

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"laburnumvane/io/wire"
)

// Range and precision of the latency histogram, in microseconds.
const (
	latencyLowest  = 1
	latencyHighest = int64(10 * time.Minute / time.Microsecond)
	latencyDigits  = 3
)

// LoadReport is what became of a load.
type LoadReport struct {
	// Arrivals is Dropped + Failed + the sum of Outcomes.
	Arrivals uint64
	// Dropped arrivals were never sent, for too many were under way.
	Dropped uint64
	// Failed ones got no answer in time, or one that is not a search's.
	Failed    uint64
	FirstFail string
	Outcomes  map[wire.Outcome]uint64
	Reasons   map[string]uint64
	// Latency is of the answered, in microseconds from the scheduled arrival.
	Latency *hdrhistogram.Histogram
	// Whole is Latency of those answered completely: a refusal is quick, and
	// many of them would hide how slow the answers are.
	Whole *hdrhistogram.Histogram
	// Coverage is the mean share over the answers that are complete or partial.
	Coverage float64
	Work     wire.Work
	// MaxLag is how late the tool itself was at worst; figures of a load with
	// a large one say more about the machine than about the VMs.
	MaxLag  time.Duration
	Elapsed time.Duration
}

// Quantile gives a latency, for a quantile between 0 and 100.
func (lr LoadReport) Quantile(qu float64) time.Duration {
	return time.Duration(lr.Latency.ValueAtQuantile(qu)) * time.Microsecond
}

// Extra is the work beyond the primaries, as a share of them.
func (lr LoadReport) Extra() float64 {
	if lr.Work.Primaries == 0 {
		return 0
	}
	return float64(lr.Work.Hedges+lr.Work.Retries) / float64(lr.Work.Primaries)
}

// tally gathers the answers of a load.
type tally struct {
	mu       sync.Mutex
	rep      LoadReport
	covered  uint64
	coverage float64
}

func newTally() *tally {
	return &tally{rep: LoadReport{
		Outcomes: map[wire.Outcome]uint64{},
		Reasons:  map[string]uint64{},
		Latency:  hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits),
		Whole:    hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits),
	}}
}

func (tl *tally) arrive(lag time.Duration) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.rep.Arrivals++
	tl.rep.MaxLag = max(tl.rep.MaxLag, lag)
}

func (tl *tally) drop() {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.rep.Dropped++
}

func (tl *tally) fail(err error) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.rep.Failed++
	if tl.rep.FirstFail == "" {
		tl.rep.FirstFail = err.Error()
	}
}

func (tl *tally) answer(ans wire.SearchAnswer, latency time.Duration) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.rep.Outcomes[ans.Outcome]++
	if ans.Reason != "" {
		tl.rep.Reasons[ans.Reason]++
	}
	tl.rep.Work.Primaries += ans.Work.Primaries
	tl.rep.Work.Hedges += ans.Work.Hedges
	tl.rep.Work.Retries += ans.Work.Retries
	if ans.Outcome == wire.OutcomeComplete || ans.Outcome == wire.OutcomePartial {
		tl.covered++
		tl.coverage += ans.Coverage.Share
	}
	us := min(max(latency.Microseconds(), latencyLowest), latencyHighest)
	_ = tl.rep.Latency.RecordValue(us) // cannot fail within the range
	if ans.Outcome == wire.OutcomeComplete {
		_ = tl.rep.Whole.RecordValue(us)
	}
}

func (tl *tally) report(elapsed time.Duration) LoadReport {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	rep := tl.rep
	rep.Elapsed = elapsed
	if tl.covered > 0 {
		rep.Coverage = tl.coverage / float64(tl.covered)
	}
	return rep
}
