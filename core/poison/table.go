package poison

import (
	"sync"
	"sync/atomic"
	"time"

	"laburnumvane/core/origin"
)

const (
	// blockTrialCrashes is how many servers have to crash during exclusive trials of a request
	// before it is blocked. Other requests may have been running on the first server that
	// crashed, but not on the next ones, which are picked at random.
	blockTrialCrashes = 2
	// blockRepeatCrashes blocks a request as well, regardless of other requests on the servers:
	// that many servers crashed during a trial of it, each at least minRepeatInterval after the
	// previous one. With many crashing requests at once, each crash is attributed to several of
	// them, so that blockTrialCrashes alone would block none. A harmless request that ran on the
	// same servers is answered in the meantime.
	blockRepeatCrashes = 2
	minRepeatInterval  = time.Second
	// BlockDuration is for how long a blocked request must not arrive before it is tried again.
	BlockDuration = 10 * time.Minute
	// recordTTL is how long a request is remembered after it last arrived.
	recordTTL = 30 * time.Minute
	// matchWindow is the maximum time between a broken attempt and the end of the server's
	// process, in either order, for the two to be matched.
	matchWindow = 2 * time.Second
	// hintTTL is how long a hint from another VM makes a request suspect. clearedTTL is how long
	// hints are ignored after a server answered the request, since their senders do not know of
	// the answer yet.
	hintTTL    = 10 * time.Second
	clearedTTL = 5 * time.Second
	// expireInterval is the minimum time between two scans for expired records: a scan visits all
	// records, and hundreds of attempts may break at once.
	expireInterval = 250 * time.Millisecond
	// maxRecords bounds the number of records; each takes about 300 bytes.
	maxRecords = 4096
	// maxBrokenPerServer bounds the broken attempts that are kept per server until its process is
	// known to have ended; a server runs fewer at once.
	maxBrokenPerServer = 64
	// maxTrialNames bounds the server names in a record.
	maxTrialNames = 8
)

// brokenAttempt is an attempt whose connection broke and whose server may have crashed.
type brokenAttempt struct {
	fp   Fingerprint
	at   time.Duration
	kind TrialKind
}

// Table records the requests under which servers crashed. It is safe for concurrent use.
type Table struct {
	// count is the number of records, so that requests need no lock while there are none.
	count atomic.Int64

	mu           sync.Mutex
	records      map[Fingerprint]*record
	broken       map[origin.Process][]brokenAttempt
	endedAt      map[origin.Process]time.Duration
	attributions map[string]attribution
	trials       map[origin.Process]*serverTrials
	// clearedAt is when a server answered a request that had a record.
	clearedAt map[Fingerprint]time.Duration
	// expireAt is the time of the next scan for expired records.
	expireAt time.Duration
}

// New returns an empty table.
func New() *Table {
	return &Table{
		records:      make(map[Fingerprint]*record),
		broken:       make(map[origin.Process][]brokenAttempt),
		endedAt:      make(map[origin.Process]time.Duration),
		attributions: make(map[string]attribution),
		trials:       make(map[origin.Process]*serverTrials),
		clearedAt:    make(map[Fingerprint]time.Duration),
	}
}

// Empty reports whether the table has no records.
func (tb *Table) Empty() bool { return tb.count.Load() == 0 }

// Len returns the number of records.
func (tb *Table) Len() int { return int(tb.count.Load()) }

// Arrive records the arrival of a request and returns its state. If refresh.Share is set, other
// VMs have to be informed again, since their records would expire although the request still
// arrives.
func (tb *Table) Arrive(now time.Duration, fp Fingerprint) (st State, refresh Update) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.expire(now)
	re, ok := tb.records[fp]
	if !ok {
		return Clear, Update{}
	}
	st = re.state(now)
	if st == Suspect && re.shouldBlock() {
		// The request did not arrive for long: it may be tried again, and one more crash blocks
		// it.
		tb.demote(re)
	}
	re.lastSeen = now
	if st == Blocked && re.everShared && now-re.sharedAt >= BlockDuration/2 {
		re.sharedAt = now
		refresh = tb.update(now, fp, re)
		refresh.Share = true
	}
	return st, refresh
}

