// Package retry computes exponential backoff with jitter.
//
// # Usage
//
//	backoff := retry.Backoff{Initial: 300 * time.Millisecond, Max: 1500 * time.Millisecond, Jitter: 0.5}
//	wait := backoff.Wait(fails, rnd.Float64())
//
// The wait doubles with each consecutive failure. Jitter only lengthens it: VMs whose attempts
// failed at the same moment must not all retry at the same later moment.
package retry

import "time"

// maxDoublings bounds the number of doublings, so that a wait never overflows.
const maxDoublings = 16

// Backoff computes the waits between attempts. It is a value without state.
type Backoff struct {
	// Initial is the wait after the first failure, Max the maximum; both without jitter.
	Initial, Max time.Duration
	// Jitter is the largest share of a wait that is added to it.
	Jitter float64
}

// Wait returns the pause after the given number of consecutive failures; 0 counts as 1. Draw is a
// uniform random number in [0, 1).
func (bo Backoff) Wait(fails int, draw float64) time.Duration {
	wait := min(bo.Initial<<min(max(fails-1, 0), maxDoublings), bo.Max)
	return time.Duration(float64(wait) * (1 + bo.Jitter*draw))
}
