package search

import "time"

func (mc *Machine) onReply(now time.Duration, ev Event) {
	sb := mc.close(ev.Sub, subAnswered)
	if sb == nil || mc.answered {
		return
	}
	i := int(sb.shard)
	gr := mc.groupFor(ev)
	if gr == nil || ev.Shard != i {
		// A reply for another shard than was asked, or under a map that
		// cannot be, is not ours to count; the server ran something.
		mc.retry(now, i, Event{Reason: ReasonWrongReply})
		return
	}
	gr.add(ev)
	if gr.whole() {
		mc.full = true
	}
	if gr == mc.pinned {
		mc.finish(i)
		return
	}
	mc.onOther(now, i, gr)
}

func (mc *Machine) finish(i int) {
	sh := &mc.shards[i]
	sh.done = true
	mc.cancel(i)
}

// onOther handles a reply under another version than the pinned one. While the
// pin is ahead the shard is asked again elsewhere. Once the newer version is
// ahead, asking again for the old one would be work for an answer that is on its
// way out: the search starts over, or waits with the shard until it is clear
// which version can be had.
func (mc *Machine) onOther(now time.Duration, i int, gr *group) {
	if gr.version > mc.pinned.version {
		mc.gone = true
		if !mc.cfg.Once && gr.answered > mc.pinned.answered {
			mc.fail(ReasonOtherSnapshot)
			if !mc.early(now) || !mc.restart(now) {
				mc.postpone(i)
			}
			return
		}
	}
	mc.retry(now, i, Event{Reason: ReasonOtherSnapshot})
}

func (mc *Machine) postpone(i int) {
	sh := &mc.shards[i]
	if sh.open > 0 || sh.deferred {
		return
	}
	sh.deferred = true
	mc.deferred++
}

// reask asks again for the shards that were put off; it tells whether any was.
func (mc *Machine) reask(now time.Duration) bool {
	if mc.deferred == 0 {
		return false
	}
	mc.deferred = 0
	before := mc.open
	for i := range mc.shards {
		if mc.shards[i].deferred {
			mc.shards[i].deferred = false
			mc.again(now, i, Event{Reason: ReasonOtherSnapshot})
		}
	}
	return mc.open > before
}
