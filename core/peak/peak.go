// Package peak tells the most that was in use at once within a sliding time.
//
// # Usage
//
//	pk := peak.Peak{Span: 10 * time.Second}
//	pk.Note(now, busy)
//	keep := pk.Most(now)
package peak

import "time"

// Peak is the most within Span, and half as long again at most. It is not safe for
// concurrent use.
type Peak struct {
	Span time.Duration

	// last and before are the peaks of two spans of half the length, the newer one
	// since begun.
	last, before int
	begun        time.Duration
}

// Note takes in how many are in use.
func (pk *Peak) Note(now time.Duration, n int) {
	pk.roll(now)
	pk.last = max(pk.last, n)
}

// Most is the most that was in use at once.
func (pk *Peak) Most(now time.Duration) int {
	pk.roll(now)
	return max(pk.last, pk.before)
}

func (pk *Peak) roll(now time.Duration) {
	switch half := pk.Span / 2; {
	case now < pk.begun+half:
	case now < pk.begun+2*half:
		pk.last, pk.before = 0, pk.last
		pk.begun += half
	default:
		pk.last, pk.before = 0, 0
		pk.begun = now
	}
}
