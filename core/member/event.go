package member

import "time"

// Event is an input of Machine.Step; only the types below and SendNow implement it.
type Event interface {
	apply(ma *Machine)
}

// Tick is due at the time given by Wake. A late Tick shows that this process was paused.
type Tick struct {
	// Suspended is the length of a pause that the monotonic clock does not show, such as a suspension
	// of the whole VM together with its clocks.
	Suspended time.Duration
}

// Listed carries the platform's current VM list. Incarnations in it are ignored.
type Listed struct {
	VMs []VM
}

// Received carries a beat from another VM; Tag is returned in the Reply.
type Received struct {
	Tag     uint64
	Message Message
}

// Answered carries the reply to a Send.
type Answered struct {
	Exchange uint64
	Message  Message
}

// Failed reports that a Send or an Ask failed, so that the machine need not wait for the timeout.
type Failed struct {
	Exchange uint64
}

// HelpRequested carries another VM's request to probe Target; Tag is returned in HelpReply.
type HelpRequested struct {
	Tag    uint64
	Target Member
}

// HelpDone carries the reply to an Ask.
type HelpDone struct {
	Exchange uint64
	Reached  bool
	// Target is the state that the target reported of itself to the helper.
	Target Member
}

// Leave starts the planned stop of this VM.
type Leave struct{}

// Quit is the last event, sent when this process ends. Later events are ignored.
type Quit struct{}

// Action is an output of Machine.Step, to be carried out by the caller; only the types below
// implement it.
type Action interface {
	action()
}

// Send requests that a beat be sent to a VM. The caller then passes Answered or Failed with the
// same Exchange.
type Send struct {
	Exchange uint64
	To       VM
	Message  Message
}

// Ask requests that Helper be asked to probe Target. The caller then passes HelpDone or Failed with
// the same Exchange.
type Ask struct {
	Exchange uint64
	Helper   VM
	Target   Member
}

// Reply is the reply to a Received.
type Reply struct {
	Tag     uint64
	Message Message
}

// HelpReply is the reply to a HelpRequested. Target is set if it was reached.
type HelpReply struct {
	Tag     uint64
	Reached bool
	Target  Member
}

// Changed reports that the state of a VM changed; Before is the previous state.
type Changed struct {
	Member Member
	Before State
}

// Resumed reports that this process was paused for so long that it joins again under a new
// incarnation. The caller must not act on membership data from before the pause.
type Resumed struct {
	Pause       time.Duration
	Incarnation uint64
}

func (Send) action()      {}
func (Ask) action()       {}
func (Reply) action()     {}
func (HelpReply) action() {}
func (Changed) action()   {}
func (Resumed) action()   {}
