// Package halt divides the grace period of a planned stop among its steps.
//
// # Usage
//
//	pl := halt.New(halt.Config{Grace: grace, Cores: cores})
//	// accept requests until pl.AcceptUntil(), wait for requests until pl.AnswerAt(inFlight), answer
//	// the rest with the results that exist, and begin to exit at pl.ExitAt() at the latest
//
// All times are relative to the stop signal.
//
// # Rules
//
// The last steps take processor time: a request that is answered early is merged and written, and
// the process closes its connections. On a VM with 0.13 of a core that takes eight times as long as
// on a whole one, so the time reserved for it grows, and the time for waiting shrinks. Requests are
// answered early only in the last sixth of the grace period.
package halt

import "time"

const (
	// acceptTime is how much of the grace the listeners and idle connections stay open. The
	// balancer checks once a second and needs two failed checks, so new clients arrive for 3 s;
	// a client that sends on an idle connection still gets a response, which closes the
	// connection.
	acceptTime = 4300 * time.Millisecond
	// answerWork is the processor time for answering a request with the results that exist, and
	// exitWork that for closing connections and leaving.
	answerWork = 3 * time.Millisecond
	exitWork   = 30 * time.Millisecond
	// throttlePause is how long the kernel may stop a VM that has used up its processor share.
	throttlePause = 90 * time.Millisecond
	// minExitTime and minAnswerTime are the least times reserved for the two steps.
	minExitTime   = 250 * time.Millisecond
	minAnswerTime = 150 * time.Millisecond
	// earlyDivisor is the part of the grace, as a divisor, in which requests may be answered early;
	// exitDivisor is the largest part of it for the exit.
	earlyDivisor = 6
	exitDivisor  = 8
	// cutDivisor is the part of the exit time, as a divisor, that is left if the last answers took
	// longer than planned: a request that is cut off is worse than a hurried exit.
	cutDivisor = 2
	// minCores bounds the divisor for a VM with hardly any processor time.
	minCores = 0.05
)

// Config configures a Plan.
type Config struct {
	// Grace is the time from the stop signal until the process is killed.
	Grace time.Duration
	// Cores is the processor time of this VM in cores; 0 if unknown, which counts as one.
	Cores float64
}

// Plan is the division of one grace period. It is immutable.
type Plan struct {
	grace, exit time.Duration
	cores       float64
}

// New returns the plan of a VM.
func New(cfg Config) Plan {
	pl := Plan{grace: cfg.Grace, cores: 1}
	if cfg.Cores > 0 {
		pl.cores = min(max(cfg.Cores, minCores), 1)
	}
	pl.exit = min(max(minExitTime, throttlePause+pl.takes(exitWork)), cfg.Grace/exitDivisor)
	return pl
}

// takes returns how long work of the processor takes on this VM.
func (pl Plan) takes(work time.Duration) time.Duration {
	return time.Duration(float64(work) / pl.cores)
}

// AcceptUntil returns until when new requests are accepted.
func (pl Plan) AcceptUntil() time.Duration { return min(acceptTime, pl.AnswerAt(0)) }

// AnswerAt returns when the requests that are left are answered with the results that exist, if
// there are that many.
func (pl Plan) AnswerAt(inFlight int) time.Duration {
	needed := max(minAnswerTime, throttlePause+pl.takes(time.Duration(inFlight)*answerWork))
	return max(pl.ExitAt()-needed, pl.grace-pl.grace/earlyDivisor)
}

// ExitAt returns when the process begins to exit if all requests are answered by then.
func (pl Plan) ExitAt() time.Duration { return pl.grace - pl.exit }

// CutAt returns when it begins to exit at the latest, and when each step of the exit has to end.
func (pl Plan) CutAt() time.Duration { return pl.grace - pl.exit/cutDivisor }

// FlushTime returns how long the last log lines may take to be written, after CutAt.
func (pl Plan) FlushTime() time.Duration { return pl.exit / (2 * cutDivisor) }
