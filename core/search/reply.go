package search

import "time"

func (mc *Machine) onReply(now time.Duration, ev Event) {
	sb := mc.endSub(ev.Sub, subAnswered)
	if sb == nil || mc.answered {
		return
	}
	i := int(sb.shard)
	gr := mc.groupFor(ev)
	if gr == nil || ev.Shard != i {
		// A reply for another shard than requested, or with an impossible
		// map, is not counted. The server did run something, so that the
		// retry needs a token.
		mc.retry(now, i, Event{Reason: ReasonWrongReply})
		return
	}
	gr.add(ev)
	if gr.complete() {
		mc.groupComplete = true
	}
	if gr == mc.pinned {
		mc.finishShard(i)
		return
	}
	mc.onOtherVersion(now, i, gr)
}

func (mc *Machine) finishShard(i int) {
	sh := &mc.shards[i]
	sh.done = true
	mc.cancelShard(i)
}

// onOtherVersion handles a reply under another version than the pinned one.
// While the pinned version has at least as many replies, the shard is retried on
// another server. Once a newer version has more, retrying for the old one would
// probably be wasted: the search restarts, or defers the shard until it is clear
// which version can be completed.
func (mc *Machine) onOtherVersion(now time.Duration, i int, gr *group) {
	if gr.version > mc.pinned.version {
		mc.pinRetired = true
		if !mc.cfg.AtMostOnce && gr.answered > mc.pinned.answered {
			mc.setReason(ReasonOtherSnapshot)
			if !mc.mayRestartEarly(now) || !mc.restart(now) {
				mc.deferShard(i)
			}
			return
		}
	}
	mc.retry(now, i, Event{Reason: ReasonOtherSnapshot})
}

func (mc *Machine) deferShard(i int) {
	sh := &mc.shards[i]
	if sh.open > 0 || sh.deferred {
		return
	}
	sh.deferred = true
	mc.deferred++
}

// retryDeferred retries the deferred shards and reports whether anything was
// sent.
func (mc *Machine) retryDeferred(now time.Duration) bool {
	if mc.deferred == 0 {
		return false
	}
	mc.deferred = 0
	before := mc.open
	for i := range mc.shards {
		if mc.shards[i].deferred {
			mc.shards[i].deferred = false
			mc.retryIfAllowed(now, i, Event{Reason: ReasonOtherSnapshot})
		}
	}
	return mc.open > before
}
