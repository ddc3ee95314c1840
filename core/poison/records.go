package poison

import "time"

// recordOf returns a request's record and creates it if needed. The caller holds the lock.
func (tb *Table) recordOf(now time.Duration, fp Fingerprint) *record {
	re, ok := tb.records[fp]
	if ok {
		return re
	}
	if len(tb.records) >= maxRecords {
		tb.evict(now)
	}
	re = &record{lastSeen: now}
	tb.records[fp] = re
	tb.count.Store(int64(len(tb.records)))
	return re
}

// evict removes the least important record: one that is not suspect before a suspect, a suspect
// before a blocked one, and among those the one that was seen least recently. The caller holds
// the lock.
func (tb *Table) evict(now time.Duration) {
	var victim Fingerprint
	least, seen, found := Blocked, time.Duration(0), false
	for fp, re := range tb.records {
		st := re.state(now)
		if !found || st < least || st == least && re.lastSeen < seen {
			victim, least, seen, found = fp, st, re.lastSeen, true
		}
	}
	tb.remove(victim)
}

// remove deletes a record. The caller holds the lock.
func (tb *Table) remove(fp Fingerprint) {
	for _, name := range tb.records[fp].trials {
		delete(tb.attributions, name)
	}
	delete(tb.records, fp)
	tb.count.Store(int64(len(tb.records)))
}

// expire deletes everything that is too old to matter. The caller holds the lock.
func (tb *Table) expire(now time.Duration) {
	if now < tb.expireAt {
		return
	}
	tb.expireAt = now + expireInterval
	for pr, attempts := range tb.broken {
		if now-attempts[len(attempts)-1].at > matchWindow {
			delete(tb.broken, pr)
		}
	}
	for pr, at := range tb.endedAt {
		if now-at > matchWindow {
			delete(tb.endedAt, pr)
		}
	}
	for name, attr := range tb.attributions {
		if attr.ambiguous && now-attr.at > recordTTL {
			delete(tb.attributions, name)
		}
	}
	for fp, at := range tb.clearedAt {
		if now-at >= clearedTTL {
			delete(tb.clearedAt, fp)
		}
	}
	for fp, re := range tb.records {
		idle := now - re.lastSeen
		if idle >= recordTTL || re.state(now) == Clear && idle > matchWindow {
			tb.remove(fp)
		}
	}
}
