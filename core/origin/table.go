package origin

import (
	"sort"
	"time"
)

// Config sets a table.
type Config struct {
	// Linger is how long after the end of a suspect time an entry that was
	// removed within it may still come back.
	Linger time.Duration
	// Forget is how long the sequence of a server that is gone is remembered,
	// so that an entry that comes late cannot bring it back.
	Forget time.Duration
}

// trace is what is remembered of a server that is gone or leaving.
type trace struct {
	born     int64
	leaving  bool
	sequence uint64
	// until is when it may be forgotten.
	until time.Duration
}

// Table keeps a directory current. It is not safe for concurrent use.
type Table struct {
	cfg  Config
	live map[string]*Upstream
	// lapsed holds when servers are given up whose entries were removed in a
	// suspect time.
	lapsed map[string]time.Duration
	// past holds what is gone or leaving.
	past map[string]trace
	// evacuated are the data centres whose servers are to get nothing.
	evacuated map[string]struct{}
	suspect   bool
	until     time.Duration
}

// NewTable makes an empty table.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:    cfg,
		live:   make(map[string]*Upstream),
		lapsed: make(map[string]time.Duration),
		past:   make(map[string]trace),

		evacuated: make(map[string]struct{}),
	}
}

// Evacuate has the servers of a data centre get nothing until Return, those that are entered
// later too, and tells whether that is new.
func (tb *Table) Evacuate(dataCentre string) bool {
	_, was := tb.evacuated[dataCentre]
	tb.evacuated[dataCentre] = struct{}{}
	return !was
}

// Return ends that, and tells whether it was in force. The servers are taken to be cold from
// then on, for as long as warmUp says of their service: entries that say so may come late.
func (tb *Table) Return(now time.Duration, dataCentre string, warmUp func(service string) time.Duration) bool {
	_, was := tb.evacuated[dataCentre]
	delete(tb.evacuated, dataCentre)
	if !was {
		return false
	}
	for id, up := range tb.live {
		if until := now + warmUp(up.Service); up.DataCentre == dataCentre && until > max(now, up.ColdUntil) {
			tb.live[id] = up.WithCold(now, until)
		}
	}
	return true
}

// Put takes a server's entry and tells whether the directory changed. An entry
// that is older than what is known changes nothing.
func (tb *Table) Put(now time.Duration, up *Upstream) bool {
	if tr, seen := tb.past[up.ID]; seen {
		switch {
		case up.Born < tr.born:
			return false
		case up.Born > tr.born:
			// It started again: that its former life was leaving or gone says
			// nothing of this one.
			delete(tb.past, up.ID)
		case tr.leaving:
			up = up.WithLeaving()
		case up.Sequence <= tr.sequence:
			return false
		}
	}
	was, known := tb.live[up.ID]
	if known && up.precedes(was) && (up.Born < was.Born || !up.Leaving) {
		return false
	}
	if up.Leaving {
		tb.remember(now, up)
	}
	if up.WarmFor > 0 {
		up = up.WithCold(coldFrom(now, was, up), now+up.WarmFor)
	}
	delete(tb.lapsed, up.ID)
	tb.live[up.ID] = up
	return !known || *was != *up
}

// turnTime is how long after a server is known to have turned cold VMs may still send to it
// that have not heard.
const turnTime = time.Second

// coldFrom is since when all VMs know that a server is cold: one that is new gets nothing from
// those that do not.
func coldFrom(now time.Duration, was, up *Upstream) time.Duration {
	switch {
	case was == nil || was.Process() != up.Process():
		return now
	case was.Cold(now):
		return was.ColdFrom
	}
	return now + turnTime
}

// Remove takes the end of a server's entry and tells whether the directory
// changed.
func (tb *Table) Remove(now time.Duration, id string) bool {
	up, known := tb.live[id]
	if !known {
		return false
	}
	if tb.suspect && !up.Leaving {
		if _, lapsed := tb.lapsed[id]; !lapsed {
			tb.lapsed[id] = tb.until
		}
		return false
	}
	tb.drop(now, up)
	return true
}

// Reject takes an entry that names no server any more, for it cannot be read, and
// tells whether the directory changed. Unlike an entry that lapses while the store
// is away it was written on purpose. The server is back with its next own entry.
func (tb *Table) Reject(now time.Duration, id string) bool {
	up, known := tb.live[id]
	if known {
		tb.drop(now, up)
	}
	return known
}

func (tb *Table) drop(now time.Duration, up *Upstream) {
	delete(tb.live, up.ID)
	delete(tb.lapsed, up.ID)
	tb.remember(now, up)
}

func (tb *Table) remember(now time.Duration, up *Upstream) {
	tb.past[up.ID] = trace{
		born:     up.Born,
		leaving:  up.Leaving,
		sequence: up.Sequence,
		until:    now + tb.cfg.Forget,
	}
}

// Suspect tells that the store was away until a time, so that the end of an entry
// proves nothing until Linger has passed. What lapsed before keeps its time, or a
// server that left would be used for as long as news keeps being late; only where
// that time ended meanwhile is a new one given.
func (tb *Table) Suspect(back time.Duration) {
	tb.suspect = true
	tb.until = back + tb.cfg.Linger
	for id, until := range tb.lapsed {
		if until <= back {
			tb.lapsed[id] = tb.until
		}
	}
}

// Tick gives up servers whose entries did not come back in time, unless the store
// is away, and tells whether the directory changed.
func (tb *Table) Tick(now time.Duration, away bool) bool {
	for id, tr := range tb.past {
		if _, live := tb.live[id]; !live && now >= tr.until {
			delete(tb.past, id)
		}
	}
	if away {
		return false
	}
	tb.suspect = tb.suspect && now < tb.until
	changed := false
	for id, until := range tb.lapsed {
		if now >= until {
			tb.drop(now, tb.live[id])
			changed = true
		}
	}
	return changed
}

// Lapsed is the number of servers whose entry is missing and which are used for
// the time being.
func (tb *Table) Lapsed() int { return len(tb.lapsed) }

// Directory is the table as it stands.
func (tb *Table) Directory() *Directory {
	ups := make([]*Upstream, 0, len(tb.live))
	for _, up := range tb.live {
		if _, evacuated := tb.evacuated[up.DataCentre]; evacuated {
			up = up.WithEvacuated()
		}
		ups = append(ups, up)
	}
	sort.Slice(ups, func(i, j int) bool { return ups[i].ID < ups[j].ID })
	return New(ups)
}
