package drain

import "time"

// Event is an input of Machine.Step; only the types below implement it.
type Event interface {
	apply(ma *Machine)
}

// Signal requests the stop. Only the first one counts: operators and platforms repeat it when a
// stop takes long, and that must not cut the stop short.
type Signal struct{}

// Booted reports that the listeners are open.
type Booted struct{}

// BootFailed reports that the process cannot serve.
type BootFailed struct{}

// Load reports the remaining work.
type Load struct {
	// InFlight is the number of searches in flight, of callers and of other VMs.
	InFlight int
	// TicketsUntil is when the last ticket issued by this process expires.
	TicketsUntil time.Duration
}

// CallersClosed reports that the listeners of callers and operators and all their connections are
// closed.
type CallersClosed struct{}

// Tick is due at the time returned by Wake.
type Tick struct{}

// Expire ends the grace immediately.
type Expire struct{}

func (Signal) apply(ma *Machine) {
	first := !ma.signalled
	ma.signalled = true
	switch {
	case !first:
		ma.emit(Action{Kind: ActRepeated})
	case ma.phase == PhaseServing:
		ma.beginStop(ma.cfg.BalancerLag)
	}
}

func (Booted) apply(ma *Machine) {
	if ma.phase != PhaseBooting {
		return
	}
	ma.phase = PhaseServing
	if ma.signalled {
		// The balancer has never seen this VM healthy and sends it no requests, so there is no lag
		// to wait for.
		ma.beginStop(0)
	}
}

func (BootFailed) apply(ma *Machine) {
	if ma.phase != PhaseBooting {
		return
	}
	ma.phase = PhaseStopped
	ma.emit(Action{Kind: ActExit, Code: 1})
}

func (ev Load) apply(ma *Machine) {
	ma.load = ev
}

func (CallersClosed) apply(ma *Machine) {
	ma.callersClosed = true
}

func (Tick) apply(*Machine) {}

func (Expire) apply(ma *Machine) {
	if ma.stopping() {
		ma.deadline = ma.now
	}
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	// ActFailHealth: fail the health check, close each connection after its answer, issue no more
	// tickets.
	ActFailHealth ActionKind = iota + 1
	// ActAnnounce: inform the other VMs of the stop.
	ActAnnounce
	// ActHandOver: leave watches and relays to the VMs next in rank.
	ActHandOver
	// ActRepeated: log that a repeated signal has no effect.
	ActRepeated
	// ActCloseCallers: close idle connections and the listeners of callers and operators, then step
	// with CallersClosed.
	ActCloseCallers
	// ActAbort: cut off the requests still in flight.
	ActAbort
	// ActCloseInner: close the listener for other VMs.
	ActCloseInner
	// ActExit: end the process with exit code Code.
	ActExit
)

// String returns the action's name for logs.
func (ak ActionKind) String() string {
	names := [...]string{"", "failHealth", "announce", "handOver", "repeated", "closeCallers", "abort", "closeInner", "exit"}
	if int(ak) >= len(names) {
		return "invalid"
	}
	return names[ak]
}

// Action is an output of Machine.Step, to be carried out by the caller.
type Action struct {
	Kind ActionKind
	// Code is the exit code of ActExit: 0 if nothing was cut off.
	Code int
	// Cut is the number of searches that were cut off, for ActExit.
	Cut int
}
