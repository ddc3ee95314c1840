package qsim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"laburnumvane/core/search"
)

// Result is what a run measured.
type Result struct {
	// Latency of answers to admitted searches, in microseconds.
	Latency *hdrhistogram.Histogram
	// Offered and Admitted count searches; Good those answered with the
	// coverage asked for, Whole those complete.
	Offered, Admitted, Good, Whole int
	NotRun, Restarted              int
	// Primaries, Hedges and Retries count sub-requests that were sent to a
	// server that took connections; Ran those that took a slot.
	Primaries, Hedges, Retries, Ran int
	// Span is the time of the last arrival.
	Span  time.Duration
	share float64
}

func (rs *Result) add(took time.Duration, an *search.Answer, least float64) {
	// Hard deadlines lie within the histogram's range: there is no error.
	_ = rs.Latency.RecordValue(took.Microseconds())
	share := 0.0
	if an.Shards > 0 {
		share = float64(an.Answered) / float64(an.Shards)
	}
	rs.share += share
	if share >= least {
		rs.Good++
	}
	if an.Outcome == search.OutcomeComplete {
		rs.Whole++
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

// Coverage is the mean share of shards in an admitted search's answer, 0 to 1.
func (rs *Result) Coverage() float64 {
	return rs.share / float64(rs.Admitted)
}

// Extra is the sub-requests sent over those of the first round, as a share.
func (rs *Result) Extra() float64 {
	return float64(rs.Hedges+rs.Retries) / float64(rs.Primaries)
}

// Hedged is the share of hedges alone.
func (rs *Result) Hedged() float64 {
	return float64(rs.Hedges) / float64(rs.Primaries)
}

// Goodput is the searches per second answered with the coverage asked for.
func (rs *Result) Goodput() float64 {
	return float64(rs.Good) / rs.Span.Seconds()
}

// Quantile is a latency in milliseconds; q is a percentage.
func (rs *Result) Quantile(q float64) float64 {
	return float64(rs.Latency.ValueAtQuantile(q)) / 1000
}
