package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/plan"
	"laburnumvane/core/route"
	"laburnumvane/core/steer"
	"laburnumvane/core/toggle"
	"laburnumvane/io/meter"
	"laburnumvane/io/relay"
)

const (
	// hopBack is what it needs more where another VM passes it on: small VMs take
	// some milliseconds to read, copy and write it.
	hopBack = 4 * time.Millisecond
	// leastTime is what an attempt needs at least.
	leastTime = 3 * time.Millisecond
	// loserTime is how long an attempt whose answer is not needed may go on, so
	// that its connection can be used again.
	loserTime = 3 * time.Second
	// trialGap is how long it takes after a trial until it is known whether its server has
	// ended: an opening, there and back.
	trialGap = 5 * time.Millisecond
	// goneTime is the same after the client left: its servers shall stop within
	// half a second, and most attempts end by themselves sooner.
	goneTime = 250 * time.Millisecond
)

// arrival is the result of an attempt.
type arrival struct {
	attempt int
	verdict fanout.Verdict
	rs      relay.Result
	// broken is set if the server ended the connection.
	broken bool
}

// flight is one request under way.
type flight struct {
	en       *Entry
	rq       *request
	rt       *route.Route
	vw       *plan.View
	pace     *routePace
	services []string
	head     []byte
	machine  *fanout.Machine
	hard     time.Duration
	// hedgeAfter is how long an attempt may take before another server is asked.
	hedgeAfter time.Duration
	// sent is when the first attempts had been written.
	sent time.Duration
	// mailbox has room for every attempt that there can be, so that a server's
	// answer never waits for a client.
	mailbox chan arrival
	// joins brings results that another VM joined; ctx ends with the request.
	joins  chan joinResult
	ctx    context.Context
	joined int
	// ends counts the attempts that servers broke, answers those that they answered, and
	// warned is set once other VMs were told.
	ends, answers int
	warned        bool
	// together is the data centre from which a shard's answer should come joined.
	together map[int]string
	// calls has no entry for attempts that another VM sends.
	calls []*relay.Call
	// short is set when there was no room: a token that was needed was not to
	// be had, or an attempt waited here for too long.
	short bool
	// checked are the servers that told just now that they are ready for a request, and
	// shunned those that were asked and did not.
	checked, shunned []*origin.Upstream
	// cold is set when all that was left of a shard were servers that warm up.
	cold    bool
	results []arrival
}

// launch makes a request ready to be sent.
func (en *Entry) launch(rq *request, rt *route.Route, vw *plan.View) *flight {
	fl := &flight{en: en, rq: rq, rt: rt, vw: vw, head: en.head(rq), pace: en.pace.of(rt)}
	minParts := 1
	if rt.Gather != nil {
		fl.services = rt.Gather.Shards
		minParts = rt.Gather.MinParts()
	} else if name, ok := rt.Draw(rand.Float64()); ok {
		fl.services = []string{name}
	}
	wait := rt.Timeout
	if rq.patience > 0 {
		wait = min(wait, rq.patience)
	}
	back := rq.away + en.lead.Own()
	if rq.carried {
		back += hopBack
	}
	fl.hard = rq.began + wait - back
	fl.hedgeAfter = fl.pace.delay(back)
	hedgeAfter := fl.hedgeAfter
	if en.cfg.Off.Off(toggle.Hedges) {
		hedgeAfter = 0
	}
	room := 0
	for _, name := range fl.services {
		// A server is asked again only after it refused, and no more often than the
		// route allows.
		room += len(vw.Candidates(name)) + rt.MaxAttempts + fanout.SpareTries
	}
	fl.mailbox = make(chan arrival, room)
	fl.machine = fanout.New(fanout.Config{
		Shards:      len(fl.services),
		MinParts:    minParts,
		Idempotent:  rt.Idempotent,
		MaxAttempts: rt.MaxAttempts,
		Target:      rq.began + rt.Target - back,
		Hard:        fl.hard,
		HedgeAfter:  hedgeAfter,
		LeastTime:   leastTime,
		Suspect:     rq.suspect,
		TrialGap:    trialGap,
		Blocked:     fl.blocked,
		Draw:        rand.Float64,
		Chooser:     fl,
		Budget:      fl,
	})
	return fl
}

// Spend takes a token for one more attempt at a shard's service.
func (fl *flight) Spend(shard int, needed bool) bool {
	ok := fl.en.budgets.spend(fl.en.cfg.Clock(), fl.services[shard])
	fl.short = fl.short || needed && !ok
	return ok
}

// run drives the machine to the answer.
func (fl *flight) run(ctx context.Context) fanout.Answer {
	clock := fl.en.cfg.Clock
	var cancel context.CancelFunc
	fl.ctx, cancel = context.WithCancel(ctx)
	defer cancel()
	fl.joins = make(chan joinResult, len(fl.services))
	for _, name := range fl.services {
		fl.en.budgets.earn(clock(), name)
	}
	fl.planJoins(clock())
	fl.checkFirst(clock())
	an, done := fl.perform(fl.machine.Start(clock()))
	// What follows comes singly.
	fl.together = nil
	fl.sent = clock()
	if done {
		return an
	}
	al := fl.newAlarm()
	defer al.stop()
	ending := fl.en.ending.Done()
	for {
		var ev fanout.Event
		now := clock()
		select {
		case jr := <-fl.joins:
			if an, done = fl.perform(fl.takeJoined(jr)); done {
				return an
			}
			al.set()
			continue
		case ar := <-fl.mailbox:
			ev = fl.note(ar)
		case <-al.timer.C:
			al.rang()
			fl.moveOn()
			ev = fanout.Event{Kind: fanout.EvWake}
		case <-ending:
			ending = nil
			now, ev = fl.hard, fanout.Event{Kind: fanout.EvWake}
		case <-ctx.Done():
			ev = fanout.Event{Kind: fanout.EvGone}
		}
		if an, done = fl.perform(fl.machine.Step(max(now, clock()), ev)); done {
			return an
		}
		al.set()
	}
}

