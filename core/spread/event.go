package spread

import (
	"time"

	"laburnumvane/core/rank"
)

// Event is what a Machine is stepped with.
type Event interface{ isEvent() }

// Call matches an answer with its question.
type Call uint64

// Tick tells that Next has come.
type Tick struct{}

// Members brings the list of VMs.
type Members struct{ VMs []rank.VM }

// Ranged answers a Range with all that the service holds, at its revision.
type Ranged struct {
	Call     Call
	Revision uint64
	Updates  []Update
	Broken   []Broken
}

// Broken is a team's value that cannot be read.
type Broken struct {
	Team string
	Err  error
}

// Watched answers a Watch.
type Watched struct {
	Call      Call
	Revision  uint64
	Updates   []Update
	Broken    []Broken
	Compacted bool
}

// Failed tells that a call got no answer.
type Failed struct{ Call Call }

// Pushed brings what another VM sent without being asked.
type Pushed struct {
	From    rank.VM
	Updates []Update
}

// Acked answers a Push.
type Acked struct{ Call Call }

// Beat brings a peer's digest, from a Compare of theirs or on a heartbeat.
type Beat struct {
	From   rank.VM
	Digest Digest
}

// Compared answers a Compare.
type Compared struct {
	Call   Call
	Digest Digest
}

// Pulled answers a Pull. More is set if the peer had to cut its answer.
type Pulled struct {
	Call    Call
	Updates []Update
	More    bool
}

// Accepted brings a change that this VM has just carried to the service.
type Accepted struct{ Update Update }

func (Tick) isEvent()     {}
func (Members) isEvent()  {}
func (Ranged) isEvent()   {}
func (Watched) isEvent()  {}
func (Failed) isEvent()   {}
func (Pushed) isEvent()   {}
func (Acked) isEvent()    {}
func (Beat) isEvent()     {}
func (Compared) isEvent() {}
func (Pulled) isEvent()   {}
func (Accepted) isEvent() {}

// Action is what a Machine asks for.
type Action interface{ isAction() }

// Range reads all teams' values from the service.
type Range struct{ Call Call }

// Watch waits for changes after a revision of the service.
type Watch struct {
	Call Call
	From uint64
	Wait time.Duration
}

// Abandon ends a call whose answer is no longer waited for.
type Abandon struct{ Call Call }

// Push hands an update to another VM.
type Push struct {
	Call   Call
	To     rank.VM
	Update Update
}

// Compare tells a peer this VM's digest and asks for theirs.
type Compare struct {
	Call   Call
	To     rank.VM
	Digest Digest
}

// Pull asks a peer for all that is newer than what this VM holds.
type Pull struct {
	Call Call
	To   rank.VM
	Held []Revision
}

// Apply puts an update in force. For one team, revisions only rise.
type Apply struct{ Update Update }

// Restore gives the service back a change that it has lost, by compare-and-swap
// and only if it still holds a lower revision.
type Restore struct{ Update Update }

// Alarm tells operators of a state that needs them; it holds until an Alarm
// with the same kind and team and Raised false.
type Alarm struct {
	Kind   AlarmKind
	Team   string
	Text   string
	Raised bool
}

// AlarmKind names what an alarm is about.
type AlarmKind string

// Kinds of alarms.
const (
	// AlarmUnreadable: a document that this build cannot read; the one before
	// stays in force.
	AlarmUnreadable AlarmKind = "unreadable"
	// AlarmBroken: a value in the service that is no configuration.
	AlarmBroken AlarmKind = "broken"
	// AlarmServiceBehind: the service holds a lower revision than the fleet.
	AlarmServiceBehind AlarmKind = "serviceBehind"
	// AlarmServiceDown: the service has not answered for some calls in a row.
	AlarmServiceDown AlarmKind = "serviceDown"
	// AlarmServicePast: the service's own revision went down.
	AlarmServicePast AlarmKind = "servicePast"
	// AlarmSameRevision: two changes of one team share a revision.
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
