package member

import "time"

// Event is something that happened. The types below are all there are.
type Event interface {
	apply(ma *Machine)
}

// Tick is due at Wake. Later ones are noticed: they show that this process was
// paused.
type Tick struct {
	// Slept is a pause that the monotonic clock does not show, as when the
	// whole VM was stopped and its clocks with it.
	Slept time.Duration
}

// Listed brings the platform's VM list. Incarnations in it are ignored.
type Listed struct {
	VMs []VM
}

// Received brings a beat of another VM; Tag returns with the Reply.
type Received struct {
	Tag     uint64
	Message Message
}

// Answered brings the answer to a Send.
type Answered struct {
	Exchange uint64
	Message  Message
}

// Failed tells that a Send or an Ask came to nothing, so that no time is lost on
// waiting for it.
type Failed struct {
	Exchange uint64
}

// HelpAsked brings another VM's wish that this one tries Target; Tag returns
// with Helped.
type HelpAsked struct {
	Tag    uint64
	Target Member
}

// HelpDone brings the answer to an Ask.
type HelpDone struct {
	Exchange uint64
	Reached  bool
	// Target is what the helper heard from the target itself.
	Target Member
}

// Leave begins this VM's planned stop.
type Leave struct{}

// Quit is the last event: this process ends.
type Quit struct{}

// Action is something to be done. The types below are all there are.
type Action interface {
	action()
}

// Send asks for a beat to a VM.
type Send struct {
	Exchange uint64
	To       VM
	Message  Message
}

// Ask asks for a VM's help to reach another.
type Ask struct {
	Exchange uint64
	Helper   VM
	Target   Member
}

// Reply answers a Received.
type Reply struct {
	Tag     uint64
	Message Message
}

// Helped answers a HelpAsked.
type Helped struct {
	Tag     uint64
	Reached bool
	Target  Member
}

// Changed tells that a VM's state is another.
type Changed struct {
	Member Member
	Before State
}

// Woke tells that this process was paused, for how long, and whether it had to
// take a new incarnation. What it learned before is not to be acted on.
type Woke struct {
	Pause       time.Duration
	Incarnation uint64
}

func (Send) action()    {}
func (Ask) action()     {}
func (Reply) action()   {}
func (Helped) action()  {}
func (Changed) action() {}
func (Woke) action()    {}
