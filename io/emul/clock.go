package emul

import "time"

// Clock tells the time since a fixed start; it never goes backwards.
type Clock func() time.Duration

// realClock counts from the call on.
func realClock() Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

func orRealClock(ck Clock) Clock {
	if ck != nil {
		return ck
	}
	return realClock()
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
