package emul

import "time"

// Clock returns the time since a fixed start; it never goes backwards.
type Clock func() time.Duration

// realClock returns a Clock that starts at 0 now.
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
