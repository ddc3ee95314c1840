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
	// given is when the latest copies were given, holders the VMs that have one, the
	// newest last.
	given   []time.Duration
	holders []holder
}

type holder struct {
	addr string
	at   time.Duration
}

// Ask tells whether a VM gets a copy now, and if not, who got one lately.
func (gi *Giver) Ask(now time.Duration, from string) (give bool, others []string) {
	if n := len(gi.given); n >= giveMost && now-gi.given[n-giveMost] < giveSpan {
		return false, gi.Others(now, from)
	}
	gi.given = append(gi.given, now)
	gi.given = gi.given[max(0, len(gi.given)-giveMost):]
	gi.Note(now, from)
	return true, nil
}

// Note takes in that a VM has a copy.
func (gi *Giver) Note(now time.Duration, addr string) {
	if addr == "" {
		return
	}
	gi.holders = append(gi.holders, holder{addr: addr, at: now})
	gi.holders = gi.holders[max(0, len(gi.holders)-namedMost):]
}

// Others names VMs that have a copy, to one that asks for it.
func (gi *Giver) Others(now time.Duration, from string) []string {
	var others []string
	for _, ho := range gi.holders {
		if ho.addr != from && now-ho.at <= namedFor {
			others = append(others, ho.addr)
		}
	}
	return others
}
