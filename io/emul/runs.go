package emul

// Run is one sub-request that a server began to execute.
type Run struct {
	ID       string
	Shard    int
	Snapshot uint64
	Query    string // as received
}

// runLog keeps the last runs in a ring buffer, so that its memory stays bounded under a long
// load.
type runLog struct {
	ring  []Run
	limit int
	total uint64
}

func newRunLog(limit int) runLog { return runLog{limit: limit} }

func (rr *runLog) add(rn Run) {
	if len(rr.ring) < rr.limit {
		rr.ring = append(rr.ring, rn)
	} else {
		rr.ring[rr.total%uint64(rr.limit)] = rn
	}
	rr.total++
}

func (rr *runLog) find(match func(Run) bool) []Run {
	var rns []Run
	for _, rn := range rr.ring {
		if match(rn) {
			rns = append(rns, rn)
		}
	}
	return rns
}

// Ran reports whether a sub-request began to run, as far back as the run log goes.
func (up *Upstream) Ran(id string) bool {
	up.mu.Lock()
	defer up.mu.Unlock()
	return len(up.runLog.find(func(rn Run) bool { return rn.ID == id })) > 0
}

// RunsOf returns the number of logged runs with exactly this query text, whatever their ids. A
// test of at-most-once execution uses a unique query for each search.
func (up *Upstream) RunsOf(query string) int {
	return len(up.runsOf(query))
}

func (up *Upstream) runsOf(query string) []Run {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.runLog.find(func(rn Run) bool { return rn.Query == query })
}

// Runs returns the number of all runs, including those no longer in the run log.
func (up *Upstream) Runs() uint64 {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.runLog.total
}
