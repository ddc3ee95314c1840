// Package toggle names the optional mechanisms of request handling and holds which of them
// are switched off. Operators switch a mechanism off if they suspect it of causing trouble.
// Its benefit is measured by a run without it.
//
// # Usage
//
//	off, err := toggle.Parse([]string{"valve", "hedges"})
//	if off.Off(toggle.Valve) { ... }
//	off = off.With(toggle.Joins)
//
// Requests are answered correctly without any of them: a mechanism adds answers in time, or
// saves cost. Whatever ensures a guarantee (running a request at most once, the budget of
// extra attempts, graceful shutdown) is not a mechanism in this sense and cannot be switched
// off.
package toggle

import (
	"fmt"
	"strings"
)

// Mechanism is an optional part of request handling.
type Mechanism uint8

// Mechanisms.
const (
	// Hedges sends a second attempt to another server if the first is late.
	Hedges Mechanism = iota
	// Windows limits this VM's requests in flight at each server according to the server's
	// queue.
	Windows
	// Moves moves requests that wait on this VM for one server to another server.
	Moves
	// Newest starts the newest of the waiting requests first.
	Newest
	// Valve refuses a share of requests outright while shards lack capacity.
	Valve
	// Homes forwards requests from small VMs to large ones.
	Homes
	// Joins lets a VM in another data centre merge the answers of the servers there.
	Joins
	// Cuts takes a VM that is cut off out of the load balancer's rotation.
	Cuts
	// Proofs detects a cut by overdue answers instead of by a fixed silence only.
	Proofs
	// Trips uses the kernel's round-trip time of a client's connection.
	Trips
	// Timers compensates for the lateness of this VM's own timers.
	Timers
	// Pauses avoids servers that have stopped answering.
	Pauses
	// Slowness avoids servers that have been slow.
	Slowness
	// Failures avoids servers that have failed or refused requests.
	Failures
	// Nearness prefers servers of the VM's own data centre.
	Nearness
	// Warnings exchanges between VMs which servers of their data centres are slow or do not
	// answer.
	Warnings
	// Absence keeps using servers whose entries expired while the store was unavailable.
	Absence
	// Asks sends requests for a server that warms up through the VM that owns it.
	Asks
	// Loads uses the load that servers report.
	Loads
	// Checks asks a server for its state before sending it a request that may run only once.
	Checks
	// Placement uses the load that other VMs report, and compares it with this VM's own.
	Placement
	// Admission lets requests wait, or refuses them, by the capacity of this VM and by account.
	Admission

	count
)

// names are the names in settings, logs and metrics, indexed by mechanism.
var names = [count]string{ //nolint:gochecknoglobals // a constant list
	"hedges", "windows", "moves", "newest", "valve", "homes", "joins",
	"cuts", "proofs", "trips", "timers", "pauses", "slowness", "failures", "nearness", "warnings", "absence", "asks", "loads", "checks",
	"placement", "admission",
}

// String returns the name in settings, logs and metrics.
func (me Mechanism) String() string { return names[me] }

// All lists all mechanisms in the order of their constants.
func All() []Mechanism {
	all := make([]Mechanism, count)
	for i := range all {
		all[i] = Mechanism(i)
	}
	return all
}

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindUnknown means that no mechanism has the given name.
	KindUnknown Kind = "unknown"
)

// Error reports a name that is not accepted.
type Error struct {
	Op   string
	Kind Kind
	Name string
}

// Error returns operation, kind and name on one line, followed by the valid names.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %q is none of %s", e.Op, e.Kind, e.Name, strings.Join(names[:], ", "))
}

// Set is an immutable set of mechanisms that are switched off. The zero value is empty.
type Set struct {
	bits uint32
}

// Parse returns the set of the named mechanisms. Spaces around a name are ignored; an unknown
// name is an *Error.
func Parse(list []string) (Set, error) {
	var se Set
	for _, name := range list {
		me, ok := mechanismOf(strings.TrimSpace(name))
		if !ok {
			return Set{}, &Error{Op: "toggle.Parse", Kind: KindUnknown, Name: name}
		}
		se = se.With(me)
	}
	return se, nil
}

func mechanismOf(name string) (Mechanism, bool) {
	for i, known := range names {
		if known == name {
			return Mechanism(i), true
		}
	}
	return 0, false
}

// With returns the set with one more mechanism.
func (se Set) With(me Mechanism) Set { return Set{bits: se.bits | 1<<me} }

// Off reports whether a mechanism is switched off.
func (se Set) Off(me Mechanism) bool { return se.bits&(1<<me) != 0 }

// Names lists the names of the mechanisms that are switched off.
func (se Set) Names() []string {
	var off []string
	for _, me := range All() {
		if se.Off(me) {
			off = append(off, me.String())
		}
	}
	return off
}
