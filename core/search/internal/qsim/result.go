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
	Span time.Duration
	// Reasons counts the answers that are not complete.
	Reasons map[string]int
	share   float64
	shards  int
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

// Coverage is the mean share of shards in an admitted search's answer, 0 to 1.
func (rs *Result) Coverage() float64 {
	return rs.share / float64(rs.Admitted)
}

// Extra is the sub-requests that reached a server over the one for each shard
// that an answer needs, as a share of these.
func (rs *Result) Extra() float64 {
	return float64(rs.Primaries+rs.Hedges+rs.Retries)/rs.needed() - 1
}

// Hedged is the share of hedges alone.
func (rs *Result) Hedged() float64 {
	return float64(rs.Hedges) / rs.needed()
}

func (rs *Result) needed() float64 {
	return float64(rs.Admitted * rs.shards)
}

// Goodput is the searches per second answered with the coverage asked for.
func (rs *Result) Goodput() float64 {
	return float64(rs.Good) / rs.Span.Seconds()
}

// Quantile is a latency in milliseconds; q is a percentage.
func (rs *Result) Quantile(q float64) float64 {
	return float64(rs.Latency.ValueAtQuantile(q)) / 1000
}
