package drive

import (
	"sync"
	"time"

	"laburnumvane/core/ticket"
	"laburnumvane/io/wire"
)

// gate guards the ticket table and wakes those who wait for a first run.
type gate struct {
	mu      sync.Mutex
	table   *ticket.Table[wire.SearchAnswer]
	waiting map[uint64]*firstRun
}

// firstRun is a first use under way. Its answer is here for those who wait even
// where the table had no room to keep it.
type firstRun struct {
	done   chan struct{}
	answer wire.SearchAnswer
}

func newGate(cfg ticket.Config) *gate {
	return &gate{
		table:   ticket.New[wire.SearchAnswer](cfg),
		waiting: make(map[uint64]*firstRun),
	}
}

func (ga *gate) issue(now time.Duration, team string, n int) []string {
	out := make([]string, n)
	ga.mu.Lock()
	defer ga.mu.Unlock()
	for i := range out {
		out[i] = ga.table.Issue(now, team)
	}
	return out
}

// begin judges a search with a ticket; with Run and Wait it returns the first
// run, to be finished or waited for.
func (ga *gate) begin(now time.Duration, rq wire.SearchRequest) (ticket.Verdict[wire.SearchAnswer], *firstRun) {
	body := bodyHash(rq)
	ga.mu.Lock()
	defer ga.mu.Unlock()
	vd := ga.table.Begin(now, rq.Ticket, rq.Team, body)
	switch vd.Kind {
	case ticket.VerdictRun:
		fr := &firstRun{done: make(chan struct{})}
		ga.waiting[vd.Number] = fr
		return vd, fr
	case ticket.VerdictWait:
		return vd, ga.waiting[vd.Number]
	default:
		return vd, nil
	}
}

// finish keeps the answer of a first run, or gives the ticket back for another
// attempt where none of it ran, and wakes those who wait.
func (ga *gate) finish(number uint64, fr *firstRun, an wire.SearchAnswer) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if an.Outcome == wire.OutcomeNotRun {
		ga.table.Release(number)
	} else {
		ga.table.Finish(number, an, sizeOf(an))
	}
	delete(ga.waiting, number)
	fr.answer = an
	close(fr.done)
}

const (
	answerBytes = 256
	hitBytes    = 64
)

// sizeOf is about what an answer holds in memory.
func sizeOf(an wire.SearchAnswer) int {
	size := answerBytes + len(an.Message) + len(an.ID)
	for i := range an.Hits {
		size += hitBytes + len(an.Hits[i].Member) + len(an.Hits[i].Fields)
	}
	return size
}
