package mirror

import "time"

const (
	// maxCopies is how many full copies a VM gives within copyWindow. Each copy is 10 to
	// 30 kB, and the link of a small VM carries 20 Mbit/s: with more, all would arrive late.
	maxCopies  = 4
	copyWindow = 50 * time.Millisecond
	// maxHolders is how many VMs are named to a VM that gets no copy. holderTTL is how long
	// a VM that was given a copy is named; it has received it within tens of milliseconds.
	maxHolders = 6
	holderTTL  = 5 * time.Second
)

// CopyLimiter limits how many full copies this VM gives, and names other holders to the VMs that it
// declines. A fleet that starts at once knows only a few seeds. If each VM that has a copy
// gives it to four more, three seeds reach two hundred VMs in three rounds. It is not safe for
// concurrent use.
type CopyLimiter struct {
	// given holds the times of the latest copies, holders the VMs that have one, both with
	// the newest last.
	given   []time.Duration
	holders []holder
}

type holder struct {
	addr string
	at   time.Duration
}

// Allow reports whether the VM from gets a copy now; if not, others names recent holders of one.
func (cl *CopyLimiter) Allow(now time.Duration, from string) (give bool, others []string) {
	if n := len(cl.given); n >= maxCopies && now-cl.given[n-maxCopies] < copyWindow {
		return false, cl.Holders(now, from)
	}
	cl.given = append(cl.given, now)
	cl.given = cl.given[max(0, len(cl.given)-maxCopies):]
	cl.AddHolder(now, from)
	return true, nil
}

// AddHolder records that a VM has a copy; an empty address is ignored.
func (cl *CopyLimiter) AddHolder(now time.Duration, addr string) {
	if addr == "" {
		return
	}
	cl.holders = append(cl.holders, holder{addr: addr, at: now})
	cl.holders = cl.holders[max(0, len(cl.holders)-maxHolders):]
}

// Holders returns recent holders of a copy other than from, which asks for one.
func (cl *CopyLimiter) Holders(now time.Duration, from string) []string {
	var others []string
	for _, ho := range cl.holders {
		if ho.addr != from && now-ho.at <= holderTTL {
			others = append(others, ho.addr)
		}
	}
	return others
}
