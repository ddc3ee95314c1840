// Package retry says how long to wait before something that failed is tried again.
//
// # Usage
//
//	pause := retry.Backoff{First: 300 * time.Millisecond, Most: 1500 * time.Millisecond, Jitter: 0.5}
//	wait := pause.Wait(fails, rnd.Float64())
//
// The wait doubles with each failure in a row. The jitter only lengthens it: what
// failed for a whole fleet at one moment must not be tried by all of it at another.
package retry

import "time"

// doublings bounds how often a wait doubles, so that it never overflows.
const doublings = 16

// Backoff is the waits between tries. It is a value without state.
type Backoff struct {
	// First is the wait after one failure, Most the longest, without jitter.
	First, Most time.Duration
	// Jitter is the share by which a wait is longer at most.
	Jitter float64
}

// Wait is the pause after so many failures in a row, one at least. The draw is
// uniform within 0 to 1.
func (bo Backoff) Wait(fails int, draw float64) time.Duration {
	wait := min(bo.First<<min(max(fails-1, 0), doublings), bo.Most)
	return time.Duration(float64(wait) * (1 + bo.Jitter*draw))
}
