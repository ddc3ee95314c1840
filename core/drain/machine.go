package drain

import "time"

// Config sets a planned stop.
type Config struct {
	// BalancerLag is how long requests may still come after health failed.
	BalancerLag time.Duration
	// Grace is the longest time from the signal to the exit.
	Grace time.Duration
}

// Phase is how far a stop has come.
type Phase uint8

// Phases, in their order.
const (
	PhaseBooting Phase = iota
	PhaseServing
	// PhaseLagging: health fails, the balancer may still send.
	PhaseLagging
	// PhaseFinishing: nothing new from callers, what is in flight goes on.
	PhaseFinishing
	// PhaseTickets: only peers are answered, for tickets issued here.
	PhaseTickets
	PhaseStopped
)

// String is the phase's name in status replies and logs.
func (ph Phase) String() string {
	names := [...]string{"booting", "serving", "lagging", "finishing", "tickets", "stopped"}
	if int(ph) >= len(names) {
		return "invalid"
	}
	return names[ph]
}

// Machine is one process on its way to its stop.
type Machine struct {
	cfg    Config
	now    time.Duration
	phase  Phase
	asked  bool
	lagEnd time.Duration
	end    time.Duration
	closed bool
	load   Load
	out    []Action
}

// New makes a machine of a process that boots.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg}
}

// Phase is how far the stop has come.
func (ma *Machine) Phase() Phase {
	return ma.phase
}

// Wake is when the next Tick is due; ok is false if none is.
func (ma *Machine) Wake() (at time.Duration, ok bool) {
	switch ma.phase {
	case PhaseLagging:
		return min(ma.lagEnd, ma.end), true
	case PhaseFinishing:
		return ma.end, true
	case PhaseTickets:
		if ma.load.InFlight > 0 {
			return ma.end, true
		}
		return min(ma.end, ma.load.TicketsUntil), true
	default:
		return 0, false
	}
}

// Step takes an event in.
func (ma *Machine) Step(now time.Duration, ev Event) []Action {
	ma.out = nil
	ma.now = max(ma.now, now)
	ev.apply(ma)
	ma.proceed()
	return ma.out
}

func (ma *Machine) do(ac Action) {
	ma.out = append(ma.out, ac)
}

// proceed moves on through all phases that are over.
func (ma *Machine) proceed() {
	if ma.phase == PhaseLagging && ma.now >= min(ma.lagEnd, ma.end) {
		ma.phase = PhaseFinishing
		ma.do(Action{Kind: ActCloseCallers})
	}
	if ma.phase == PhaseFinishing && ma.closed && ma.load.InFlight == 0 {
		ma.phase = PhaseTickets
	}
	if ma.phase == PhaseTickets && ma.load.InFlight == 0 && ma.now >= ma.load.TicketsUntil {
		ma.exit(Action{Kind: ActExit})
	}
	if ma.stopping() && ma.now >= ma.end {
		ma.giveUp()
	}
}

func (ma *Machine) stopping() bool {
	return ma.phase > PhaseServing && ma.phase < PhaseStopped
}

// giveUp ends the stop at the end of the grace.
func (ma *Machine) giveUp() {
	if ma.load.InFlight == 0 && ma.closed {
		ma.exit(Action{Kind: ActExit})
		return
	}
	ma.do(Action{Kind: ActAbort})
	ma.exit(Action{Kind: ActExit, Code: 1, Cut: ma.load.InFlight})
}

func (ma *Machine) exit(ac Action) {
	ma.phase = PhaseStopped
	ma.do(Action{Kind: ActCloseInner})
	ma.do(ac)
}

func (ma *Machine) stop(lag time.Duration) {
	ma.phase = PhaseLagging
	ma.lagEnd = ma.now + lag
	ma.end = ma.now + ma.cfg.Grace
	ma.do(Action{Kind: ActFailHealth})
	ma.do(Action{Kind: ActAnnounce})
	ma.do(Action{Kind: ActHandOver})
}
