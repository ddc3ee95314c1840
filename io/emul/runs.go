package emul

// Run is one sub-request that a server began to execute.
type Run struct {
	ID       string
	Shard    int
	Snapshot uint64
	Query    string // as it came
}

// runRecord keeps the last runs in a ring, so that a long load cannot fill the
// memory.
type runRecord struct {
	ring  []Run
	limit int
	total uint64
}

func newRunRecord(limit int) runRecord { return runRecord{limit: limit} }

func (rr *runRecord) add(rn Run) {
	if len(rr.ring) < rr.limit {
		rr.ring = append(rr.ring, rn)
	} else {
		rr.ring[rr.total%uint64(rr.limit)] = rn
	}
	rr.total++
}

func (rr *runRecord) find(fits func(Run) bool) []Run {
	var rns []Run
	for _, rn := range rr.ring {
		if fits(rn) {
			rns = append(rns, rn)
		}
	}
	return rns
}

// Ran tells whether a sub-request began to run, as far as the record reaches.
func (up *Upstream) Ran(id string) bool {
	up.mu.Lock()
	defer up.mu.Unlock()
	return len(up.runs.find(func(rn Run) bool { return rn.ID == id })) > 0
}

// RunsOf counts the runs with this very query text, under whatever id. A test
// of at-most-once gives each search a query of its own.
func (up *Upstream) RunsOf(query string) int {
	return len(up.runsOf(query))
}

func (up *Upstream) runsOf(query string) []Run {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.runs.find(func(rn Run) bool { return rn.Query == query })
}

// Runs is the number of runs ever, also of those no longer on record.
func (up *Upstream) Runs() uint64 {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.runs.total
}
