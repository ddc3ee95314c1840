package drive

import (
	"sync"
	"time"

	"laburnumvane/core/ticket"
	"laburnumvane/io/wire"
)

// ticketTable is a ticket.Table for concurrent use whose callers can wait for a first run.
type ticketTable struct {
	mu      sync.Mutex
	table   *ticket.Table[wire.SearchAnswer]
	running map[uint64]*firstRun
}

// firstRun is the first use of a ticket, in flight. It holds the answer for those who wait, also
// if the table has no space to keep it.
type firstRun struct {
	done   chan struct{}
	answer wire.SearchAnswer
}

func newTicketTable(cfg ticket.Config) *ticketTable {
	return &ticketTable{
		table:   ticket.New[wire.SearchAnswer](cfg),
		running: make(map[uint64]*firstRun),
	}
}

func (tt *ticketTable) issue(now time.Duration, team string, n int) []string {
	out := make([]string, n)
	tt.mu.Lock()
	defer tt.mu.Unlock()
	for i := range out {
		out[i] = tt.table.Issue(now, team)
	}
	return out
}

// begin checks the ticket of a search. With VerdictRun it returns a first run that the caller has
// to finish, with VerdictWait the one to wait for.
func (tt *ticketTable) begin(now time.Duration, rq wire.SearchRequest) (ticket.Verdict[wire.SearchAnswer], *firstRun) {
	body := bodyHash(rq)
	tt.mu.Lock()
	defer tt.mu.Unlock()
	vd := tt.table.Begin(now, rq.Ticket, rq.Team, body)
	switch vd.Kind {
	case ticket.VerdictRun:
		fr := &firstRun{done: make(chan struct{})}
		tt.running[vd.Number] = fr
		return vd, fr
	case ticket.VerdictWait:
		return vd, tt.running[vd.Number]
	default:
		return vd, nil
	}
}

// finish stores the answer of a first run and wakes those who wait. If the search did not run, it
// releases the ticket for another attempt instead of storing the answer.
func (tt *ticketTable) finish(number uint64, fr *firstRun, an wire.SearchAnswer) {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	if an.Outcome == wire.OutcomeNotRun {
		tt.table.Release(number)
	} else {
		tt.table.Finish(number, an, answerSize(an))
	}
	delete(tt.running, number)
	fr.answer = an
	close(fr.done)
}

const (
	answerBytes = 256
	hitBytes    = 64
)

// answerSize returns the approximate size of an answer in memory, in bytes.
func answerSize(an wire.SearchAnswer) int {
	size := answerBytes + len(an.Message) + len(an.ID)
	for i := range an.Hits {
		size += hitBytes + len(an.Hits[i].Member) + len(an.Hits[i].Fields)
	}
	return size
}
