package search

import (
	"time"

	"laburnumvane/core/view"
)

// Machine takes one search from Start to its answer.
type Machine struct {
	cfg      Config
	snapshot view.Snapshot
	shards   []shard
	subs     []sub
	groups   []*group
	pinned   *group
	begun    time.Duration
	// active counts the shards with an attempt under way.
	active int
	// open counts the sub-requests under way.
	open int
	// ran counts the sub-requests that ran or may have run.
	ran int
	// deferred counts the shards that answered a newer version and wait for
	// the decision which version to go for.
	deferred int
	line     line
	// gone is set once a reply or refusal showed that the pin is being retired.
	gone      bool
	restarted bool
	full      bool
	answered  bool
	reason    string
	comeBack  time.Duration
	primaries int
	hedges    int
	retries   int
	wake      time.Duration
	tried     []view.ServerID
	actions   []Action
}

// spareRoom is the share of extra sub-requests, one in spareRoom, for which a
// search makes room beforehand.
const spareRoom = 8

// New makes the machine of one search; it does nothing until Start.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg}
}

// Start sends the primaries.
func (mc *Machine) Start(now time.Duration) []Action {
	sn := mc.cfg.Snapshot
	mc.begun = now
	mc.snapshot = sn
	mc.shards = make([]shard, sn.Shards())
	mc.subs = make([]sub, 0, sn.Shards()+sn.Shards()/spareRoom+1)
	mc.actions = make([]Action, 0, sn.Shards()+2)
	mc.pin(sn.Version, sn.Shards())
	for i := range mc.shards {
		mc.send(now, i, AttemptPrimary, "")
	}
	mc.cfg.RetryBudget.Earn(mc.primaries)
	mc.cfg.HedgeBudget.Earn(mc.primaries)
	mc.settle(now)
	return mc.actions
}

// Step takes one event. Events that match no sub-request are dropped.
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
		// The time itself is the event; settle looks at it. A timer that
		// fired early has to be set again.
		mc.wake = 0
	}
	mc.settle(now)
	return mc.actions
}

// Settled tells whether every sub-request was answered, refused, failed or
// cancelled.
func (mc *Machine) Settled() bool {
	return mc.open == 0
}

func (mc *Machine) onCancel(now time.Duration) {
	if mc.answered {
		return
	}
	mc.fail(ReasonCancelled)
	mc.answer(now)
}

// fail keeps the latest reason for an answer that will not be complete.
func (mc *Machine) fail(reason string) {
	mc.reason = reason
}

// excuse keeps a reason that only says why a failure was not mended: the
// failure itself tells the caller more.
func (mc *Machine) excuse(reason string) {
	if mc.reason == "" {
		mc.reason = reason
	}
}
