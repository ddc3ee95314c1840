package poison

import (
	"sync"
	"sync/atomic"
	"time"

	"laburnumvane/core/origin"
)

const (
	// blockEnds is how many servers have to end under trials of a request, each alone,
	// before it is blocked. Others may have been under way at the one server that the
	// request crashed first, but not at the next ones, which are drawn.
	blockEnds = 2
	// blockRepeats blocks a request too, whoever else was under way where servers ended: so
	// many ended under a trial of it, each repeatAfter or more after the last. Many such
	// requests at once claim each other's ends, so that trials alone would block none; a
	// request that merely was beside them is answered meanwhile.
	blockRepeats = 2
	repeatAfter  = time.Second
	// BlockFor is how long a blocked request must stay away to be tried again.
	BlockFor = 10 * time.Minute
	// keepFor is how long a request is remembered that did not come again.
	keepFor = 30 * time.Minute
	// shownFor is how long after an attempt broke its server's end may be shown, and the
	// other way round.
	shownFor = 2 * time.Second
	// hintFor is how long another VM's word makes a request a suspect, and clearFor how long
	// a server's answer outweighs such words: those who sent them have not heard of it.
	hintFor  = 10 * time.Second
	clearFor = 5 * time.Second
	// expireEvery is how often it is looked for what can be dropped: it takes a look at
	// all records, and hundreds of attempts may break at once.
	expireEvery = 250 * time.Millisecond
	// mostRecords bounds the requests that are remembered; a record takes some 300 bytes.
	mostRecords = 4096
	// mostLosses bounds the attempts at one server whose end is not shown yet; a server
	// works on fewer at once.
	mostLosses = 64
	// mostTrialEnds bounds the servers that a record names.
	mostTrialEnds = 8
)

// loss is an attempt that broke and whose server may have ended.
type loss struct {
	fp  Fingerprint
	at  time.Duration
	how Place
}

// Table holds what is known of requests under which servers ended. It is safe for
// concurrent use.
type Table struct {
	// count is the number of records, so that requests need no lock while there are none.
	count atomic.Int64

	mu      sync.Mutex
	records map[Fingerprint]*record
	losses  map[origin.Process][]loss
	ended   map[origin.Process]time.Duration
	claims  map[string]claim
	trials  map[origin.Process]*trial
	// cleared holds when a server answered a request that was suspected.
	cleared map[Fingerprint]time.Duration
	// expireAt is when it is looked next for what can be dropped.
	expireAt time.Duration
}

// New makes an empty table.
func New() *Table {
	return &Table{
		records: make(map[Fingerprint]*record),
		losses:  make(map[origin.Process][]loss),
		ended:   make(map[origin.Process]time.Duration),
		claims:  make(map[string]claim),
		trials:  make(map[origin.Process]*trial),
		cleared: make(map[Fingerprint]time.Duration),
	}
}

// Empty tells whether nothing is known of any request.
func (tb *Table) Empty() bool { return tb.count.Load() == 0 }

// Len is the number of requests of which something is known.
func (tb *Table) Len() int { return int(tb.count.Load()) }

// Arrive tells what is thought of a request that came. Refresh is set if others should be
// told of it anew, or they would forget while it still comes.
func (tb *Table) Arrive(now time.Duration, fp Fingerprint) (st State, refresh Update) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.expire(now)
	re, ok := tb.records[fp]
	if !ok {
		return Clear, Update{}
	}
	st = re.state(now)
	if st == Suspect && re.crashes() {
		// It stayed away for long: one more server decides.
		tb.trim(re)
	}
	re.seen = now
	if st == Blocked && re.ever && now-re.shared >= BlockFor/2 {
		re.shared = now
		refresh = tb.update(now, fp, re)
		refresh.Share = true
	}
	return st, refresh
}

