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

// spareAttempts is the room for hedges and retries made ahead for each search.
const spareAttempts = 4

// session performs the actions of one search.
type session struct {
	dr       *Driver
	pass     *pass
	vw       *view.View
	rq       wire.SearchRequest
	kd       *kind
	register string
	once     bool
	machine  *search.Machine
	box      *mailbox
	timer    *time.Timer
	// name is what the ids of its sub-requests begin with.
	name string
	// hard is the deadline of its sub-requests, and work their context. One
	// for all of them: a timer for each costs more than the rest of a send.
	hard time.Duration
	work context.Context
	done context.CancelFunc
	// live counts the search itself and its exchanges under way. Some of them
	// outlive the answer, and need the context until they end.
	live atomic.Int32
	// attempts are indexed by the attempt's number.
	attempts []*attempt
	room     []attempt
	answer   *search.Answer
}

// open prepares what the exchanges share.
func (se *session) open(number uint64, hard time.Duration, shards int) {
	se.name = se.dr.prefix + strconv.FormatUint(number, 10) + "."
	se.hard = hard
	se.work, se.done = context.WithDeadline(context.Background(), se.dr.start.Add(hard))
	se.attempts = make([]*attempt, 0, shards+spareAttempts)
	se.room = make([]attempt, shards+spareAttempts)
	se.box = newMailbox(shards + spareAttempts)
	se.timer = time.NewTimer(hard - se.dr.now())
	se.hold()
}

func (se *session) hold() {
	se.live.Add(1)
	se.dr.active.Add(1)
}

func (se *session) release() {
	if se.live.Add(-1) == 0 {
		se.done()
	}
	se.dr.active.Done()
}

// run takes the search to its answer.
func (se *session) run(ctx context.Context) *search.Answer {
	defer se.release()
	defer se.box.close()
	defer se.timer.Stop()
	se.perform(se.machine.Start(se.dr.now()))
	se.pass.start()
	var events []search.Event
	for se.answer == nil {
		select {
		case <-se.box.signal:
			events = se.box.swap(events)
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
	se.pass.begin(ac.Server)
	se.hold()
	if se.dr.cfg.Workers.Submit(at.run) == nil {
		return
	}
	// No worker is free, so nothing left this VM: the search may try again or
	// answer that it did not run.
	se.dr.cfg.Meter.Count(meter.Upstream, ReasonWorkers)
	at.finish(search.Event{Kind: search.EvFailed, Sub: ac.Sub, Reason: ReasonWorkers}, wire.ShardReply{}, 0)
}

// attempt makes the record of a sub-request. Records are made ahead in one
// piece; they never move, since exchanges hold on to them.
func (se *session) attempt(ac *search.Action) *attempt {
	if len(se.room) == 0 {
		se.room = make([]attempt, spareAttempts)
	}
	at := &se.room[0]
	se.room = se.room[1:]
	at.se = se
	at.ac = *ac
	se.attempts = append(se.attempts, at)
	return at
}

func (se *session) cancel(ac *search.Action) {
	at := se.attempts[ac.Sub.Attempt]
	at.cancelled.Store(true)
	se.kd.tracker.GaveUp(se.dr.now() - ac.Started)
	se.dr.cfg.Upstream(at.ac.Server).Cancel(at.name())
}
