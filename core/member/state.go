package member

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// VM names one process of one VM.
type VM struct {
	Addr       string
	DataCentre string
	Region     string
	// Incarnation is higher for each later process at the same address, and
	// is never 0.
	Incarnation uint64
}

// State is what is known of a VM.
type State uint8

// States. Only Live takes part in rankings.
const (
	// StateCandidate is on the VM list and was never heard from.
	StateCandidate State = iota
	StateLive
	StateSuspect
	StateLeaving
	StateGone
)

// String is the state's name in status replies and logs.
func (st State) String() string {
	names := [...]string{"candidate", "live", "suspect", "leaving", "gone"}
	if int(st) >= len(names) {
		return "invalid"
	}
	return names[st]
}

// Member is all that is known of one process. It is an immutable value.
type Member struct {
	VM
	// Count is odd while the process is suspected. To suspect is to add one
	// to an even count, to refute is to add one to an odd count; only the
	// process itself refutes.
	Count   uint32
	Leaving bool
	Gone    bool
}

// State sums the member up. Leaving goes before suspect: any sign that a VM
// leaves wins over any that it is healthy.
func (mb Member) State() State {
	switch {
	case mb.Incarnation == 0:
		return StateCandidate
	case mb.Gone:
		return StateGone
	case mb.Leaving:
		return StateLeaving
	case mb.suspected():
		return StateSuspect
	default:
		return StateLive
	}
}

func (mb Member) suspected() bool {
	return mb.Count%2 == 1
}

// WithSuspicion returns the member suspected.
func (mb Member) WithSuspicion() Member {
	mb.Count |= 1
	return mb
}

// WithRefutation returns the member with a count that answers a suspicion.
func (mb Member) WithRefutation(count uint32) Member {
	if count >= mb.Count {
		mb.Count = count + count%2
	}
	return mb
}

// WithLeaving returns the member leaving.
func (mb Member) WithLeaving() Member {
	mb.Leaving = true
	return mb
}

// WithGone returns the member gone.
func (mb Member) WithGone() Member {
	mb.Gone = true
	return mb
}

// Merge returns what is known when both are. The order of merges does not
// matter, nor does it matter how often one is repeated.
func (mb Member) Merge(other Member) Member {
	switch {
	case other.Incarnation > mb.Incarnation:
		return other
	case other.Incarnation < mb.Incarnation:
		return mb
	}
	mb.Count = max(mb.Count, other.Count)
	mb.Leaving = mb.Leaving || other.Leaving
	mb.Gone = mb.Gone || other.Gone
	return mb
}

// digest is the member's part of its data centre's digest. Suspicions are left
// out: they come and go, and the digest is there to find lasting differences.
func (mb Member) digest() uint64 {
	if mb.Gone || mb.Incarnation == 0 {
		return 0
	}
	h := mix(hash("digest", mb.Addr) ^ mix(mb.Incarnation))
	if mb.Leaving {
		h = mix(h + 1)
	}
	return h
}

// hash covers the parts and where each ends.
func hash(parts ...string) uint64 {
	return xxhash.Sum64String(strings.Join(parts, "\x00"))
}

// mix spreads the bits of x (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
