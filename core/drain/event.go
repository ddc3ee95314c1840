package drain

import "time"

// Event is something that happened. The types below are all there are.
type Event interface {
	apply(ma *Machine)
}

// Signal asks for the stop. Only the first counts: operators and platforms send
// it again when a stop takes long, and that must not cut it short.
type Signal struct{}

// Booted tells that the listeners are open.
type Booted struct{}

// BootFailed tells that the process cannot serve.
type BootFailed struct{}

// Load tells what is left to be done.
type Load struct {
	// InFlight counts searches of callers and of peers.
	InFlight int
	// TicketsUntil is when the last ticket issued by this process expires.
	TicketsUntil time.Duration
}

// CallersClosed tells that the callers' and operators' listeners and all their
// connections are closed.
type CallersClosed struct{}

// Tick is due at Wake.
type Tick struct{}

// Expire ends the grace early.
type Expire struct{}

func (Signal) apply(ma *Machine) {
	first := !ma.asked
	ma.asked = true
	switch {
	case !first:
		ma.do(Action{Kind: ActRepeated})
	case ma.phase == PhaseServing:
		ma.stop(ma.cfg.BalancerLag)
	}
}

func (Booted) apply(ma *Machine) {
	if ma.phase != PhaseBooting {
		return
	}
	ma.phase = PhaseServing
	if ma.asked {
		// The balancer has never seen this VM healthy: nobody is sent
		// here, and there is no lag to wait for.
		ma.stop(0)
	}
}

func (BootFailed) apply(ma *Machine) {
	if ma.phase != PhaseBooting {
		return
	}
	ma.phase = PhaseStopped
	ma.do(Action{Kind: ActExit, Code: 1})
}

func (ev Load) apply(ma *Machine) {
	ma.load = ev
}

func (CallersClosed) apply(ma *Machine) {
	ma.closed = true
}

func (Tick) apply(*Machine) {}

func (Expire) apply(ma *Machine) {
	if ma.stopping() {
		ma.end = ma.now
	}
}

// ActionKind says what to do.
type ActionKind uint8

// Actions.
const (
	// ActFailHealth: fail the health check, close each connection with its
	// answer, issue no more tickets.
	ActFailHealth ActionKind = iota + 1
	// ActAnnounce: tell the other VMs.
	ActAnnounce
	// ActHandOver: leave watches and relays to the VMs that rank next.
	ActHandOver
	// ActRepeated: a further signal changes nothing; say so.
	ActRepeated
	// ActCloseCallers: close idle connections and the listeners of callers
	// and operators, then CallersClosed.
	ActCloseCallers
	// ActAbort: cut off what is still in flight.
	ActAbort
	// ActCloseInner: close the listener of the other VMs.
	ActCloseInner
	// ActExit: end the process with Code.
	ActExit
)

// String is the action's name in logs.
func (ak ActionKind) String() string {
	names := [...]string{"", "failHealth", "announce", "handOver", "repeated", "closeCallers", "abort", "closeInner", "exit"}
	if int(ak) >= len(names) {
		return "invalid"
	}
	return names[ak]
}

// Action is something to be done.
type Action struct {
	Kind ActionKind
	// Code is the exit code of ActExit: 0 if nothing was cut off.
	Code int
	// Cut is the number of searches that ActExit cut off.
	Cut int
}
