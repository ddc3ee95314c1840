// Package toggle names the mechanisms that decide about requests, and says which of
// them are switched off. Operators switch one off when they suspect it in trouble, and
// its worth is measured by a run without it.
//
// # Usage
//
//	off, err := toggle.Parse([]string{"valve", "hedges"})
//	if off.Off(toggle.Valve) { ... }
//	off = off.With(toggle.Joins)
//
// Without any of them requests are still answered by the rules: what a mechanism adds
// is answers in time, or cost saved. What keeps a promise (a request that may run once,
// the budget of second attempts, a planned stop) is no mechanism here and cannot be
// switched off.
package toggle

import (
	"fmt"
	"strings"
)

// Mechanism is one that can be switched off.
type Mechanism uint8

// Mechanisms.
const (
	// Hedges asks a second server when the first is late.
	Hedges Mechanism = iota
	// Windows bounds the requests of this VM at each server by its queue.
	Windows
	// Moves takes what waits here for one server to another.
	Moves
	// Newest starts the newest of what waits first.
	Newest
	// Valve refuses a share of requests whole while shards are short of room.
	Valve
	// Homes has large VMs take the requests of small ones.
	Homes
	// Joins has a VM elsewhere join the answers of its data centre.
	Joins
	// Cuts takes a VM that is cut off out of the balancer's rotation.
	Cuts
	// Proofs finds a cut by the answers that are owed, not by a fixed silence.
	Proofs
	// Trips takes the way to the client as the kernel sees it.
	Trips
	// Timers allows for this VM's own timers being late.
	Timers
	// Pauses passes around servers that have gone silent.
	Pauses
	// Slowness remembers servers that are slow.
	Slowness
	// Failures remembers servers that fail and refuse.
	Failures
	// Nearness prefers servers of the own data centre.
	Nearness
	// Warnings has VMs tell which servers of their data centre are slow or silent.
	Warnings
	// Absence keeps servers whose entries lapsed while the store was away.
	Absence
	// Asks has the owners of servers that warm up send there for other VMs.
	Asks
	// Loads takes what servers tell of their load.
	Loads
	// Checks asks servers for their state before a request that may run once.
	Checks

	count
)

// names are those of settings, logs and metrics, by mechanism.
var names = [count]string{ //nolint:gochecknoglobals // a constant list
	"hedges", "windows", "moves", "newest", "valve", "homes", "joins",
	"cuts", "proofs", "trips", "timers", "pauses", "slowness", "failures", "nearness", "warnings", "absence", "asks", "loads", "checks",
}

// String is the mechanism's name.
func (me Mechanism) String() string { return names[me] }

// All lists the mechanisms.
func All() []Mechanism {
	all := make([]Mechanism, count)
	for i := range all {
		all[i] = Mechanism(i)
	}
	return all
}

// Kind says what went wrong.
type Kind string

// Kinds of errors.
const (
	// KindUnknown: there is no mechanism of that name.
	KindUnknown Kind = "unknown"
)

// Error is a name that cannot be used.
type Error struct {
	Op   string
	Kind Kind
	Name string
}

// Error gives operation, kind and name on one line, and the names that there are.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %q is none of %s", e.Op, e.Kind, e.Name, strings.Join(names[:], ", "))
}

// Set is the mechanisms that are switched off; the zero value has none. It is
// immutable.
type Set struct {
	bits uint32
}

// Parse reads a list of names.
func Parse(list []string) (Set, error) {
	var se Set
	for _, name := range list {
		me, ok := find(strings.TrimSpace(name))
		if !ok {
			return Set{}, &Error{Op: "toggle.Parse", Kind: KindUnknown, Name: name}
		}
		se = se.With(me)
	}
	return se, nil
}

func find(name string) (Mechanism, bool) {
	for i, known := range names {
		if known == name {
			return Mechanism(i), true
		}
	}
	return 0, false
}

// With is the same set with one more switched off.
func (se Set) With(me Mechanism) Set { return Set{bits: se.bits | 1<<me} }

// Off tells whether a mechanism is switched off.
func (se Set) Off(me Mechanism) bool { return se.bits&(1<<me) != 0 }

// Names lists those that are switched off.
func (se Set) Names() []string {
	var off []string
	for _, me := range All() {
		if se.Off(me) {
			off = append(off, me.String())
		}
	}
	return off
}
