package share

import "time"

// rateHistory holds the rates announced recently, the oldest first, to find the lowest
// or highest of a time span.
type rateHistory struct {
	rates []announcedRate
}

type announcedRate struct {
	at   time.Duration
	rate float64
}

// maxRates limits the number of rates kept, whatever the number of heartbeats.
const maxRates = 64

func (rh *rateHistory) add(at time.Duration, rate float64) {
	if len(rh.rates) == maxRates {
		// The two oldest become one with the lower rate, which can only lower
		// the result of low.
		rh.rates[1].rate = min(rh.rates[0].rate, rh.rates[1].rate)
		rh.rates[1].at = rh.rates[0].at
		rh.rates = append(rh.rates[:0], rh.rates[1:]...)
	}
	rh.rates = append(rh.rates, announcedRate{at: at, rate: rate})
}

// covers reports whether a rate had been announced by since.
func (rh *rateHistory) covers(since time.Duration) bool {
	return len(rh.rates) > 0 && rh.rates[0].at <= since
}

// low returns the lowest rate in force after since: of those announced after it and the
// last one before. It drops older rates. There must be at least one rate.
func (rh *rateHistory) low(since time.Duration) float64 {
	first := 0
	for first+1 < len(rh.rates) && rh.rates[first+1].at <= since {
		first++
	}
	rh.rates = append(rh.rates[:0], rh.rates[first:]...)
	lowest := rh.rates[0].rate
	for _, ar := range rh.rates[1:] {
		lowest = min(lowest, ar.rate)
	}
	return lowest
}

// high returns the highest rate in force after since, 0 if there is none. It may be too
// low if add has merged rates; maxRates is well above the number of announcements in a
// Window.
func (rh *rateHistory) high(since time.Duration) float64 {
	highest := 0.0
	for i, ar := range rh.rates {
		if i+1 < len(rh.rates) && rh.rates[i+1].at <= since {
			continue
		}
		highest = max(highest, ar.rate)
	}
	return highest
}
