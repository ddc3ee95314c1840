package member

import (
	"slices"
	"time"
)

// tokenBucket bounds the rounds of extra beats.
type tokenBucket struct {
	burst, rate, tokens float64
	filledAt            time.Duration
}

func (bu *tokenBucket) refill(now time.Duration) {
	bu.tokens = min(bu.burst, bu.tokens+(now-bu.filledAt).Seconds()*bu.rate)
	bu.filledAt = now
}

func (bu *tokenBucket) take() bool {
	if bu.tokens < 1 {
		return false
	}
	bu.tokens--
	return true
}

// sendUrgent sends urgent updates immediately to the beat targets and to the data centres that this
// VM relays to. When the token bucket is empty, the regular beats carry them.
func (ma *Machine) sendUrgent() {
	if !ma.urgent || ma.joining {
		return
	}
	ma.urgent = false
	if !ma.urgentLimit.take() {
		return
	}
	ma.updateTargets()
	for _, rc := range ma.targets {
		ma.send(rc, purposeUrgent, 0)
	}
	for _, name := range ma.table.dcNames {
		if re, ok := ma.relays[name]; ok && re.updates.Len() > 0 {
			ma.sendRelayBeat(re)
		}
	}
}

// SendNow requests that beats be sent immediately, for data that the caller piggybacks on them. It
// is subject to the same bound as urgent updates.
type SendNow struct{}

func (SendNow) apply(ma *Machine) {
	ma.urgent = true
}

func sortIDs(ids []uint64) {
	slices.Sort(ids)
}
