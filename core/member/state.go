package member

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// VM identifies one process of one VM.
type VM struct {
	Addr       string
	DataCentre string
	Region     string
	// Incarnation is higher for each later process at the same address and never 0 for a running
	// process; 0 marks a candidate.
	Incarnation uint64
}

// State is the membership state of a VM.
type State uint8

// States. Only VMs in StateLive are ranked for duties.
const (
	// StateCandidate is a VM on the platform's list that was never heard from.
	StateCandidate State = iota
	StateLive
	StateSuspect
	StateLeaving
	StateGone
)

// String returns the state's name as used in status replies and logs.
func (st State) String() string {
	names := [...]string{"candidate", "live", "suspect", "leaving", "gone"}
	if int(st) >= len(names) {
		return "invalid"
	}
	return names[st]
}

// Member is the state of one process as known to a VM. It is an immutable value.
type Member struct {
	VM
	// Count is odd while the process is suspected. A suspicion adds one to an even count, a
	// refutation adds one to an odd count; only the process itself refutes.
	Count   uint32
	Leaving bool
	Gone    bool
}

// State derives the state. Leaving takes precedence over suspect: a planned stop is final whether
// or not the VM is healthy.
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

// WithSuspicion returns the member with an odd count.
func (mb Member) WithSuspicion() Member {
	mb.Count |= 1
	return mb
}

// WithRefutation returns the member with a count that refutes the suspicion numbered count.
func (mb Member) WithRefutation(count uint32) Member {
	if count >= mb.Count {
		mb.Count = count + count%2
	}
	return mb
}

// WithLeaving returns the member with Leaving set.
func (mb Member) WithLeaving() Member {
	mb.Leaving = true
	return mb
}

// WithGone returns the member with Gone set.
func (mb Member) WithGone() Member {
	mb.Gone = true
	return mb
}

// Merge combines two states of the same address. It is commutative, associative and idempotent, so
// the order and the repetition of updates do not matter.
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

// digest returns the member's contribution to the digest of its data centre. Suspicions are
// excluded: they are short-lived, and the digest serves to find lasting differences.
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

// hash hashes the parts, separated so that their boundaries count.
func hash(parts ...string) uint64 {
	return xxhash.Sum64String(strings.Join(parts, "\x00"))
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
