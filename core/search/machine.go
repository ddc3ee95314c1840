package search

import (
	"time"

	"laburnumvane/core/view"
)

// Machine is the state of one search. It is not safe for concurrent use.
type Machine struct {
	cfg      Config
	snapshot view.Snapshot
	shards   []shard
	subs     []sub
	groups   []*group
	pinned   *group
	started  time.Duration
	// active counts the shards with an open sub-request.
	active int
	// open counts the sub-requests that have not ended.
	open int
	// mayHaveRun counts the sub-requests that ran or may have run.
	mayHaveRun int
	// deferred counts the shards that answered with a newer version and are
	// not retried until it is decided which version the search is to use.
	deferred   int
	hedgeQueue hedgeQueue
	// pinRetired is set once a reply or refusal showed that servers are
	// dropping the pinned snapshot.
	pinRetired bool
	restarted  bool
	// groupComplete is set once a group has the replies of all its shards.
	groupComplete bool
	answered      bool
	reason        string
	// retryAt is the latest time before which a server asked not to be retried.
	retryAt   time.Duration
	primaries int
	hedges    int
	retries   int
	// wake is the time that the timer is set to; 0 if it is not set.
	wake time.Duration
	// tried is the buffer of serversAsked.
	tried   []view.ServerID
	actions []Action
}

// headroomDivisor sets the capacity that a search allocates for hedges and
// retries: one for every headroomDivisor shards.
const headroomDivisor = 8

// New returns the machine of one search; it does nothing until Start.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg}
}

// Start sends the primary sub-request of each shard.
func (mc *Machine) Start(now time.Duration) []Action {
	sn := mc.cfg.Snapshot
	mc.started = now
	mc.snapshot = sn
	mc.shards = make([]shard, sn.Shards())
	mc.subs = make([]sub, 0, sn.Shards()+sn.Shards()/headroomDivisor+1)
	mc.actions = make([]Action, 0, sn.Shards()+2)
	mc.pin(sn.Version, sn.Shards())
	for i := range mc.shards {
		mc.send(now, i, AttemptPrimary, "")
	}
	mc.cfg.RetryBudget.Earn(mc.primaries)
	mc.cfg.HedgeBudget.Earn(mc.primaries)
	mc.advance(now)
	return mc.actions
}

// Step processes one event. Events that match no open sub-request are ignored.
func (mc *Machine) Step(now time.Duration, ev Event) []Action {
	mc.actions = mc.actions[:0]
	switch ev.Kind {
	case EvReply:
		mc.onReply(now, ev)
	case EvRefused:
		mc.onRefused(now, ev)
	case EvFailed:
		mc.onFailed(now, ev)
	case EvCancel:
		mc.onCancel(now)
	case EvWake:
		// advance compares the time with the deadlines. The timer has to be
		// set again even if it fired early.
		mc.wake = 0
	}
	mc.advance(now)
	return mc.actions
}

// Settled reports whether every sub-request was answered, refused, failed or
// cancelled.
func (mc *Machine) Settled() bool {
	return mc.open == 0
}

func (mc *Machine) onCancel(now time.Duration) {
	if mc.answered {
		return
	}
	mc.setReason(ReasonCancelled)
	mc.answer(now)
}

// setReason sets the reason for an answer that is not complete; the latest one is
// used.
func (mc *Machine) setReason(reason string) {
	mc.reason = reason
}

// setReasonIfNone sets a reason that only explains why there was no retry. The
// reason of the failure itself is more useful to the caller and takes precedence.
func (mc *Machine) setReasonIfNone(reason string) {
	if mc.reason == "" {
		mc.reason = reason
	}
}
