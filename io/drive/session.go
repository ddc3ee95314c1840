package drive

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"laburnumvane/core/search"
	"laburnumvane/core/view"
	"laburnumvane/io/meter"
	"laburnumvane/io/wire"
)

// reservedAttempts is the number of hedges and retries that each search allocates in advance.
const reservedAttempts = 4

// session performs the actions of one search.
type session struct {
	dr       *Driver
	admitted *admittedSearch
	vw       *view.View
	rq       wire.SearchRequest
	kd       *searchKind
	register string
	once     bool
	machine  *search.Machine
	mailbox  *mailbox
	timer    *time.Timer
	// subIDPrefix is the prefix of the ids of its sub-requests.
	subIDPrefix string
	// deadline is the deadline of its sub-requests, and subCtx their context. They share one
	// context, because a timer for each would cost more than the rest of a send.
	deadline     time.Duration
	subCtx       context.Context
	cancelSubCtx context.CancelFunc
	// refs counts the search itself and its exchanges in flight. Exchanges may outlive the
	// answer and need the context until they end.
	refs atomic.Int32
	// attempts are indexed by the attempt's number.
	attempts []*attempt
	reserved []attempt
	answer   *search.Answer
}

// prepare allocates what the exchanges share.
func (se *session) prepare(number uint64, deadline time.Duration, shards int) {
	se.subIDPrefix = se.dr.idPrefix + strconv.FormatUint(number, 10) + "."
	se.deadline = deadline
	se.subCtx, se.cancelSubCtx = context.WithDeadline(context.Background(), se.dr.started.Add(deadline))
	se.attempts = make([]*attempt, 0, shards+reservedAttempts)
	se.reserved = make([]attempt, shards+reservedAttempts)
	se.mailbox = newMailbox(shards + reservedAttempts)
	se.timer = time.NewTimer(deadline - se.dr.now())
	se.retain()
}

func (se *session) retain() {
	se.refs.Add(1)
	se.dr.active.Add(1)
}

func (se *session) release() {
	if se.refs.Add(-1) == 0 {
		se.cancelSubCtx()
	}
	se.dr.active.Done()
}

// run runs the search until it has an answer.
func (se *session) run(ctx context.Context) *search.Answer {
	defer se.release()
	defer se.mailbox.close()
	defer se.timer.Stop()
	se.perform(se.machine.Start(se.dr.now()))
	se.admitted.confirmStart()
	var events []search.Event
	for se.answer == nil {
		select {
		case <-se.mailbox.signal:
			events = se.mailbox.swap(events)
			for i := range events {
				se.step(events[i])
			}
		case <-se.timer.C:
			se.step(search.Event{Kind: search.EvWake})
		case <-ctx.Done():
			se.step(search.Event{Kind: search.EvCancel})
		}
	}
	return se.answer
}

func (se *session) step(ev search.Event) {
	se.perform(se.machine.Step(se.dr.now(), ev))
}

func (se *session) perform(actions []search.Action) {
	for i := range actions {
		ac := &actions[i]
		switch ac.Kind {
		case search.ActSend:
			se.send(ac)
		case search.ActCancel:
			se.cancel(ac)
		case search.ActWake:
			se.timer.Reset(ac.At - se.dr.now())
		case search.ActAnswer:
			se.answer = ac.Answer
		}
	}
}

func (se *session) send(ac *search.Action) {
	at := se.attempt(ac)
	se.dr.counts.sent(ac.Attempt)
	if ac.Attempt == search.AttemptRetry {
		se.dr.cfg.Meter.Count(meter.Retry, ac.Reason)
	}
	se.dr.cfg.Table.Begin(ac.Server)
	se.admitted.beginSubRequest(ac.Server)
	se.retain()
	if se.dr.cfg.Workers.Submit(at.run) == nil {
		return
	}
	// No worker is free, so nothing was sent: the search may try again or answer that it did
	// not run.
	se.dr.cfg.Meter.Count(meter.Upstream, ReasonNoWorker)
	at.finish(search.Event{Kind: search.EvFailed, Sub: ac.Sub, Reason: ReasonNoWorker}, wire.ShardReply{}, 0)
}

// attempt returns the record of a new sub-request. Records are allocated in advance, in blocks
// that never move, since exchanges keep pointers to them.
func (se *session) attempt(ac *search.Action) *attempt {
	if len(se.reserved) == 0 {
		se.reserved = make([]attempt, reservedAttempts)
	}
	at := &se.reserved[0]
	se.reserved = se.reserved[1:]
	at.se = se
	at.ac = *ac
	se.attempts = append(se.attempts, at)
	return at
}

func (se *session) cancel(ac *search.Action) {
	at := se.attempts[ac.Sub.Attempt]
	at.cancelled.Store(true)
	se.kd.tracker.ObserveCancelled(se.dr.now() - ac.Started)
	se.dr.cfg.Upstream(at.ac.Server).Cancel(at.id())
}
