package change

import "time"

// Event is what a Proposer is stepped with.
type Event interface{ isEvent() }

// Begin starts the machine; it is the first event, and comes once.
type Begin struct{}

// Tick tells that time has passed, as a Wake asked for.
type Tick struct{}

// Got is the answer to a Get.
type Got struct{ Pair Pair }

// GetFailed tells that a Get got no answer.
type GetFailed struct{ Err error }

// Swapped is the answer to a Swap. Pair is what stands after it.
type Swapped struct {
	Done bool
	Pair Pair
}

// SwapFailed tells that a Swap got no answer. Doubtful is false only where it
// is certain that the service never saw it.
type SwapFailed struct {
	Doubtful bool
	Err      error
}

func (Begin) isEvent()      {}
func (Tick) isEvent()       {}
func (Got) isEvent()        {}
func (GetFailed) isEvent()  {}
func (Swapped) isEvent()    {}
func (SwapFailed) isEvent() {}

// Pair is a key's value in the service. Revision is the service's own count, 0
// where the key is absent; it is not the revision of the configuration.
type Pair struct {
	Value    []byte
	Revision uint64
}

// Action is what a Proposer asks for.
type Action interface{ isAction() }

// Get reads a key.
type Get struct{ Key string }

// Swap writes a key if the service's revision of it is still Expect.
type Swap struct {
	Key    string
	Value  []byte
	Expect uint64
}

// Wake asks for a Tick.
type Wake struct{ At time.Duration }

// Report ends the machine.
type Report struct{ Outcome Outcome }

func (Get) isAction()    {}
func (Swap) isAction()   {}
func (Wake) isAction()   {}
func (Report) isAction() {}

// Result is what became of a change.
type Result string

// Results of a change.
const (
	// ResultAccepted: the change has taken effect, once.
	ResultAccepted Result = "accepted"
	// ResultConflict: it has not and will not; another came first.
	ResultConflict Result = "conflict"
	// ResultUnknown: nobody can tell yet; the id can be asked about later.
	ResultUnknown Result = "unknown"
	// ResultRefused: it has not and will not; nothing was sent.
	ResultRefused Result = "refused"
	// ResultDryRun: it would have been proposed; nothing was sent.
	ResultDryRun Result = "dryRun"
)

// Outcome is how a proposal ended.
type Outcome struct {
	Result Result
	// Entry is the change as it was accepted.
	Entry Entry
	// Current is the change that stands instead, where Result is
	// ResultConflict; for a dry run it is the one that would be replaced.
	Current Entry
	// Behind is set if the service held a lower revision than the fleet.
	Behind bool
	// Swaps counts the swaps that were asked for.
	Swaps int
	Err   error
}