// moveOn takes back the attempts that have waited here for as long as a server
// may take: they cost nobody anything yet, and another server may have room.
func (fl *flight) moveOn() {
	if fl.en.cfg.Off.Off(toggle.Moves) {
		return
	}
	late := fl.en.cfg.Clock() - fl.hedgeAfter
	for k, ca := range fl.calls {
		if ca != nil && fl.results[k].verdict == 0 && fl.machine.Started(k) <= late && ca.Waits() {
			fl.short = true
			ca.Drop(0)
		}
	}
}

// note keeps a result for the answer and the log.
func (fl *flight) note(ar arrival) fanout.Event {
	fl.results[ar.attempt] = ar
	fl.tally(ar)
	fl.warn(warnEnds)
	if ar.verdict == fanout.Served {
		fl.pace.observe(ar.rs.Took)
	}
	return fanout.Event{Kind: fanout.EvResult, Attempt: ar.attempt, Verdict: ar.verdict, Broken: ar.broken}
}

// perform does what the machine decided.
func (fl *flight) perform(acts []fanout.Action) (an fanout.Answer, done bool) {
	for _, ac := range acts {
		if ac.Kind == fanout.ActAnswer {
			an, done = ac.Answer, true
		}
	}
	var sends []fanout.Action
	for _, ac := range acts {
		switch ac.Kind {
		case fanout.ActSend:
			fl.results = append(fl.results, arrival{})
			fl.calls = append(fl.calls, nil)
			sends = append(sends, ac)
		case fanout.ActDrop:
			fl.drop(ac, done && an.Outcome == fanout.OutcomeGone)
		}
	}
	fl.dispatch(sends)
	return an, done
}

func (fl *flight) drop(ac fanout.Action, gone bool) {
	linger := min(loserTime, max(0, fl.hard-fl.en.cfg.Clock()))
	if gone {
		linger = min(linger, goneTime)
	}
	if ca := fl.calls[ac.Attempt]; ca != nil {
		ca.Drop(linger)
	}
}

// send sends one attempt.
func (fl *flight) send(ac fanout.Action) {
	en, up, k := fl.en, ac.Upstream, ac.Attempt
	now := en.cfg.Clock()
	en.cfg.Meter.Count(meter.Sent, ac.Cause.String())
	if ac.Cause == fanout.CauseRetry {
		en.cfg.Meter.Count(meter.Retry, ac.After.String())
	}
	usual := fl.pace.takes()
	en.cfg.Steer.Begin(now, usual, up.Process())
	fl.beginTrial(ac)
	box := fl.mailbox
	gathered := fl.rt.Gather != nil
	fl.calls[k] = en.cfg.Relay.Send(up, relay.Request{
		ID:       fl.rq.id,
		Method:   fl.rq.method,
		Wire:     en.message(fl.head, fl.rq, up, fl.hard-now),
		Priority: fl.rt.Priority,
		Fresh:    !fl.rt.Idempotent,
		Done: func(rs relay.Result) {
			ar := en.arrived(k, rs, gathered)
			en.settle(up, ar, now, usual)
			fl.judged(ac, ar)
			box <- ar
		},
	})
}

// takeLoad takes in how busy a server says that it is. What cannot be read is dropped.
func (en *Entry) takeLoad(now time.Duration, up *origin.Upstream, rp *relay.Reply, took time.Duration) {
	text := rp.Header.Get(en.cfg.Names.Load)
	if text == "" {
		return
	}
	lo, err := en.cfg.Load(text)
	if err == nil {
		en.cfg.Steer.Tell(now, up, lo, took)
		return
	}
	en.cfg.Meter.Count(meter.Upstream, "badLoad")
	if en.cfg.Steer.Misread(up.Process()) {
		en.cfg.Log.Warn().Str("server", up.ID).Str("load", text).Err(err).Msg("a server's load cannot be read, dropped")
	}
}

// settle tells what an attempt showed of its server.
func (en *Entry) settle(up *origin.Upstream, ar arrival, sent, usual time.Duration) {
	now := en.cfg.Clock()
	if ar.rs.Reply != nil {
		en.takeLoad(now, up, ar.rs.Reply, ar.rs.Took)
	}
	if ar.rs.Reply != nil && up.DataCentre != en.cfg.DataCentre {
		en.heardFar(now)
	}
	if ar.rs.Err != nil {
		en.cfg.Meter.Count(meter.Upstream, string(ar.rs.Err.Kind))
		if !ar.rs.Err.Sent || ar.rs.Err.Kind == relay.KindDropped {
			en.cfg.Steer.Withdraw(now, up.Process(), now-sent)
			return
		}
		if up.DataCentre != en.cfg.DataCentre {
			en.farLost.Add(1)
		}
	} else if ar.verdict != fanout.Served {
		en.cfg.Meter.Count(meter.Upstream, ar.verdict.String())
	}
	window := en.cfg.Steer.End(now, up.Process(), steer.Attempt{
		Verdict: ar.verdict,
		Took:    ar.rs.Took,
		Usual:   usual,
		Most:    en.cfg.View().Limits(up).Most,
	})
	if !en.cfg.Off.Off(toggle.Windows) {
		en.cfg.Relay.Allow(up, window)
	}
}
