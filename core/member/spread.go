package member

import (
	"slices"
	"time"
)

// bucket bounds what is sent beside the regular beats.
type bucket struct {
	burst, rate, tokens float64
	at                  time.Duration
}

func (bu *bucket) fill(now time.Duration) {
	bu.tokens = min(bu.burst, bu.tokens+(now-bu.at).Seconds()*bu.rate)
	bu.at = now
}

func (bu *bucket) take() bool {
	if bu.tokens < 1 {
		return false
	}
	bu.tokens--
	return true
}

// spread sends urgent news at once, to whom this VM beats and to those it relays
// to. When the bucket is empty the regular beats carry them.
func (ma *Machine) spread() {
	if !ma.urgent || ma.joining {
		return
	}
	ma.urgent = false
	if !ma.eager.take() {
		return
	}
	ma.retarget()
	for _, rc := range ma.targets {
		ma.send(rc, purposeEager, 0)
	}
	for _, name := range ma.table.names {
		if re, ok := ma.relays[name]; ok && re.news.Len() > 0 {
			ma.relayBeat(re)
		}
	}
}

// Kick asks for beats to be sent at once, for what else rides on them; it does
// nothing beyond the bound on such beats.
type Kick struct{}

func (Kick) apply(ma *Machine) {
	ma.urgent = true
}

func sortNumbers(ids []uint64) {
	slices.Sort(ids)
}
