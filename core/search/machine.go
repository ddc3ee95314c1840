package search

import (
	"time"

	"laburnumvane/core/view"
)

// subState is what is known of one sub-request.
type subState uint8

const (
	// subOpen: sent, no word yet.
	subOpen subState = iota + 1
	// subAnswered: the server replied with hits.
	subAnswered
	// subNotRun: refused by the server, or no byte left this VM.
	subNotRun
	// subDoubtful: it may have run, and no reply will be used.
	subDoubtful
)

// sub is one sub-request.
type sub struct {
	shard   int
	server  view.ServerID
	started time.Duration
	state   subState
	// spare marks a hedge or retry.
	spare bool
	// epoch is the snapshot attempt it belongs to: 0, or 1 after a restart.
	epoch uint8
}

// shard is the progress of one shard of the pinned snapshot.
type shard struct {
	done    bool
	given   bool
	open    int
	tries   int
	started time.Duration
	hedged  bool
	tried   []view.ServerID
}

// Machine takes one search from Start to its answer.
type Machine struct {
	cfg       Config
	snapshot  view.Snapshot
	shards    []shard
	subs      []sub
	groups    []*group
	pinned    *group
	missing   int
	open      int
	epoch     uint8
	answered  bool
	reason    string
	gone      bool
	primaries int
	hedges    int
	retries   int
	wake      time.Duration
	actions   []Action
}

// New makes the machine of one search; it does nothing until Start.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg}
}

// Start sends the primaries.
func (mc *Machine) Start(now time.Duration) []Action {
	mc.actions = mc.actions[:0]
	mc.begin(now, mc.cfg.Snapshot)
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
		mc.fail(ReasonCancelled)
		mc.answer()
	case EvWake:
		// The time itself is the event; settle looks at it.
	}
	mc.settle(now)
	return mc.actions
}

// Settled tells whether every sub-request was answered, refused, failed or
// cancelled.
func (mc *Machine) Settled() bool {
	return mc.open == 0
}

func (mc *Machine) begin(now time.Duration, sn view.Snapshot) {
	mc.snapshot = sn
	mc.shards = make([]shard, sn.Shards())
	mc.missing = sn.Shards()
	mc.pinned = mc.groupOf(sn.Version, sn.Shards())
	mc.gone = false
	if mc.subs == nil {
		mc.subs = make([]sub, 0, sn.Shards()+sn.Shards()/8+1)
		mc.actions = make([]Action, 0, sn.Shards()+2)
	}
	tried := make([]view.ServerID, sn.Shards())
	for i := range mc.shards {
		mc.shards[i].tried = tried[i : i : i+1]
		mc.send(now, i, AttemptPrimary)
	}
	mc.cfg.RetryBudget.Earn(sn.Shards())
	mc.cfg.HedgeBudget.Earn(sn.Shards())
}

// send picks a server for a shard and sends; it tells whether there was one.
func (mc *Machine) send(now time.Duration, i int, at Attempt) bool {
	sh := &mc.shards[i]
	if mc.cfg.Hard-now < mc.cfg.LeastTime {
		mc.fail(ReasonDeadline)
		return false
	}
	server, ok := mc.cfg.Chooser.Pick(mc.snapshot.Replicas[i], sh.tried)
	if !ok {
		mc.fail(ReasonNoReplica)
		return false
	}
	sh.tried = append(sh.tried, server)
	sh.tries++
	sh.open++
	sh.started = now
	mc.open++
	mc.count(at)
	id := SubID{Search: mc.cfg.Number, Attempt: uint32(len(mc.subs))}
	mc.subs = append(mc.subs, sub{shard: i, server: server, started: now, state: subOpen, spare: at != AttemptPrimary, epoch: mc.epoch})
	mc.actions = append(mc.actions, Action{
		Kind:     ActSend,
		Sub:      id,
		Server:   server,
		Shard:    i,
		Snapshot: mc.snapshot.Version,
		Deadline: mc.cfg.Hard,
		Attempt:  at,
	})
	return true
}

