package ramp

import "time"

const (
	// doubtAfter is how old news is before others are asked for a sign of life: older than it
	// gets while the store is heard. Their answers count for probeFor; probesLeast of them, and
	// probesShare of those that were asked, show that this VM reaches most others.
	doubtAfter  = 1100 * time.Millisecond
	probeFor    = 1500 * time.Millisecond
	probesLeast = 2
	probesShare = 0.75
)

// probe is one of them.
type probe struct {
	at       time.Duration
	answered bool
}

// Probed takes in whether a VM of another data centre gave a sign of life.
func (ga *Gate) Probed(now time.Duration, answered bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.probes = append(ga.probes, probe{at: now, answered: answered})
	for len(ga.probes) > 0 && now-ga.probes[0].at > probeFor {
		ga.probes = ga.probes[1:]
	}
}

// Doubts tells whether VMs of other data centres should be asked for a sign of life: this VM may
// soon count as blind.
func (ga *Gate) Doubts(now time.Duration) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return now-ga.news > doubtAfter
}

// Blind tells whether servers may have turned cold without this VM's knowing: it has had no news
// for a while, and does not reach most others, which may have some. Those that it reaches would
// have told it. Where all VMs lack news alike, nobody can have had a data centre evacuated.
func (ga *Gate) Blind(now time.Duration) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if now-ga.news <= FreshFor {
		return false
	}
	asked, answered := 0, 0
	for _, pr := range ga.probes {
		if now-pr.at <= probeFor {
			asked++
			if pr.answered {
				answered++
			}
		}
	}
	return asked < probesLeast || float64(answered) < probesShare*float64(asked)
}
