package member

import "time"

// slack is how late a Tick may be before the time is taken for a pause.
const slack = 250 * time.Millisecond

// advance moves the clock. A gap beyond what the next wake explains means that
// this process stood still: answers may lie unread, so no deadline that passed
// meanwhile counts. After a long pause others may have declared this VM gone and
// acted on it, and what it knows of them is old.
func (ma *Machine) advance(now time.Duration, ev Event) {
	due := ma.Wake()
	ma.now = max(ma.now, now)
	ma.eager.fill(ma.now)
	pause := ma.now - due
	if tick, ok := ev.(Tick); ok {
		pause = max(pause, tick.Slept)
	}
	switch {
	case pause >= ma.cfg.RejoinAfter:
		ma.rejoin(pause)
	case pause > slack:
		ma.forgive(pause)
	}
}

// forgive puts off all deadlines by the length of the pause.
func (ma *Machine) forgive(pause time.Duration) {
	for id, ex := range ma.exchanges {
		ex.deadline += pause
		ma.exchanges[id] = ex
	}
	for _, wa := range ma.watches {
		wa.deadline += pause
		wa.retry += pause
	}
	ma.lastAnswer += pause
}

// rejoin begins again as a new incarnation. Nothing that was about to be said is
// said: no news, no suspicion, no answer that was waited for.
func (ma *Machine) rejoin(pause time.Duration) {
	next := ma.self.Member
	next.Incarnation++
	next.Count = 0
	next.Gone = false
	ma.restart()
	ma.become(next)
	ma.do(Woke{Pause: pause, Incarnation: next.Incarnation})
}

// restart drops what is under way.
func (ma *Machine) restart() {
	clear(ma.exchanges)
	clear(ma.watches)
	ma.news.Clear()
	clear(ma.relays)
	ma.placed = 0
	ma.joining = true
	ma.joinHeard = false
	ma.joinSince = ma.now
	ma.paused = true
	ma.cursor = ""
	clear(ma.diffs)
	ma.lastAnswer = ma.now
	ma.nextBeat = ma.now
	ma.nextGreet = ma.now
	for _, ar := range ma.table.areas {
		if ar.name != ma.self.DataCentre {
			ar.heard = never
		}
	}
}

// become takes a new incarnation, or refutes in the same one.
func (ma *Machine) become(next Member) {
	before := ma.self.State()
	ma.table.set(ma.now, ma.self, next)
	ma.tell(next)
	if next.State() != before {
		ma.do(Changed{Member: next, Before: before})
	}
}

// hearOfSelf answers what others say of this VM.
func (ma *Machine) hearOfSelf(mb Member) {
	self := ma.self.Member
	switch {
	case mb.Incarnation < self.Incarnation:
		return
	case mb.Incarnation > self.Incarnation, mb.Gone && !self.Gone, mb.Leaving && !self.Leaving:
		// Either others gave this process up, or an earlier process at
		// this address had a clock ahead of ours. In both cases only a
		// higher incarnation is believed.
		self.Incarnation = mb.Incarnation + 1
		self.Count = 0
		ma.become(self)
	case mb.suspected() && mb.Count > self.Count:
		ma.become(self.WithRefutation(mb.Count))
	}
}

// endJoin ends the join when this VM has been told of its data centre's VMs, or
// when there is nobody to tell it.
func (ma *Machine) endJoin() {
	if ma.joining && !ma.joinHeard && ma.now-ma.joinSince >= joinAlone {
		ma.joining = false
	}
	if ma.joining && ma.now-ma.joinSince >= joinLimit {
		ma.joining = false
	}
}

const (
	// joinAlone is how long a VM that hears nobody waits before it takes
	// itself for the first: candidates have been tried by then.
	joinAlone = 3 * time.Second
	// joinLimit ends a join that loss drags out; the digests do the rest.
	joinLimit = 10 * time.Second
)
