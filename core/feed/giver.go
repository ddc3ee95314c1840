package feed

import "time"

const (
	// giveMost is how many whole copies a VM gives within giveSpan. Each is 10 to 30 kB,
	// and the link of a small VM takes 20 Mbit/s: those beyond would all come late.
	giveMost = 4
	giveSpan = 50 * time.Millisecond
	// namedMost is how many VMs are named to one that gets no copy, and namedFor how
	// long a VM that got one is named: it has it within tens of milliseconds.
	namedMost = 6
	namedFor  = 5 * time.Second
)

// Giver decides who gets a whole copy from this VM, and whom to ask in place of it. A
// fleet that starts at once knows only a few seeds; with each VM that has a copy giving
// it to four more, three seeds reach two hundred VMs in three rounds. It is not safe for
// concurrent use.
type Giver struct {
	// given is when copies were given lately, to whom.
	given []gift
}

type gift struct {
	to string
	at time.Duration
}

// Ask tells whether a VM gets a copy now, and if not, who got one lately.
func (gi *Giver) Ask(now time.Duration, from string) (give bool, others []string) {
	for len(gi.given) > 0 && now-gi.given[0].at > namedFor {
		gi.given = gi.given[1:]
	}
	if n := len(gi.given); n < giveMost || now-gi.given[n-giveMost].at >= giveSpan {
		gi.given = append(gi.given, gift{to: from, at: now})
		return true, nil
	}
	for i := len(gi.given) - 1; i >= 0 && len(others) < namedMost; i-- {
		if to := gi.given[i].to; to != "" && to != from {
			others = append(others, to)
		}
	}
	return false, others
}
