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

// LoadReport is the result of a load.
type LoadReport struct {
	// Arrivals is Dropped + Failed + the sum of Outcomes.
	Arrivals uint64
	// Dropped counts the arrivals that were not sent because MaxInFlight was reached.
	Dropped uint64
	// Failed counts the searches that got no answer in time or an invalid one. FirstError is
	// the error of the first.
	Failed     uint64
	FirstError string
	Outcomes   map[wire.Outcome]uint64
	Reasons    map[string]uint64
	// Latency is the latency of all answers, in microseconds from the scheduled arrival.
	Latency *hdrhistogram.Histogram
	// CompleteLatency is the latency of complete answers only: refusals are fast, and many of them
	// would hide the latency of the other answers.
	CompleteLatency *hdrhistogram.Histogram
	// Coverage is the mean share over the complete and partial answers.
	Coverage float64
	Work     wire.Work
	// MaxLag is the longest delay between a scheduled arrival and its sending. With a large
	// one the figures measure the load generator's machine rather than the VMs.
	MaxLag  time.Duration
	Elapsed time.Duration
}

// Quantile returns a percentile of Latency, given between 0 and 100.
func (lr LoadReport) Quantile(percentile float64) time.Duration {
	return time.Duration(lr.Latency.ValueAtQuantile(percentile)) * time.Microsecond
}

// ExtraWorkShare returns the number of hedges and retries as a fraction of the primaries.
func (lr LoadReport) ExtraWorkShare() float64 {
	if lr.Work.Primaries == 0 {
		return 0
	}
	return float64(lr.Work.Hedges+lr.Work.Retries) / float64(lr.Work.Primaries)
}

// tally collects the results of a load.
type tally struct {
	mu            sync.Mutex
	rep           LoadReport
	coverageCount uint64
	coverageSum   float64
}

func newTally() *tally {
	return &tally{rep: LoadReport{
		Outcomes:        map[wire.Outcome]uint64{},
		Reasons:         map[string]uint64{},
		Latency:         hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits),
		CompleteLatency: hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits),
	}}
}

func (tl *tally) addArrival(lag time.Duration) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.rep.Arrivals++
	tl.rep.MaxLag = max(tl.rep.MaxLag, lag)
}

func (tl *tally) addDropped() {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.rep.Dropped++
}

func (tl *tally) addFailed(err error) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.rep.Failed++
	if tl.rep.FirstError == "" {
		tl.rep.FirstError = err.Error()
	}
}

func (tl *tally) addAnswer(ans wire.SearchAnswer, latency time.Duration) {
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
		tl.coverageCount++
		tl.coverageSum += ans.Coverage.Share
	}
	us := min(max(latency.Microseconds(), latencyLowest), latencyHighest)
	_ = tl.rep.Latency.RecordValue(us) // cannot fail within the range
	if ans.Outcome == wire.OutcomeComplete {
		_ = tl.rep.CompleteLatency.RecordValue(us)
	}
}

func (tl *tally) report(elapsed time.Duration) LoadReport {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	rep := tl.rep
	rep.Elapsed = elapsed
	if tl.coverageCount > 0 {
		rep.Coverage = tl.coverageSum / float64(tl.coverageCount)
	}
	return rep
}
