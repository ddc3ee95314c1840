// Package peak tracks the maximum of a gauge within a sliding window.
//
// # Usage
//
//	pk := peak.Peak{Span: 10 * time.Second}
//	pk.Record(now, busy)
//	keep := pk.Max(now)
package peak

import "time"

// Peak holds the maximum of at least the last Span/2 and at most the last Span. It is not
// safe for concurrent use.
type Peak struct {
	Span time.Duration

	// current and previous are the maxima of two consecutive intervals of Span/2. The current
	// one began at currentSince.
	current, previous int
	currentSince      time.Duration
}

// Record adds a value of the gauge.
func (pk *Peak) Record(now time.Duration, n int) {
	pk.rotate(now)
	pk.current = max(pk.current, n)
}

// Max returns the maximum of the recorded values in the window.
func (pk *Peak) Max(now time.Duration) int {
	pk.rotate(now)
	return max(pk.current, pk.previous)
}

func (pk *Peak) rotate(now time.Duration) {
	switch half := pk.Span / 2; {
	case now < pk.currentSince+half:
	case now < pk.currentSince+2*half:
		pk.current, pk.previous = 0, pk.current
		pk.currentSince += half
	default:
		pk.current, pk.previous = 0, 0
		pk.currentSince = now
	}
}
