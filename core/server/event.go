package server

import "laburnumvane/core/view"

// Kind says what an event tells.
type Kind uint8

// Kinds of events.
const (
	// Reply sums up replies to real sub-requests, all of one incarnation.
	Reply Kind = iota
	// Failure sums up exchanges that failed; with Probe, one failed probe.
	Failure
	// Hint is the load endpoint's account; with Probe, the answer to a probe.
	Hint
	// Told is another VM's sign.
	Told
	// Removed tells that the configuration no longer has the server.
	Removed
	// Listed tells that the configuration has it again.
	Listed
	// Wake tells that the time from Table.Next has come.
	Wake
)

// Says is what a server says of itself.
type Says uint8

// What a server can say.
const (
	SaysNothing Says = iota
	SaysCold
	SaysServing
	SaysDraining
)

// Event is one thing learnt of a server.
type Event struct {
	Kind Kind
	// Incarnation is the one that the news is of; 0 where it is not told.
	Incarnation uint64
	Says        Says
	// Good, Shed and Cold count the replies that ran, that were shed, and that
	// were refused for coldness.
	Good, Shed, Cold int
	// Failed counts the failures.
	Failed int
	// Probe marks the outcome of a probe that the table asked for.
	Probe bool
	// Sign is set with Told.
	Sign SignKind

	// last is set by the table where the server is a shard's last replica.
	last bool
}

// SignKind is what one VM tells the others of a server. The numbers go over
// the wire.
type SignKind uint32

// Kinds of signs; of one incarnation's signs the lowest number is the strongest.
const (
	// SignLeaving: the server said itself that it leaves. It is a fact of that
	// incarnation and is believed.
	SignLeaving SignKind = 1
	// SignUnreachable: the sender cannot reach it. That may be the sender's
	// own trouble, so it only makes the receiver probe.
	SignUnreachable SignKind = 2
	// SignReturned: a new incarnation was met. The receiver probes at once
	// instead of waiting out its backoff.
	SignReturned SignKind = 3
)

// String is the sign's name in logs and sessions.
func (sk SignKind) String() string {
	switch sk {
	case SignLeaving:
		return "leaving"
	case SignUnreachable:
		return "unreachable"
	case SignReturned:
		return "returned"
	default:
		return "invalid"
	}
}

// Sign is a sign with the server that it is of.
type Sign struct {
	Addr        string
	Incarnation uint64
	Kind        SignKind
}

// ActionKind says what an action asks for.
type ActionKind uint8

// Kinds of actions.
const (
	// Publish: the server's status has changed.
	Publish ActionKind = iota
	// Probe: ask the server's load endpoint and step with what comes of it.
	Probe
	// Spread: tell the other VMs the action's sign.
	Spread
)

// Action is something for the caller to do.
type Action struct {
	Kind ActionKind
	ID   view.ServerID
	Sign Sign
}

// Status is what a machine has decided.
type Status struct {
	State       view.State
	Why         string
	Incarnation uint64
	// Weight is the share of a full server's work to send, 0 to 1.
	Weight float32
}
