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
	// subAnswered: the server replied.
	subAnswered
	// subNotRun: refused by the server, or no byte left this VM.
	subNotRun
	// subDoubtful: it may have run, and no reply will be used.
	subDoubtful
)

// none ends a chain of indexes.
const none = -1

// sub is one sub-request.
type sub struct {
	started time.Duration
	server  view.ServerID
	shard   int32
	// before is the attempt before it on the same shard, or none.
	before int32
	state  subState
	// again is set if it was sent after a restart.
	again bool
}

// shard is the progress of one shard of the pinned snapshot.
type shard struct {
	started time.Duration
	// last is the newest attempt; it is valid if tries is not 0.
	last int32
	// prev and next are the neighbours in the line of those to be hedged.
	prev, next int32
	tries      uint16
	open       uint16
	// ran counts the attempts that ran or may have run.
	ran uint16
	// retries counts the attempts after one that may have cost work.
	retries  uint16
	done     bool
	lined    bool
	deferred bool
}

// send picks a server for a shard and sends; it tells whether there was one and
// time enough.
func (mc *Machine) send(now time.Duration, i int, at Attempt, reason string) bool {
	if mc.cfg.Hard-now < mc.cfg.LeastTime {
		mc.excuse(ReasonDeadline)
		return false
	}
	server, ok := mc.choose(i, at)
	if !ok {
		mc.excuse(ReasonNoReplica)
		return false
	}
	mc.record(now, i, server)
	mc.count(at)
	mc.actions = append(mc.actions, Action{
		Kind:     ActSend,
		Sub:      SubID{Search: mc.cfg.Number, Attempt: uint32(len(mc.subs) - 1)},
		Server:   server,
		Shard:    i,
		Snapshot: mc.snapshot.Version,
		Deadline: mc.cfg.Hard,
		Attempt:  at,
		Reason:   reason,
	})
	return true
}

// choose picks a server not asked yet for the shard. Where none is left a retry
// may go back to one whose reply was lost: it is the connection that failed, and
// a new one may work while all the old ones are dead.
func (mc *Machine) choose(i int, at Attempt) (view.ServerID, bool) {
	replicas := mc.snapshot.Replicas[i]
	server, ok := mc.cfg.Chooser.Pick(replicas, mc.asked(i, false))
	if ok || at != AttemptRetry {
		return server, ok
	}
	return mc.cfg.Chooser.Pick(replicas, mc.asked(i, true))
}

// asked lists the servers asked for a shard under the snapshot in force, and
// those still at work on it; but for those of which a reply was lost, if so
// wished. One that ended its attempt under another snapshot may be asked again:
// that it lacked the other says nothing about this one.
func (mc *Machine) asked(i int, butLost bool) []view.ServerID {
	mc.tried = mc.tried[:0]
	sh := &mc.shards[i]
	if sh.tries == 0 {
		return mc.tried
	}
	for k := sh.last; k != none; k = mc.subs[k].before {
		sb := &mc.subs[k]
		if sb.again != mc.restarted && sb.state != subOpen {
			continue
		}
		if butLost && sb.state == subDoubtful {
			continue
		}
		mc.tried = append(mc.tried, sb.server)
	}
	return mc.tried
}

// record enters a sub-request that is being sent.
func (mc *Machine) record(now time.Duration, i int, server view.ServerID) {
	sh := &mc.shards[i]
	before := int32(none)
	if sh.tries > 0 {
		before = sh.last
	}
	mc.subs = append(mc.subs, sub{
		started: now,
		server:  server,
		shard:   int32(i),
		before:  before,
		state:   subOpen,
		again:   mc.restarted,
	})
	sh.last = int32(len(mc.subs) - 1)
	sh.tries++
	sh.ran++
	sh.open++
	mc.ran++
	mc.open++
	if sh.open == 1 {
		sh.started = now
		mc.active++
		mc.enqueue(i)
	}
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
	if id.Search != mc.cfg.Number || uint64(id.Attempt) >= uint64(len(mc.subs)) {
		return nil
	}
	sb := &mc.subs[id.Attempt]
	if sb.state != subOpen {
		return nil
	}
	mc.shut(sb, st)
	return sb
}

// shut takes an open sub-request out of all counts but those of what ran.
func (mc *Machine) shut(sb *sub, st subState) {
	sb.state = st
	mc.open--
	sh := &mc.shards[sb.shard]
	sh.open--
	if st == subNotRun {
		sh.ran--
		mc.ran--
	}
	if sh.open == 0 {
		mc.active--
		mc.dequeue(int(sb.shard))
	}
}

// cancel gives up the open attempts of one shard.
func (mc *Machine) cancel(i int) {
	sh := &mc.shards[i]
	for k := sh.last; sh.open > 0; k = mc.subs[k].before {
		mc.giveUp(k)
	}
}

func (mc *Machine) cancelAll() {
	for i := range mc.shards {
		if mc.open == 0 {
			return
		}
		mc.cancel(i)
	}
}

func (mc *Machine) giveUp(k int32) {
	sb := &mc.subs[k]
	if sb.state != subOpen {
		return
	}
	mc.shut(sb, subDoubtful)
	mc.actions = append(mc.actions, Action{
		Kind:    ActCancel,
		Sub:     SubID{Search: mc.cfg.Number, Attempt: uint32(k)},
		Server:  sb.server,
		Shard:   int(sb.shard),
		Started: sb.started,
	})
}
