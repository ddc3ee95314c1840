package vtime

import (
	"math/rand/v2"
	"time"
)

// Link simulates a network that loses and delays messages. All random draws come from Rand, so that a
// seed gives the same losses and delays in every run.
type Link struct {
	Rand *rand.Rand
	// Loss is the probability that a message is lost, from 0 to 1.
	Loss float64
	// Jitter is the maximum additional delay of a message. If it is longer than the time between two
	// messages, they can arrive out of order.
	Jitter time.Duration
}

// Lost reports at random whether a message is lost. It draws a random number even if Loss is 0, so
// that the other draws of a run do not depend on Loss.
func (li *Link) Lost() bool { return li.Rand.Float64() < li.Loss }

// Delay returns a random delay from distance up to and including distance plus Jitter.
func (li *Link) Delay(distance time.Duration) time.Duration {
	return distance + time.Duration(li.Rand.Int64N(int64(li.Jitter)+1))
}
