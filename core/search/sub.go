package search

import (
	"time"

	"laburnumvane/core/view"
)

// subState is the state of one sub-request.
type subState uint8

const (
	// subOpen: sent, and neither ended nor cancelled.
	subOpen subState = iota + 1
	// subAnswered: the server replied.
	subAnswered
	// subNotRun: refused by the server, or no byte left this VM.
	subNotRun
	// subMayHaveRun: failed after it was sent, or cancelled. It may have run,
	// and no reply will be used.
	subMayHaveRun
)

// noIndex marks the end of a linked list of indexes.
const noIndex = -1

// sub is one sub-request.
type sub struct {
	started time.Duration
	server  view.ServerID
	shard   int32
	// previous is the index of the previous attempt on the same shard, or
	// noIndex.
	previous int32
	state    subState
	// afterRestart is set if it was sent after a restart.
	afterRestart bool
}

// shard is the progress of one shard of the pinned snapshot.
type shard struct {
	// started is when the shard last began to wait: for its first open
	// attempt, a hedge, or a token for one.
	started time.Duration
	// last is the index of the newest attempt; it is valid if attempts is not
	// 0.
	last int32
	// prev and next are the neighbours in the hedge queue.
	prev, next int32
	attempts   uint16
	open       uint16
	// mayHaveRun counts the attempts that ran or may have run.
	mayHaveRun uint16
	// retries counts the retries after attempts that may have cost work.
	retries  uint16
	done     bool
	queued   bool
	deferred bool
}

// send picks a server for a shard and sends to it. It returns false if there is
// no server or not enough time.
func (mc *Machine) send(now time.Duration, i int, at Attempt, reason string) bool {
	if mc.cfg.HardDeadline-now < mc.cfg.MinTimeLeft {
		mc.setReasonIfNone(ReasonDeadline)
		return false
	}
	server, ok := mc.choose(i, at)
	if !ok {
		mc.setReasonIfNone(ReasonNoReplica)
		return false
	}
	mc.recordSub(now, i, server)
	mc.countAttempt(at)
	mc.actions = append(mc.actions, Action{
		Kind:     ActSend,
		Sub:      SubID{Search: mc.cfg.ID, Attempt: uint32(len(mc.subs) - 1)},
		Server:   server,
		Shard:    i,
		Snapshot: mc.snapshot.Version,
		Deadline: mc.cfg.HardDeadline,
		Attempt:  at,
		Reason:   reason,
	})
	return true
}

// choose picks a server not yet asked for the shard. If there is none, a retry may
// return to a server whose reply was lost: what failed is the connection, and a
// new connection may work even if all the old ones are dead.
func (mc *Machine) choose(i int, at Attempt) (view.ServerID, bool) {
	replicas := mc.snapshot.Replicas[i]
	server, ok := mc.cfg.Chooser.Pick(replicas, mc.serversAsked(i, false))
	if ok || at != AttemptRetry {
		return server, ok
	}
	return mc.cfg.Chooser.Pick(replicas, mc.serversAsked(i, true))
}

// serversAsked returns the servers asked for a shard under the pinned snapshot and
// those with an open sub-request for it. With exceptLost it leaves out those whose
// reply was lost. A server whose attempt under the former snapshot has ended may
// be asked again: that it lacked that snapshot says nothing about this one.
func (mc *Machine) serversAsked(i int, exceptLost bool) []view.ServerID {
	mc.tried = mc.tried[:0]
	sh := &mc.shards[i]
	if sh.attempts == 0 {
		return mc.tried
	}
	for k := sh.last; k != noIndex; k = mc.subs[k].previous {
		sb := &mc.subs[k]
		if sb.afterRestart != mc.restarted && sb.state != subOpen {
			continue
		}
		if exceptLost && sb.state == subMayHaveRun {
			continue
		}
		mc.tried = append(mc.tried, sb.server)
	}
	return mc.tried
}

// recordSub adds a sub-request that is about to be sent.
func (mc *Machine) recordSub(now time.Duration, i int, server view.ServerID) {
	sh := &mc.shards[i]
	previous := int32(noIndex)
	if sh.attempts > 0 {
		previous = sh.last
	}
	mc.subs = append(mc.subs, sub{
		started:      now,
		server:       server,
		shard:        int32(i),
		previous:     previous,
		state:        subOpen,
		afterRestart: mc.restarted,
	})
	sh.last = int32(len(mc.subs) - 1)
	sh.attempts++
	sh.mayHaveRun++
	sh.open++
	mc.mayHaveRun++
	mc.open++
	if sh.open == 1 {
		sh.started = now
		mc.active++
		mc.enqueue(i)
	}
}

func (mc *Machine) countAttempt(at Attempt) {
	switch at {
	case AttemptPrimary:
		mc.primaries++
	case AttemptHedge:
		mc.hedges++
	case AttemptRetry:
		mc.retries++
	}
}

// endSub ends an open sub-request and returns it. It returns nil if there is none
// with that ID, as for a duplicate or late event, or one of another search.
func (mc *Machine) endSub(id SubID, st subState) *sub {
	if id.Search != mc.cfg.ID || uint64(id.Attempt) >= uint64(len(mc.subs)) {
		return nil
	}
	sb := &mc.subs[id.Attempt]
	if sb.state != subOpen {
		return nil
	}
	mc.markEnded(sb, st)
	return sb
}

// markEnded sets the final state of an open sub-request and updates the counts.
// It still counts as one that may have run unless st is subNotRun.
func (mc *Machine) markEnded(sb *sub, st subState) {
	sb.state = st
	mc.open--
	sh := &mc.shards[sb.shard]
	sh.open--
	if st == subNotRun {
		sh.mayHaveRun--
		mc.mayHaveRun--
	}
	if sh.open == 0 {
		mc.active--
		mc.dequeue(int(sb.shard))
	}
}

// cancelShard cancels the open sub-requests of one shard.
func (mc *Machine) cancelShard(i int) {
	sh := &mc.shards[i]
	for k := sh.last; sh.open > 0; k = mc.subs[k].previous {
		mc.cancelSub(k)
	}
}

func (mc *Machine) cancelAll() {
	for i := range mc.shards {
		if mc.open == 0 {
			return
		}
		mc.cancelShard(i)
	}
}

func (mc *Machine) cancelSub(k int32) {
	sb := &mc.subs[k]
	if sb.state != subOpen {
		return
	}
	mc.markEnded(sb, subMayHaveRun)
	mc.actions = append(mc.actions, Action{
		Kind:    ActCancel,
		Sub:     SubID{Search: mc.cfg.ID, Attempt: uint32(k)},
		Server:  sb.server,
		Shard:   int(sb.shard),
		Started: sb.started,
	})
}
