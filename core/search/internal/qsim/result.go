package qsim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"laburnumvane/core/search"
)

// Result is what a run measured.
type Result struct {
	// Latency is the latency of admitted searches, in microseconds.
	Latency *hdrhistogram.Histogram
	// Offered and Admitted count searches; Good counts those answered with at
	// least Config.MinCoverage, Complete those with all shards.
	Offered, Admitted, Good, Complete int
	NotRun, Restarted                 int
	// Primaries, Hedges and Retries count the sub-requests sent to a server that
	// accepted connections; Ran counts those that a server began to serve.
	Primaries, Hedges, Retries, Ran int
	// LastArrival is the virtual time at which the last search arrived.
	LastArrival time.Duration
	// Reasons counts the answers that are not complete by their reason.
	Reasons     map[string]int
	coverageSum float64
	shards      int
}

func (rs *Result) add(took time.Duration, an *search.Answer, minCoverage float64) {
	// The histogram's range covers all hard deadlines, so that this cannot fail.
	_ = rs.Latency.RecordValue(took.Microseconds())
	coverage := 0.0
	if an.Shards > 0 {
		coverage = float64(an.Answered) / float64(an.Shards)
	}
	rs.coverageSum += coverage
	if coverage >= minCoverage {
		rs.Good++
	}
	if an.Outcome == search.OutcomeComplete {
		rs.Complete++
	} else {
		rs.Reasons[an.Reason]++
	}
	if an.Outcome == search.OutcomeNotRun {
		rs.NotRun++
	}
	if an.Restarted {
		rs.Restarted++
	}
}

func (rs *Result) sent(at search.Attempt) {
	switch at {
	case search.AttemptHedge:
		rs.Hedges++
	case search.AttemptRetry:
		rs.Retries++
	default:
		rs.Primaries++
	}
}

// Coverage is the mean coverage of the answers to admitted searches, 0 to 1.
func (rs *Result) Coverage() float64 {
	return rs.coverageSum / float64(rs.Admitted)
}

// Extra is the number of sub-requests sent beyond one for each shard of each
// admitted search, as a share of the latter.
func (rs *Result) Extra() float64 {
	return float64(rs.Primaries+rs.Hedges+rs.Retries)/rs.needed() - 1
}

// Hedged is the number of hedges, as the same share.
func (rs *Result) Hedged() float64 {
	return float64(rs.Hedges) / rs.needed()
}

func (rs *Result) needed() float64 {
	return float64(rs.Admitted * rs.shards)
}

// Goodput is the searches per second answered with at least Config.MinCoverage.
func (rs *Result) Goodput() float64 {
	return float64(rs.Good) / rs.LastArrival.Seconds()
}

// Quantile returns a quantile of the latency in milliseconds; q is a percentage.
func (rs *Result) Quantile(q float64) float64 {
	return float64(rs.Latency.ValueAtQuantile(q)) / 1000
}
