package vtime

import (
	"math/rand/v2"
	"time"
)

// Link is a network that loses and delays messages. The draws come from Rand, so
// that a seed gives the same losses and delays in every run.
type Link struct {
	Rand *rand.Rand
	// Loss is the share of messages that never arrive, from 0 to 1.
	Loss float64
	// Jitter is the longest time that a message takes beyond its distance.
	// Above the time between two messages, they overtake each other.
	Jitter time.Duration
}

// Lost draws whether a message is lost. It draws at any Loss, so that the rest
// of a run stays comparable between losses.
func (li *Link) Lost() bool { return li.Rand.Float64() < li.Loss }

// Delay draws the time that a message takes over a distance: from distance up to
// and including distance and Jitter.
func (li *Link) Delay(distance time.Duration) time.Duration {
	return distance + time.Duration(li.Rand.Int64N(int64(li.Jitter)+1))
}
