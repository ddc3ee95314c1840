package poison

import "time"

// of is a request's record, made if there is none. The caller holds the lock.
func (tb *Table) of(now time.Duration, fp Fingerprint) *record {
	re, ok := tb.records[fp]
	if ok {
		return re
	}
	if len(tb.records) >= mostRecords {
		tb.evict(now)
	}
	re = &record{seen: now}
	tb.records[fp] = re
	tb.count.Store(int64(len(tb.records)))
	return re
}

// evict forgets the request of least concern: one that is not suspected rather than a
// suspect, a suspect rather than one that is blocked, and of those the one that did not
// come for longest. The caller holds the lock.
func (tb *Table) evict(now time.Duration) {
	var victim Fingerprint
	least, seen, found := Blocked, time.Duration(0), false
	for fp, re := range tb.records {
		st := re.state(now)
		if !found || st < least || st == least && re.seen < seen {
			victim, least, seen, found = fp, st, re.seen, true
		}
	}
	tb.forget(victim)
}

// forget drops a record. The caller holds the lock.
func (tb *Table) forget(fp Fingerprint) {
	for _, name := range tb.records[fp].trials {
		delete(tb.claims, name)
	}
	delete(tb.records, fp)
	tb.count.Store(int64(len(tb.records)))
}

// expire drops what can show nothing any more. The caller holds the lock.
func (tb *Table) expire(now time.Duration) {
	if now < tb.expireAt {
		return
	}
	tb.expireAt = now + expireEvery
	for pr, los := range tb.losses {
		if now-los[len(los)-1].at > shownFor {
			delete(tb.losses, pr)
		}
	}
	for pr, at := range tb.ended {
		if now-at > shownFor {
			delete(tb.ended, pr)
		}
	}
	for name, cl := range tb.claims {
		if cl.disputed && now-cl.at > keepFor {
			delete(tb.claims, name)
		}
	}
	for fp, at := range tb.cleared {
		if now-at >= clearFor {
			delete(tb.cleared, fp)
		}
	}
	for fp, re := range tb.records {
		idle := now - re.seen
		if idle >= keepFor || re.state(now) == Clear && idle > shownFor {
			tb.forget(fp)
		}
	}
}
