package drain

import "time"

// Config configures a Machine.
type Config struct {
	// BalancerLag is how long requests may still arrive after the health check has started to fail.
	BalancerLag time.Duration
	// Grace is the maximum time from the signal to the exit.
	Grace time.Duration
}

// Phase is the stage of a process from boot to stop.
type Phase uint8

// Phases, in order.
const (
	PhaseBooting Phase = iota
	PhaseServing
	// PhaseLagging: the health check fails, but the balancer may still send requests.
	PhaseLagging
	// PhaseFinishing: the listeners of callers are closing, requests in flight continue.
	PhaseFinishing
	// PhaseTickets: only requests of other VMs are answered, for tickets issued here.
	PhaseTickets
	PhaseStopped
)

// String returns the phase's name as used in status replies and logs.
func (ph Phase) String() string {
	names := [...]string{"booting", "serving", "lagging", "finishing", "tickets", "stopped"}
	if int(ph) >= len(names) {
		return "invalid"
	}
	return names[ph]
}

// Machine controls the stop of one process.
type Machine struct {
	cfg           Config
	now           time.Duration
	phase         Phase
	signalled     bool
	lagEnd        time.Duration
	deadline      time.Duration
	callersClosed bool
	load          Load
	actions       []Action
}

// New returns a machine in PhaseBooting.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg}
}

// Phase returns the current phase.
func (ma *Machine) Phase() Phase {
	return ma.phase
}

// Wake returns when the next Tick is due; ok is false if none is.
func (ma *Machine) Wake() (at time.Duration, ok bool) {
	switch ma.phase {
	case PhaseLagging:
		return min(ma.lagEnd, ma.deadline), true
	case PhaseFinishing:
		return ma.deadline, true
	case PhaseTickets:
		if ma.load.InFlight > 0 {
			return ma.deadline, true
		}
		return min(ma.deadline, ma.load.TicketsUntil), true
	default:
		return 0, false
	}
}

// Step processes an event and returns the actions to carry out, in order.
func (ma *Machine) Step(now time.Duration, ev Event) []Action {
	ma.actions = nil
	ma.now = max(ma.now, now)
	ev.apply(ma)
	ma.advance()
	return ma.actions
}

func (ma *Machine) emit(ac Action) {
	ma.actions = append(ma.actions, ac)
}

// advance enters each next phase whose conditions are met.
func (ma *Machine) advance() {
	if ma.phase == PhaseLagging && ma.now >= min(ma.lagEnd, ma.deadline) {
		ma.phase = PhaseFinishing
		ma.emit(Action{Kind: ActCloseCallers})
	}
	if ma.phase == PhaseFinishing && ma.callersClosed && ma.load.InFlight == 0 {
		ma.phase = PhaseTickets
	}
	if ma.phase == PhaseTickets && ma.load.InFlight == 0 && ma.now >= ma.load.TicketsUntil {
		ma.exit(Action{Kind: ActExit})
	}
	if ma.stopping() && ma.now >= ma.deadline {
		ma.endGrace()
	}
}

func (ma *Machine) stopping() bool {
	return ma.phase > PhaseServing && ma.phase < PhaseStopped
}

// endGrace exits at the end of the grace and cuts off what is still in flight.
func (ma *Machine) endGrace() {
	if ma.load.InFlight == 0 && ma.callersClosed {
		ma.exit(Action{Kind: ActExit})
		return
	}
	ma.emit(Action{Kind: ActAbort})
	ma.exit(Action{Kind: ActExit, Code: 1, Cut: ma.load.InFlight})
}

func (ma *Machine) exit(ac Action) {
	ma.phase = PhaseStopped
	ma.emit(Action{Kind: ActCloseInner})
	ma.emit(ac)
}

func (ma *Machine) beginStop(lag time.Duration) {
	ma.phase = PhaseLagging
	ma.lagEnd = ma.now + lag
	ma.deadline = ma.now + ma.cfg.Grace
	ma.emit(Action{Kind: ActFailHealth})
	ma.emit(Action{Kind: ActAnnounce})
	ma.emit(Action{Kind: ActHandOver})
}