func (mc *Machine) count(at Attempt) {
	switch at {
	case AttemptPrimary:
		mc.primaries++
	case AttemptHedge:
		mc.hedges++
	case AttemptRetry:
		mc.retries++
	}
}

// close settles an open sub-request and returns it; nil if there is none such,
// as for a duplicate, a late or a foreign event.
func (mc *Machine) close(id SubID, st subState) *sub {
	if id.Search != mc.cfg.Number || int(id.Attempt) >= len(mc.subs) {
		return nil
	}
	sb := &mc.subs[id.Attempt]
	if sb.state != subOpen {
		return nil
	}
	sb.state = st
	mc.open--
	if sb.epoch == mc.epoch {
		mc.shards[sb.shard].open--
	}
	return sb
}

func (mc *Machine) onReply(now time.Duration, ev Event) {
	sb := mc.close(ev.Sub, subAnswered)
	if sb == nil || mc.answered {
		return
	}
	if ev.Shard != sb.shard {
		// A reply for another shard than was asked is not ours to count.
		mc.fail("mismatch")
		return
	}
	gr := mc.groupOf(ev.Snapshot, ev.Shards)
	if gr == nil || !gr.add(ev) {
		return
	}
	if sb.epoch != mc.epoch {
		return
	}
	if gr == mc.pinned {
		mc.finish(sb.shard)
		return
	}
	// The wish was not honoured: another replica may still hold the pin.
	mc.gone = true
	mc.retry(now, sb.shard, "otherSnapshot")
}

func (mc *Machine) finish(i int) {
	sh := &mc.shards[i]
	sh.done = true
	mc.missing--
	if sh.open > 0 {
		mc.cancel(i)
	}
}

func (mc *Machine) onRefused(now time.Duration, ev Event) {
	sb := mc.close(ev.Sub, subNotRun)
	if sb == nil || mc.answered || sb.epoch != mc.epoch {
		return
	}
	if ev.SnapshotGone {
		mc.gone = true
	}
	mc.retry(now, sb.shard, ev.Reason)
}

func (mc *Machine) onFailed(now time.Duration, ev Event) {
	st := subNotRun
	if ev.Sent {
		st = subDoubtful
	}
	sb := mc.close(ev.Sub, st)
	if sb == nil || mc.answered || sb.epoch != mc.epoch {
		return
	}
	if ev.Sent && mc.cfg.Once {
		// It may have run: a second attempt could run it twice.
		mc.fail(ev.Reason)
		mc.shards[sb.shard].given = true
		return
	}
	mc.retry(now, sb.shard, ev.Reason)
}

// retry sends a shard's search again, or gives the shard up.
func (mc *Machine) retry(now time.Duration, i int, reason string) {
	sh := &mc.shards[i]
	if sh.done || sh.open > 0 {
		return
	}
	mc.fail(reason)
	sh.given = true
	if sh.tries > mc.cfg.RetryPerShard {
		return
	}
	if mc.cfg.Once && mc.ran(i) {
		return
	}
	if !mc.cfg.RetryBudget.Spend() {
		mc.fail("retryBudget")
		return
	}
	if !mc.send(now, i, AttemptRetry) {
		mc.cfg.RetryBudget.Refund()
		return
	}
	sh.given = false
}

// ran tells whether a sub-request of the shard ran or may have run.
func (mc *Machine) ran(i int) bool {
	for k := range mc.subs {
		sb := &mc.subs[k]
		if sb.shard == i && sb.epoch == mc.epoch && sb.state != subNotRun {
			return true
		}
	}
	return false
}

// groupOf finds or makes the group of a version; nil if a reply contradicts the
// shard count known for it.
func (mc *Machine) groupOf(version uint64, shards int) *group {
	for _, gr := range mc.groups {
		if gr.version == version {
			if gr.shards != shards {
				return nil
			}
			return gr
		}
	}
	gr := newGroup(version, shards, mc.cfg.HitLimit)
	mc.groups = append(mc.groups, gr)
	return gr
}

// fail keeps the latest reason for an answer that will not be complete.
func (mc *Machine) fail(reason string) {
	mc.reason = reason
}
