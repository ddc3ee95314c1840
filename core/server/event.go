package server

import "laburnumvane/core/view"

// Kind is the kind of an Event.
type Kind uint8

// Kinds of events.
const (
	// Reply summarises replies to real sub-requests, all of one incarnation.
	Reply Kind = iota
	// Failure summarises failed exchanges; with Probe set, it is one failed probe.
	Failure
	// Hint is the state reported by the load endpoint; with Probe set, it is the answer to a probe.
	Hint
	// SignReceived is a sign from another VM.
	SignReceived
	// Removed reports that the server is no longer in the configuration.
	Removed
	// Listed reports that the server is in the configuration again.
	Listed
	// Wake reports that the time returned by Table.Next has come.
	Wake
)

// ReportedState is the state that a server reports of itself.
type ReportedState uint8

// States that a server can report.
const (
	ReportedNone ReportedState = iota
	ReportedCold
	ReportedServing
	ReportedDraining
)

// Event is an observation about a server.
type Event struct {
	Kind Kind
	// Incarnation is the server's incarnation that the event refers to; 0 if unknown.
	Incarnation uint64
	Reported    ReportedState
	// Good, Shed and Cold count the replies that were executed, that were refused because of
	// load, and that were refused because the server was cold.
	Good, Shed, Cold int
	// Failed counts the failed exchanges.
	Failed int
	// Probe is set for the outcome of a probe that the table requested.
	Probe bool
	// Sign is the kind of the sign, for SignReceived.
	Sign SignKind

	// last is set by the table if the server is the last live replica of a shard.
	last bool
}

// SignKind is the kind of a Sign. The numbers are part of the wire format.
type SignKind uint32

// Kinds of signs; among the signs of one incarnation, the lowest number takes precedence.
const (
	// SignLeaving: the server has announced that it leaves. It is a fact about that incarnation, so
	// the receiver applies it.
	SignLeaving SignKind = 1
	// SignUnreachable: the sender cannot reach the server. The cause may be the sender's own
	// network, so the receiver only probes the server.
	SignUnreachable SignKind = 2
	// SignReturned: the sender has seen a new incarnation. The receiver probes at once instead of
	// waiting for its backoff to end.
	SignReturned SignKind = 3
)

// String returns the kind's name for logs and tests.
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

// Sign is what one VM reports to the others about a server.
type Sign struct {
	Addr        string
	Incarnation uint64
	Kind        SignKind
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	// Publish: the server's status has changed and is to be published.
	Publish ActionKind = iota
	// Probe: send a probe to the server's load endpoint and step with the outcome.
	Probe
	// SendSign: send the action's Sign to the other VMs.
	SendSign
)

// Action is a request to the caller. Sign is set for SendSign.
type Action struct {
	Kind ActionKind
	ID   view.ServerID
	Sign Sign
}

// Status is the state of a server with the reason for it.
type Status struct {
	State       view.State
	Why         string
	Incarnation uint64
	// Weight is the share of a full server's load to send to it, from 0 to 1.
	Weight float32
}
