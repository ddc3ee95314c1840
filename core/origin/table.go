package origin

import (
	"sort"
	"time"
)

// Config configures a Table.
type Config struct {
	// LapseGrace is how long after the end of a store outage a server whose entry was removed
	// stays usable without a new entry.
	LapseGrace time.Duration
	// TombstoneTTL is how long the sequence of a removed server is kept, so that an entry that
	// arrives late cannot bring it back.
	TombstoneTTL time.Duration
}

// tombstone records the last entry of a server that is gone or leaving.
type tombstone struct {
	born     int64
	leaving  bool
	sequence uint64
	// until is when the tombstone may be deleted.
	until time.Duration
}

// Table maintains the current directory. It is not safe for concurrent use.
type Table struct {
	cfg  Config
	live map[string]*Upstream
	// lapsedUntil holds, by ID, when servers whose entries were removed in a suspect period
	// are dropped.
	lapsedUntil map[string]time.Duration
	// tombstones are by ID.
	tombstones map[string]tombstone
	// evacuated holds the data centres whose servers get no new requests.
	evacuated map[string]struct{}
	// suspect is set until suspectUntil: in this period the removal of an entry proves
	// nothing.
	suspect      bool
	suspectUntil time.Duration
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:         cfg,
		live:        make(map[string]*Upstream),
		lapsedUntil: make(map[string]time.Duration),
		tombstones:  make(map[string]tombstone),

		evacuated: make(map[string]struct{}),
	}
}

// Evacuate marks a data centre: its servers, including those that are added later, get no new
// requests until EndEvacuation. It reports whether the data centre was not evacuated before.
func (tb *Table) Evacuate(dataCentre string) bool {
	_, already := tb.evacuated[dataCentre]
	tb.evacuated[dataCentre] = struct{}{}
	return !already
}

// EndEvacuation ends the evacuation of a data centre and reports whether it was in force. The
// servers count as cold from now for the warm-up time of their service: their own entries,
// which say so, may arrive late.
func (tb *Table) EndEvacuation(now time.Duration, dataCentre string, warmUp func(service string) time.Duration) bool {
	_, evacuated := tb.evacuated[dataCentre]
	delete(tb.evacuated, dataCentre)
	if !evacuated {
		return false
	}
	for id, up := range tb.live {
		if until := now + warmUp(up.Service); up.DataCentre == dataCentre && until > max(now, up.ColdUntil) {
			tb.live[id] = up.WithCold(now, until)
		}
	}
	return true
}

// Put stores a server's entry and reports whether the directory changed. An entry that is
// older than the known one is ignored, unless it announces that the same process is leaving.
func (tb *Table) Put(now time.Duration, up *Upstream) bool {
	if ts, found := tb.tombstones[up.ID]; found {
		switch {
		case up.StartMs < ts.born:
			return false
		case up.StartMs > ts.born:
			// A restarted server: that its earlier process was leaving or gone does not apply
			// to the new one.
			delete(tb.tombstones, up.ID)
		case ts.leaving:
			up = up.WithLeaving()
		case up.Sequence <= ts.sequence:
			return false
		}
	}
	previous, known := tb.live[up.ID]
	if known && up.precedes(previous) && (up.StartMs < previous.StartMs || !up.Leaving) {
		return false
	}
	if up.Leaving {
		tb.addTombstone(now, up)
	}
	if up.ColdFor > 0 {
		up = up.WithCold(coldKnownFrom(now, previous, up), now+up.ColdFor)
	}
	delete(tb.lapsedUntil, up.ID)
	tb.live[up.ID] = up
	return !known || *previous != *up
}

// coldNoticeTime is how long other VMs may still send to a server after this VM learns that
// it turned cold, because they do not know it yet.
const coldNoticeTime = time.Second

// coldKnownFrom returns since when all VMs know that a server is cold. For a new process this
// is now: VMs that do not know it send nothing to it.
func coldKnownFrom(now time.Duration, previous, up *Upstream) time.Duration {
	switch {
	case previous == nil || previous.Process() != up.Process():
		return now
	case previous.Cold(now):
		return previous.ColdKnownFrom
	}
	return now + coldNoticeTime
}

// Remove handles the removal of a server's entry and reports whether the directory changed.
// In a suspect period the server is kept for the time being, unless it is leaving.
func (tb *Table) Remove(now time.Duration, id string) bool {
	up, known := tb.live[id]
	if !known {
		return false
	}
	if tb.suspect && !up.Leaving {
		if _, lapsed := tb.lapsedUntil[id]; !lapsed {
			tb.lapsedUntil[id] = tb.suspectUntil
		}
		return false
	}
	tb.drop(now, up)
	return true
}

// Reject handles an unreadable entry and reports whether the directory changed. The server is
// dropped even in a suspect period: unlike an entry that expires while the store is
// unavailable, this one was written on purpose. The server's next valid entry brings it back.
func (tb *Table) Reject(now time.Duration, id string) bool {
	up, known := tb.live[id]
	if known {
		tb.drop(now, up)
	}
	return known
}

func (tb *Table) drop(now time.Duration, up *Upstream) {
	delete(tb.live, up.ID)
	delete(tb.lapsedUntil, up.ID)
	tb.addTombstone(now, up)
}

func (tb *Table) addTombstone(now time.Duration, up *Upstream) {
	tb.tombstones[up.ID] = tombstone{
		born:     up.StartMs,
		leaving:  up.Leaving,
		sequence: up.Sequence,
		until:    now + tb.cfg.TombstoneTTL,
	}
}

// StoreReturned begins a suspect period after the store was unavailable until back: the removal of
// an entry proves nothing until LapseGrace has passed. Servers whose entries were removed in an
// earlier suspect period keep their deadline, or a server that left would be used as long as
// outages keep recurring. Only deadlines that passed during the outage are extended.
func (tb *Table) StoreReturned(back time.Duration) {
	tb.suspect = true
	tb.suspectUntil = back + tb.cfg.LapseGrace
	for id, until := range tb.lapsedUntil {
		if until <= back {
			tb.lapsedUntil[id] = tb.suspectUntil
		}
	}
}

// Tick drops servers whose entries were not written again in time, unless the store is
// unavailable (away), and deletes expired tombstones. It reports whether the directory
// changed.
func (tb *Table) Tick(now time.Duration, away bool) bool {
	for id, ts := range tb.tombstones {
		if _, live := tb.live[id]; !live && now >= ts.until {
			delete(tb.tombstones, id)
		}
	}
	if away {
		return false
	}
	tb.suspect = tb.suspect && now < tb.suspectUntil
	changed := false
	for id, until := range tb.lapsedUntil {
		if now >= until {
			tb.drop(now, tb.live[id])
			changed = true
		}
	}
	return changed
}

// Lapsed returns the number of servers that are kept although their entry was removed.
func (tb *Table) Lapsed() int { return len(tb.lapsedUntil) }

// Directory returns the current directory, with the servers of evacuated data centres marked.
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
