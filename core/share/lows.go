package share

import "time"

// lows keeps what was told lately, for the least of it.
type lows struct {
	told []told
}

type told struct {
	at   time.Duration
	rate float64
}

// keep bounds what is kept: a burst of heartbeats must not grow it for ever.
const keep = 64

func (lw *lows) add(at time.Duration, rate float64) {
	if len(lw.told) == keep {
		// Two neighbours become one with the lesser rate, which can only
		// lower the result.
		lw.told[1].rate = min(lw.told[0].rate, lw.told[1].rate)
		lw.told[1].at = lw.told[0].at
		lw.told = append(lw.told[:0], lw.told[1:]...)
	}
	lw.told = append(lw.told, told{at: at, rate: rate})
}

// covers tells whether something had been told by then.
func (lw *lows) covers(since time.Duration) bool {
	return len(lw.told) > 0 && lw.told[0].at <= since
}

// low is the least rate in force since then: of those told since, and of the
// last one told before. Something must have been told.
func (lw *lows) low(since time.Duration) float64 {
	first := 0
	for first+1 < len(lw.told) && lw.told[first+1].at <= since {
		first++
	}
	lw.told = append(lw.told[:0], lw.told[first:]...)
	least := lw.told[0].rate
	for _, to := range lw.told[1:] {
		least = min(least, to.rate)
	}
	return least
}

// high is the greatest rate in force since then. Where rates were put together
// for want of room, it may be too low; keep is well above what a window holds.
func (lw *lows) high(since time.Duration) float64 {
	most := 0.0
	for i, to := range lw.told {
		if i+1 < len(lw.told) && lw.told[i+1].at <= since {
			continue
		}
		most = max(most, to.rate)
	}
	return most
}
