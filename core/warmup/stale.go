package warmup

import "time"

const (
	// probeAfter is the age of the copy of the store from which other VMs are probed. The
	// copy stays younger than that while the store is reachable. Answers count for
	// probeWindow. At least minProbes probes, minAnsweredShare of them answered, show that
	// this VM reaches most other VMs.
	probeAfter       = 1100 * time.Millisecond
	probeWindow      = 1500 * time.Millisecond
	minProbes        = 2
	minAnsweredShare = 0.75
)

// probe is the outcome of one probe.
type probe struct {
	at       time.Duration
	answered bool
}

// RecordProbe records whether a VM of another data centre answered a probe.
func (li *Limiter) RecordProbe(now time.Duration, answered bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.probes = append(li.probes, probe{at: now, answered: answered})
	for len(li.probes) > 0 && now-li.probes[0].at > probeWindow {
		li.probes = li.probes[1:]
	}
}

// ShouldProbe reports whether VMs of other data centres should be probed, because Stale may soon
// become true.
func (li *Limiter) ShouldProbe(now time.Duration) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	return now-li.copyAsOf > probeAfter
}

// Stale reports whether servers may have turned cold without this VM knowing: its copy of the
// store has not been updated for a while, and it does not reach most other VMs, which may
// have newer copies and would have sent it the update. If all VMs lack updates alike, no
// operator can have evacuated a data centre either.
func (li *Limiter) Stale(now time.Duration) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	if now-li.copyAsOf <= MaxCopyAge {
		return false
	}
	probed, answered := 0, 0
	for _, pr := range li.probes {
		if now-pr.at <= probeWindow {
			probed++
			if pr.answered {
				answered++
			}
		}
	}
	return probed < minProbes || float64(answered) < minAnsweredShare*float64(probed)
}
