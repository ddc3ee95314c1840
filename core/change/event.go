package change

import "time"

// Event is an input of Proposer.Step.
type Event interface{ isEvent() }

// Begin starts the machine; it is the first event and occurs once.
type Begin struct{}

// Tick reports that the time requested by a Wake has come.
type Tick struct{}

// Got is the successful answer to a Get.
type Got struct{ Pair Pair }

// GetFailed reports that a Get failed or got no answer.
type GetFailed struct{ Err error }

// Swapped is the answer to a Swap. Done is set if the value was written; Pair is the key's state
// afterwards.
type Swapped struct {
	Done bool
	Pair Pair
}

// SwapFailed reports that a Swap got no answer. MayHaveApplied is false only if it is certain that
// the service did not receive the swap.
type SwapFailed struct {
	MayHaveApplied bool
	Err            error
}

func (Begin) isEvent()      {}
func (Tick) isEvent()       {}
func (Got) isEvent()        {}
func (GetFailed) isEvent()  {}
func (Swapped) isEvent()    {}
func (SwapFailed) isEvent() {}

// Pair is a key's value in the service. Revision is the service's own revision of the key, 0 if the
// key does not exist; it is not the revision of the configuration.
type Pair struct {
	Value    []byte
	Revision uint64
}

// Action is an output of Proposer.Step.
type Action interface{ isAction() }

// Get requests a read of a key.
type Get struct{ Key string }

// Swap requests a write of a key, provided that the service's revision of it is still Expect.
type Swap struct {
	Key    string
	Value  []byte
	Expect uint64
}

// Wake requests a Tick at the given time.
type Wake struct{ At time.Duration }

// Report is the last action and carries the outcome.
type Report struct{ Outcome Outcome }

func (Get) isAction()    {}
func (Swap) isAction()   {}
func (Wake) isAction()   {}
func (Report) isAction() {}

// Result is the result of a proposed change.
type Result string

// Results of a change.
const (
	// ResultAccepted: the change has taken effect, once.
	ResultAccepted Result = "accepted"
	// ResultConflict: it has not taken effect and will not, because of another change.
	ResultConflict Result = "conflict"
	// ResultUnknown: it cannot be determined yet; the id can be queried later.
	ResultUnknown Result = "unknown"
	// ResultRefused: it has not taken effect and will not, for instance because it was invalid or
	// the service did not answer.
	ResultRefused Result = "refused"
	// ResultDryRun: it would have been proposed; nothing was written.
	ResultDryRun Result = "dryRun"
)

// Outcome is the result of a proposal with its details.
type Outcome struct {
	Result Result
	// Entry is the accepted change.
	Entry Entry
	// Current is the change in force instead, for ResultConflict; for a dry run it is the change
	// that would be replaced.
	Current Entry
	// ServiceBehind is set if the service's revision was lower than this VM's, as after a restore from
	// a backup.
	ServiceBehind bool
	// Swaps counts the swaps that were requested.
	Swaps int
	Err   error
}