// Broken notes that a server ended the connection under a request.
func (tb *Table) Broken(now time.Duration, fp Fingerprint, pr origin.Process, how Place) []Update {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.expire(now)
	re := tb.of(now, fp)
	re.seen = now
	if _, ok := tb.ended[pr]; ok {
		return tb.note(now, fp, pr, how, nil)
	}
	if len(tb.losses[pr]) < mostLosses {
		tb.losses[pr] = append(tb.losses[pr], loss{fp: fp, at: now, how: how})
	}
	return nil
}

// Ended notes that a server has ended, so that what broke there was not one connection's
// doing.
func (tb *Table) Ended(now time.Duration, pr origin.Process) []Update {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.expire(now)
	tb.ended[pr] = now
	var ups []Update
	for _, lo := range tb.losses[pr] {
		ups = tb.note(now, lo.fp, pr, lo.how, ups)
	}
	delete(tb.losses, pr)
	return ups
}

// note takes one end into a record. The caller holds the lock.
func (tb *Table) note(now time.Duration, fp Fingerprint, pr origin.Process, how Place, ups []Update) []Update {
	re, ok := tb.records[fp]
	if !ok {
		// A server answered the request meanwhile.
		return ups
	}
	re.count(now, how)
	re.seen = now
	if how == Alone {
		ups = tb.claim(now, fp, re, nameOf(pr), ups)
	}
	up := tb.update(now, fp, re)
	up.Share = re.unserved || up.State == Blocked
	if up.Share {
		re.shared, re.ever = now, true
	}
	return append(ups, up)
}

// Answered notes that a server answered a request: it does not crash servers. The update
// says so to others if they were told.
func (tb *Table) Answered(now time.Duration, fp Fingerprint) (up Update, known bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	re, ok := tb.records[fp]
	if !ok {
		return Update{}, false
	}
	up = tb.update(now, fp, re)
	up.State, up.Cleared, up.Share = Clear, true, re.ever
	tb.forget(fp)
	if len(tb.cleared) < mostRecords {
		tb.cleared[fp] = now
	}
	return up, up.Ends > 0 || up.Share
}

// Unserved notes that an arrival of a request ended without any server's answer.
func (tb *Table) Unserved(now time.Duration, fp Fingerprint) []Update {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	re, ok := tb.records[fp]
	if !ok || re.unserved {
		return nil
	}
	re.unserved = true
	if re.ends == 0 {
		return nil
	}
	re.shared, re.ever = now, true
	up := tb.update(now, fp, re)
	up.Share = true
	return []Update{up}
}

// Hint takes another VM's word that servers may have ended under a request. It is soon
// forgotten, but for the trials that it names: the request goes to one server first.
func (tb *Table) Hint(now time.Duration, rd Record) []Update {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.expire(now)
	if at, ok := tb.cleared[rd.Fingerprint]; ok && now-at < clearFor {
		return nil
	}
	re := tb.of(now, rd.Fingerprint)
	re.seen, re.hinted = now, now+hintFor
	return append(tb.claimAll(now, rd, re), tb.update(now, rd.Fingerprint, re))
}

// Blocked tells whether a request is known to crash servers.
func (tb *Table) Blocked(now time.Duration, fp Fingerprint) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	re, ok := tb.records[fp]
	return ok && re.state(now) == Blocked
}

// Learn takes what another VM knows.
func (tb *Table) Learn(now time.Duration, rd Record) []Update {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.expire(now)
	re := tb.of(now, rd.Fingerprint)
	re.seen, re.shared, re.ever = now, now, true
	re.learn(now, rd)
	return append(tb.claimAll(now, rd, re), tb.update(now, rd.Fingerprint, re))
}

// Release takes back that a request is blocked: an operator took its entry away, or it
// lapsed. It is tried at one server when it comes again, and one more end blocks it.
func (tb *Table) Release(now time.Duration, fp Fingerprint) (Update, bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	re, ok := tb.records[fp]
	if !ok {
		return Update{}, false
	}
	tb.trim(re)
	re.ever = false
	re.unserved = false
	return tb.update(now, fp, re), true
}
