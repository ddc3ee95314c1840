package member

import "time"

// maxTickDelay is how late a Tick may be without counting as a pause of the process.
const maxTickDelay = 250 * time.Millisecond

// advance moves the clock. An event later than the next wake-up explains means that this process
// was paused: replies may wait unread, so deadlines that passed during the pause do not count.
// After a long pause other VMs may have declared this VM gone and acted on it, and its own table is
// stale, so it joins again.
func (ma *Machine) advance(now time.Duration, ev Event) {
	due := ma.Wake()
	ma.now = max(ma.now, now)
	ma.urgentLimit.refill(ma.now)
	pause := ma.now - due
	if tick, ok := ev.(Tick); ok {
		pause = max(pause, tick.Suspended)
	}
	switch {
	case pause >= ma.cfg.RejoinAfter:
		ma.rejoin(pause)
	case pause > maxTickDelay:
		ma.extendDeadlines(pause)
	}
}

// extendDeadlines postpones all deadlines by the length of the pause.
func (ma *Machine) extendDeadlines(pause time.Duration) {
	for id, ex := range ma.exchanges {
		ex.deadline += pause
		ma.exchanges[id] = ex
	}
	for _, pb := range ma.probings {
		pb.deadline += pause
		pb.retry += pause
	}
	ma.lastAnswer += pause
}

// rejoin starts over under a new incarnation. It discards everything pending: queued updates,
// suspicions and exchanges.
func (ma *Machine) rejoin(pause time.Duration) {
	next := ma.self.Member
	next.Incarnation++
	next.Count = 0
	next.Gone = false
	ma.resetState()
	ma.setOwnState(next)
	ma.emit(Resumed{Pause: pause, Incarnation: next.Incarnation})
}

// resetState discards exchanges, probes, queues and the progress of the join.
func (ma *Machine) resetState() {
	clear(ma.exchanges)
	clear(ma.probings)
	ma.updates.Clear()
	clear(ma.relays)
	ma.relaysVersion = 0
	ma.joining = true
	ma.joinAnswered = false
	ma.joinStarted = ma.now
	ma.joinAfterPause = true
	ma.joinCursor = ""
	clear(ma.diffs)
	ma.lastAnswer = ma.now
	ma.nextBeat = ma.now
	ma.nextContact = ma.now
	for _, dc := range ma.table.dcs {
		if dc.name != ma.self.DataCentre {
			dc.lastHeard = neverHeard
		}
	}
}

// setOwnState sets this VM's state to a new incarnation or a refutation, and queues it as an
// update.
func (ma *Machine) setOwnState(next Member) {
	before := ma.self.State()
	ma.table.set(ma.now, ma.self, next)
	ma.enqueueUpdate(next)
	if next.State() != before {
		ma.emit(Changed{Member: next, Before: before})
	}
}

// checkOwnState reacts to a state of this VM that others spread: it refutes a suspicion, and takes
// a higher incarnation if the state cannot be refuted otherwise.
func (ma *Machine) checkOwnState(mb Member) {
	self := ma.self.Member
	switch {
	case mb.Incarnation < self.Incarnation:
		return
	case mb.Incarnation > self.Incarnation, mb.Gone && !self.Gone, mb.Leaving && !self.Leaving:
		// Either others have declared this process gone or leaving, or an earlier process at this
		// address had a clock ahead of this VM's. In both cases only a higher incarnation overrides
		// the state.
		self.Incarnation = mb.Incarnation + 1
		self.Count = 0
		ma.setOwnState(self)
	case mb.suspected() && mb.Count > self.Count:
		ma.setOwnState(self.WithRefutation(mb.Count))
	}
}

// endJoin ends the join by timeout, when nobody has answered or when it takes too long.
func (ma *Machine) endJoin() {
	if ma.joining && !ma.joinAnswered && ma.now-ma.joinStarted >= joinUnansweredTimeout {
		ma.joining = false
	}
	if ma.joining && ma.now-ma.joinStarted >= joinTimeout {
		ma.joining = false
	}
}

const (
	// joinUnansweredTimeout is the time without any answer after which a joining VM assumes that it
	// is the first of its data centre. The listed candidates have been contacted by then.
	joinUnansweredTimeout = 3 * time.Second
	// joinTimeout ends a join that message loss delays; the digest repair fetches the rest.
	joinTimeout = 10 * time.Second
)
