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

// Probed records whether a VM of another data centre answered a probe.
func (ga *Limiter) RecordProbe(now time.Duration, answered bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.probes = append(ga.probes, probe{at: now, answered: answered})
	for len(ga.probes) > 0 && now-ga.probes[0].at > probeWindow {
		ga.probes = ga.probes[1:]
	}
}

// Doubts reports whether VMs of other data centres should be probed, because Blind may soon
// become true.
func (ga *Limiter) ShouldProbe(now time.Duration) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return now-ga.copyAsOf > probeAfter
}

// Blind reports whether servers may have turned cold without this VM knowing: its copy of the
// store has not been updated for a while, and it does not reach most other VMs, which may
// have newer copies and would have sent it the update. If all VMs lack updates alike, no
// operator can have evacuated a data centre either.
func (ga *Limiter) Stale(now time.Duration) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if now-ga.copyAsOf <= MaxCopyAge {
		return false
	}
	probed, answered := 0, 0
	for _, pr := range ga.probes {
		if now-pr.at <= probeWindow {
			probed++
			if pr.answered {
				answered++
			}
		}
	}
	return probed < minProbes || float64(answered) < minAnsweredShare*float64(probed)
}
