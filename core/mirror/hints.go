package mirror

import "time"

const (
	// hintTTL is how long a hint is passed on: each VM has it within some milliseconds, and
	// a VM that starts or looks for a source within a second or two.
	hintTTL = 5 * time.Second
	// maxHints is how many hints are passed on at the same time; more are dropped.
	maxHints = 64
)

// Hints are short texts that VMs pass on to each other at once, along the paths by which they
// replicate. Delivery is best effort: what all VMs must know is written to the store. The zero
// value is empty. It is not safe for concurrent use.
type Hints struct {
	// last is the number of the newest hint.
	last    uint64
	entries []hint
}

type hint struct {
	number uint64
	text   string
	at     time.Duration
}

// Add adds a hint and reports whether it is to be passed on: it is new, and there is room.
func (hi *Hints) Add(now time.Duration, text string) bool {
	hi.expire(now)
	for _, ht := range hi.entries {
		if ht.text == text {
			return false
		}
	}
	if len(hi.entries) >= maxHints {
		return false
	}
	hi.last++
	hi.entries = append(hi.entries, hint{number: hi.last, text: text, at: now})
	return true
}

// Since returns the hints after a number, and the number of the newest hint. A number beyond
// the newest one stems from before this VM's restart and counts as 0.
func (hi *Hints) Since(now time.Duration, number uint64) (texts []string, upto uint64) {
	hi.expire(now)
	if number > hi.last {
		number = 0
	}
	for _, ht := range hi.entries {
		if ht.number > number {
			texts = append(texts, ht.text)
		}
	}
	return texts, hi.last
}

func (hi *Hints) expire(now time.Duration) {
	for len(hi.entries) > 0 && now-hi.entries[0].at >= hintTTL {
		hi.entries = hi.entries[1:]
	}
}
