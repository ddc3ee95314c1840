package spread

import (
	"time"

	"laburnumvane/core/rank"
)

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// CallID identifies a call, so that its answer can be matched with it.
type CallID uint64

// Tick reports that the time returned by Next has come.
type Tick struct{}

// Members replaces the list of VMs.
type Members struct{ VMs []rank.VM }

// Ranged answers a Range with all values that the service holds, as of its revision.
type Ranged struct {
	Call     CallID
	Revision uint64
	Updates  []Update
	Broken   []Undecodable
}

// Undecodable is a team's value in the service that cannot be decoded.
type Undecodable struct {
	Team string
	Err  error
}

// Watched answers a Watch. Compacted is set if the service no longer has the events asked for.
type Watched struct {
	Call      CallID
	Revision  uint64
	Updates   []Update
	Broken    []Undecodable
	Compacted bool
}

// Failed reports that a call got no answer.
type Failed struct{ Call CallID }

// Pushed delivers updates that another VM pushed.
type Pushed struct {
	From    rank.VM
	Updates []Update
}

// Acked acknowledges a Push.
type Acked struct{ Call CallID }

// PeerDigest delivers a peer's digest, which came with a Compare of that peer or on a heartbeat.
type PeerDigest struct {
	From   rank.VM
	Digest Digest
}

// Compared answers a Compare with the peer's digest.
type Compared struct {
	Call   CallID
	Digest Digest
}

// Pulled answers a Pull. More is set if the peer had to truncate its answer.
type Pulled struct {
	Call    CallID
	Updates []Update
	More    bool
}

// Accepted delivers a change that this VM has just written to the service.
type Accepted struct{ Update Update }

func (Tick) isEvent()       {}
func (Members) isEvent()    {}
func (Ranged) isEvent()     {}
func (Watched) isEvent()    {}
func (Failed) isEvent()     {}
func (Pushed) isEvent()     {}
func (Acked) isEvent()      {}
func (PeerDigest) isEvent() {}
func (Compared) isEvent()   {}
func (Pulled) isEvent()     {}
func (Accepted) isEvent()   {}

// Action is an output of Machine.Step, for the caller to carry out.
type Action interface{ isAction() }

// Range reads the values of all teams from the service.
type Range struct{ Call CallID }

// Watch waits for changes after a revision of the service.
type Watch struct {
	Call CallID
	From uint64
	Wait time.Duration
}

// Abandon cancels a call whose answer is no longer needed.
type Abandon struct{ Call CallID }

// Push sends an update to another VM.
type Push struct {
	Call   CallID
	To     rank.VM
	Update Update
}

// Compare sends this VM's digest to a peer and asks for the peer's digest.
type Compare struct {
	Call   CallID
	To     rank.VM
	Digest Digest
}

// Pull asks a peer for all updates that are newer than what this VM holds.
type Pull struct {
	Call CallID
	To   rank.VM
	Held []Revision
}

// Apply puts an update in force. The revisions of a team only increase.
type Apply struct{ Update Update }

// Restore writes a change that the service has lost back to it, by compare-and-swap and only if
// the service still holds a lower revision.
type Restore struct{ Update Update }

// Alarm reports a state that needs an operator. It holds until an Alarm with the same kind and
// team and with Raised false.
type Alarm struct {
	Kind   AlarmKind
	Team   string
	Text   string
	Raised bool
}

// AlarmKind is the kind of an alarm.
type AlarmKind string

// Kinds of alarms.
const (
	// AlarmUnreadable means that this build cannot read a document; the previous one stays in
	// force.
	AlarmUnreadable AlarmKind = "unreadable"
	// AlarmBroken means that a value in the service is not a configuration.
	AlarmBroken AlarmKind = "broken"
	// AlarmServiceBehind means that the service holds a lower revision than the fleet.
	AlarmServiceBehind AlarmKind = "serviceBehind"
	// AlarmServiceDown means that several calls to the service in a row failed.
	AlarmServiceDown AlarmKind = "serviceDown"
	// AlarmServicePast means that the service's own revision decreased.
	AlarmServicePast AlarmKind = "servicePast"
	// AlarmSameRevision means that two changes of one team have the same revision.
	AlarmSameRevision AlarmKind = "sameRevision"
)

func (Range) isAction()   {}
func (Watch) isAction()   {}
func (Abandon) isAction() {}
func (Push) isAction()    {}
func (Compare) isAction() {}
func (Pull) isAction()    {}
func (Apply) isAction()   {}
func (Restore) isAction() {}
func (Alarm) isAction()   {}
