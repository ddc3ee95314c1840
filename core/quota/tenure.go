package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// KeepTime is how long a holder uses its parts after the store was last known to have its entry. The
	// other VMs count it for 20 s after its entry has disappeared, and only then put another VM in its
	// place; 2 s are left for errors in the age of copies.
	KeepTime = 18 * time.Second
	// confirmAfter is the age of that knowledge from which a holder asks the VMs that could take its place.
	confirmAfter = KeepTime / 2
	// confirmInterval is the time between two rounds of such calls, and maxConfirmCalls limits the calls of
	// a round.
	confirmInterval = time.Second
	maxConfirmCalls = 16
	// copySkew is the error of the age of a copy that went through other VMs.
	copySkew = time.Second
)

// tenure is what a VM knows of its place among the holders.
type tenure struct {
	// observed is set once the state of the store was observed. Until then holders keep their parts.
	observed bool
	// listedAt is the latest time at which the store is known to have had this VM's entry.
	listedAt time.Duration
	// confirmed holds, for VMs that could take this one's place, since when they have had no news from the
	// store either, and asked when they were asked.
	confirmed, asked map[string]time.Duration
	nextRound        time.Duration
}

// ObserveStore records the age of this VM's copy of the store, and whether its own entry is there. It is
// called a few times per second. It returns calls to be made to the VMs that could take this VM's place:
// while the store responds to no VM, they confirm that they have not done so.
func (li *Limiter) ObserveStore(now, age time.Duration, listed bool) []Call {
	li.mu.Lock()
	defer li.mu.Unlock()
	te := &li.tenure
	if !te.observed {
		te.observed, te.listedAt = true, now-KeepTime
	}
	if listed {
		te.listedAt = max(te.listedAt, now-age)
	}
	if now-te.listedAt < confirmAfter {
		clear(te.confirmed)
		clear(te.asked)
		return nil
	}
	if now < te.nextRound {
		return nil
	}
	te.nextRound = now + confirmInterval
	return te.round(now, li.candidates())
}

// candidates returns the VMs that could take this VM's place as a holder of an account in use.
func (li *Limiter) candidates() []string {
	set := make(map[string]bool)
	for _, st := range li.accounts {
		if st.holders.Rank < 0 || st.holders.Rank >= st.part.perCentre {
			continue
		}
		for addr := range st.holders.candidates {
			set[addr] = true
		}
	}
	return slices.Collect(maps.Keys(set))
}

// round returns the calls to those VMs whose confirmation is missing or half-way to its end, those asked
// longest ago first.
func (te *tenure) round(now time.Duration, addrs []string) []Call {
	addrs = slices.DeleteFunc(addrs, func(addr string) bool {
		at, ok := te.confirmed[addr]
		return ok && now-at < confirmAfter
	})
	slices.SortFunc(addrs, func(a, b string) int {
		return cmp.Or(cmp.Compare(te.asked[a], te.asked[b]), cmp.Compare(a, b))
	})
	var calls []Call
	for _, addr := range addrs[:min(maxConfirmCalls, len(addrs))] {
		te.asked[addr] = now
		calls = append(calls, Call{Peer: addr, Borrow: true, at: now})
	}
	return calls
}

// confirm records the age of another VM's copy. If that copy is no newer than the last one in which this VM
// had its entry, the other VM can take its place only after a newer one and the time that others count a VM
// without an entry.
func (te *tenure) confirm(ca Call, now, copyAge time.Duration) {
	if copyAge > 0 && now-copyAge <= te.listedAt+copySkew {
		te.confirmed[ca.Peer] = ca.at
	}
}

// keeps reports whether this VM may use its part of an account's limit, if it is a holder as far as it
// knows. If it cannot know whether another VM has taken its place, both could use the same part.
func (li *Limiter) keeps(now time.Duration, ho *Holders) bool {
	te := &li.tenure
	if !te.observed || now-te.listedAt < KeepTime {
		return true
	}
	for addr := range ho.candidates {
		if at, ok := te.confirmed[addr]; !ok || now-at >= KeepTime {
			return false
		}
	}
	return true
}

// candidates yields the VMs that could take this VM's place as a holder: the others of its data centre that
// rank first.
func (ho *Holders) candidates(yield func(string) bool) {
	for i := range ho.Peers {
		if ho.Peers[i].Local && !yield(ho.Peers[i].Addr) {
			return
		}
	}
	for _, addr := range ho.Successors {
		if !yield(addr) {
			return
		}
	}
}
