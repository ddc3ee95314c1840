package drive

import (
	"context"
	"strconv"
	"time"

	"laburnumvane/core/search"
	"laburnumvane/core/view"
	"laburnumvane/io/meter"
	"laburnumvane/io/wire"
)

// cancelTimeout bounds the message that gives up a sub-request.
const cancelTimeout = time.Second

// session performs the actions of one search.
type session struct {
	dr       *Driver
	vw       *view.View
	rq       wire.SearchRequest
	kd       *kind
	register string
	machine  *search.Machine
	box      *mailbox
	timer    *time.Timer
	// sent finds the server of a sub-request that has to be cancelled.
	sent   []view.ServerID
	answer *search.Answer
}

// run takes the search to its answer.
func (se *session) run(ctx context.Context) *search.Answer {
	defer se.box.close()
	defer se.timer.Stop()
	se.perform(se.machine.Start(se.dr.now()))
	var events []search.Event
	for se.answer == nil {
		select {
		case <-se.box.signal:
			events = se.box.drain(events[:0])
			se.step(events)
		case <-se.timer.C:
			se.step([]search.Event{{Kind: search.EvWake}})
		case <-ctx.Done():
			se.step([]search.Event{{Kind: search.EvCancel}})
		}
	}
	return se.answer
}

func (se *session) step(events []search.Event) {
	for _, ev := range events {
		se.perform(se.machine.Step(se.dr.now(), ev))
	}
}

func (se *session) perform(actions []search.Action) {
	for _, ac := range actions {
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

func (se *session) send(ac search.Action) {
	se.sent = append(se.sent, ac.Server)
	se.dr.cfg.Meter.Count(meter.Sent, attemptName(ac.Attempt))
	se.dr.active.Add(1)
	se.dr.cfg.Table.Begin(ac.Server)
	err := se.dr.cfg.Workers.Submit(func() {
		defer se.dr.active.Done()
		se.exchange(ac)
	})
	if err != nil {
		se.dr.active.Done()
		se.dr.cfg.Table.End(ac.Server, 0)
		se.box.post(search.Event{Kind: search.EvFailed, Sub: ac.Sub, Reason: "workers"})
	}
}

// exchange runs on a worker: one sub-request, one event.
func (se *session) exchange(ac search.Action) {
	left := ac.Deadline - se.dr.now()
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	rq := wire.ShardRequest{
		ID:         se.dr.subName(ac.Sub),
		Register:   se.register,
		Shard:      ac.Shard,
		Snapshot:   ac.Snapshot,
		DeadlineMs: left.Milliseconds(),
		Query:      se.rq.Query,
		Limit:      se.kd.conf.HitLimit,
	}
	begun := time.Now()
	rp, err := se.dr.cfg.Upstream(ac.Server).Search(ctx, rq)
	took := time.Since(begun)
	ev := se.dr.eventOf(ac, rq.ID, rp, err)
	if ev.Kind != search.EvReply {
		took = 0
	}
	se.dr.cfg.Table.End(ac.Server, took)
	if ev.Kind == search.EvReply {
		se.kd.tracker.Observe(took)
		se.dr.cfg.Meter.Observe(meter.SubLatency, took)
	}
	if !se.box.post(ev) {
		se.dr.cfg.Meter.Count(meter.Dropped, "afterAnswer")
	}
}

func (se *session) cancel(ac search.Action) {
	up := se.dr.cfg.Upstream(se.sent[ac.Sub.Attempt])
	name := se.dr.subName(ac.Sub)
	se.dr.active.Add(1)
	err := se.dr.cfg.Workers.Submit(func() {
		defer se.dr.active.Done()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := up.Cancel(ctx, name); err != nil {
			se.dr.cfg.Meter.Count(meter.Upstream, "cancelFailed")
		}
	})
	if err != nil {
		// Without a worker the sub-request runs into its deadline instead.
		se.dr.active.Done()
	}
}

func (dr *Driver) subName(id search.SubID) string {
	return strconv.FormatUint(dr.cfg.Incarnation, 36) + "." + id.String()
}

func attemptName(at search.Attempt) string {
	switch at {
	case search.AttemptHedge:
		return "hedge"
	case search.AttemptRetry:
		return "retry"
	default:
		return "primary"
	}
}