// RecordBroken records that a server ended the connection of an attempt.
func (tb *Table) RecordBroken(now time.Duration, fp Fingerprint, pr origin.Process, kind TrialKind) []Update {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.expire(now)
	re := tb.recordOf(now, fp)
	re.lastSeen = now
	if _, ok := tb.endedAt[pr]; ok {
		return tb.recordCrash(now, fp, pr, kind, nil)
	}
	if len(tb.broken[pr]) < maxBrokenPerServer {
		tb.broken[pr] = append(tb.broken[pr], brokenAttempt{fp: fp, at: now, kind: kind})
	}
	return nil
}

// RecordServerEnd records that a server's process has ended, which confirms that the attempts whose
// connections broke were not hit by a mere connection failure.
func (tb *Table) RecordServerEnd(now time.Duration, pr origin.Process) []Update {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.expire(now)
	tb.endedAt[pr] = now
	var ups []Update
	for _, ba := range tb.broken[pr] {
		ups = tb.recordCrash(now, ba.fp, pr, ba.kind, ups)
	}
	delete(tb.broken, pr)
	return ups
}

// recordCrash adds a crash to a request's record. The caller holds the lock.
func (tb *Table) recordCrash(now time.Duration, fp Fingerprint, pr origin.Process, kind TrialKind, ups []Update) []Update {
	re, ok := tb.records[fp]
	if !ok {
		// A server answered the request in the meantime.
		return ups
	}
	re.countCrash(now, kind)
	re.lastSeen = now
	if kind == ExclusiveTrial {
		ups = tb.attribute(now, fp, re, processName(pr), ups)
	}
	up := tb.update(now, fp, re)
	up.Share = re.unserved || up.State == Blocked
	if up.Share {
		re.sharedAt, re.everShared = now, true
	}
	return append(ups, up)
}

// RecordAnswer records that a server answered a request, so it does not crash servers. The update
// is to be shared if other VMs were informed before; known is false if there was nothing to clear.
func (tb *Table) RecordAnswer(now time.Duration, fp Fingerprint) (up Update, known bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	re, ok := tb.records[fp]
	if !ok {
		return Update{}, false
	}
	up = tb.update(now, fp, re)
	up.State, up.Cleared, up.Share = Clear, true, re.everShared
	tb.remove(fp)
	if len(tb.clearedAt) < maxRecords {
		tb.clearedAt[fp] = now
	}
	return up, up.Crashes > 0 || up.Share
}

// RecordUnserved records that an arrival of a request ended without an answer from any server.
func (tb *Table) RecordUnserved(now time.Duration, fp Fingerprint) []Update {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	re, ok := tb.records[fp]
	if !ok || re.unserved {
		return nil
	}
	re.unserved = true
	if re.crashes == 0 {
		return nil
	}
	re.sharedAt, re.everShared = now, true
	up := tb.update(now, fp, re)
	up.Share = true
	return []Update{up}
}

// Hint records another VM's report that servers may have crashed under a request, which makes the
// request suspect for a short time. The trials that it names are kept.
func (tb *Table) Hint(now time.Duration, rd Record) []Update {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.expire(now)
	if at, ok := tb.clearedAt[rd.Fingerprint]; ok && now-at < clearedTTL {
		return nil
	}
	re := tb.recordOf(now, rd.Fingerprint)
	re.lastSeen, re.hintedUntil = now, now+hintTTL
	return append(tb.attributeAll(now, rd, re), tb.update(now, rd.Fingerprint, re))
}

// Blocked reports whether a request is blocked.
func (tb *Table) Blocked(now time.Duration, fp Fingerprint) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	re, ok := tb.records[fp]
	return ok && re.state(now) == Blocked
}

// Merge merges another VM's record into this one's.
func (tb *Table) Merge(now time.Duration, rd Record) []Update {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.expire(now)
	re := tb.recordOf(now, rd.Fingerprint)
	re.lastSeen, re.sharedAt, re.everShared = now, now, true
	re.merge(now, rd)
	return append(tb.attributeAll(now, rd, re), tb.update(now, rd.Fingerprint, re))
}

// Unblock lifts the block of a request, after an operator removed its entry or it expired. The
// request is suspect when it arrives again, and one more crash blocks it.
func (tb *Table) Unblock(now time.Duration, fp Fingerprint) (Update, bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	re, ok := tb.records[fp]
	if !ok {
		return Update{}, false
	}
	tb.demote(re)
	re.everShared = false
	re.unserved = false
	return tb.update(now, fp, re), true
}
