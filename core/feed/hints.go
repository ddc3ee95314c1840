package feed

import "time"

const (
	// hintsFor is how long a hint is passed on: each VM has it within some milliseconds,
	// one that starts or looks for a source within a second or two.
	hintsFor = 5 * time.Second
	// mostHints bounds those that are passed on at once; what is beyond is left out.
	mostHints = 64
)

// Hints are short words that VMs pass on to each other at once, along the ways by which
// they hear of changes. One that is lost does no harm: what must be known everywhere stands
// in the store. The zero value is empty. It is not safe for concurrent use.
type Hints struct {
	// last is the number of the newest.
	last uint64
	kept []hint
}

type hint struct {
	number uint64
	word   string
	at     time.Duration
}

// Add takes a word and tells whether it is to be passed on: it is new, and there is room.
func (hi *Hints) Add(now time.Duration, word string) bool {
	hi.expire(now)
	for _, one := range hi.kept {
		if one.word == word {
			return false
		}
	}
	if len(hi.kept) >= mostHints {
		return false
	}
	hi.last++
	hi.kept = append(hi.kept, hint{number: hi.last, word: word, at: now})
	return true
}

// Since lists what came after a number, and the number that it reaches. A number beyond the
// last one is of this VM's former life.
func (hi *Hints) Since(now time.Duration, number uint64) (words []string, upto uint64) {
	hi.expire(now)
	if number > hi.last {
		number = 0
	}
	for _, one := range hi.kept {
		if one.number > number {
			words = append(words, one.word)
		}
	}
	return words, hi.last
}

func (hi *Hints) expire(now time.Duration) {
	for len(hi.kept) > 0 && now-hi.kept[0].at >= hintsFor {
		hi.kept = hi.kept[1:]
	}
}
