package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"laburnumvane/core/admit"
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
	// forwardOverhead is the extra time for the response of a forwarded request: a small VM
	// takes some milliseconds to read, copy and write it.
	forwardOverhead = 4 * time.Millisecond
	// minAttemptTime is the least remaining time with which an attempt is worth sending.
	minAttemptTime = 3 * time.Millisecond
	// unneededLinger is how long an attempt whose response is not needed may continue, so that
	// its connection can be reused.
	unneededLinger = 3 * time.Second
	// trialSettleTime is how long after a trial it is known whether its server has crashed: the
	// time to open a connection, there and back.
	trialSettleTime = 5 * time.Millisecond
	// clientGoneLinger replaces unneededLinger after the client has disconnected: its servers
	// must stop within half a second, and most attempts end earlier without being cancelled.
	clientGoneLinger = 250 * time.Millisecond
)

// attemptResult is the result of an attempt.
type attemptResult struct {
	attempt int
	verdict fanout.Verdict
	rs      relay.Result
	// at is when the result was processed.
	at time.Duration
	// broken is set if the server closed the connection under the request.
	broken bool
}

// flight is a request that is being sent to servers.
type flight struct {
	en           *Entry
	rq           *request
	rt           *route.Route
	vw           *plan.View
	latency      *routeLatency
	services     []string
	head         []byte
	machine      *fanout.Machine
	hardDeadline time.Duration
	// target is when the response has to be sent to arrive within the route's target; minParts is
	// the least number of shards in it.
	target   time.Duration
	minParts int
	// admittedAt is when the request was admitted as arrived describes it; 0 without admission.
	// late is set if it was answered after its target or not served. lacked is set if it lacked
	// capacity, for the last time at lackedAt.
	admittedAt time.Duration
	arrived    admit.Arrival
	late       bool
	lacked     bool
	lackedAt   time.Duration
	// hedgeAfter is how long an attempt may take before a second server is asked.
	hedgeAfter time.Duration
	// firstSentAt is when the first attempts had been written.
	firstSentAt time.Duration
	// mailbox has room for the results of all attempts that there can be, so that reporting a
	// result never blocks on a slow client.
	mailbox chan attemptResult
	// joins receives the results that another VM collected; ctx ends with the request.
	joins          chan joinResult
	ctx            context.Context
	joinedAttempts int
	// brokenCount counts the attempts under which servers closed the connection, answeredCount
	// those that got a response. hintSent is set once other VMs have been notified.
	brokenCount, answeredCount int
	hintSent                   bool
	// joinFrom is the data centre whose servers are preferred for a shard, so that their
	// responses can be joined.
	joinFrom map[int]string
	// calls has a nil entry for each attempt that another VM sends.
	calls []*relay.Call
	// queued are the attempts that had to wait for a connection, in the order of sending.
	queued []int
	// check is the status check of servers before the request is sent; nil if there is none.
	check *steer.Check
	// onlyColdLeft is set if the only servers left of a shard were ones that are warming up.
	onlyColdLeft bool
	results      []attemptResult
}

// newFlight prepares a request to be sent to servers.
func (en *Entry) newFlight(rq *request, rt *route.Route, vw *plan.View) *flight {
	fl := &flight{en: en, rq: rq, rt: rt, vw: vw, head: en.head(rq), latency: en.latency.forRoute(rt)}
	fl.minParts = 1
	if rt.Gather != nil {
		fl.services = rt.Gather.Shards
		fl.minParts = rt.Gather.MinParts()
	} else if name, ok := rt.Draw(rand.Float64()); ok {
		fl.services = []string{name}
	}
	wait := rt.Timeout
	if rq.timeout > 0 {
		wait = min(wait, rq.timeout)
	}
	overhead := rq.transitTime + en.lead.LocalTime()
	if rq.forwarded {
		overhead += forwardOverhead
	}
	fl.hardDeadline = rq.began + wait - overhead
	fl.target = rq.began + rt.Target - overhead
	fl.hedgeAfter = fl.latency.hedgeDelay(overhead)
	hedgeAfter := fl.hedgeAfter
	if en.cfg.Off.Off(toggle.Hedges) {
		hedgeAfter = 0
	}
	maxAttempts := 0
	for _, name := range fl.services {
		// A server is asked again only after it refused, and no more often than the route
		// allows.
		maxAttempts += len(vw.Candidates(name)) + rt.MaxAttempts + fanout.SpareAttempts
	}
	fl.mailbox = make(chan attemptResult, maxAttempts)
	fl.machine = fanout.New(fanout.Config{
		Shards:       len(fl.services),
		MinParts:     fl.minParts,
		Idempotent:   rt.Idempotent,
		MaxAttempts:  rt.MaxAttempts,
		Target:       fl.target,
		HardDeadline: fl.hardDeadline,
		HedgeAfter:   hedgeAfter,
		MaxHedges:    fanout.MaxHedges(len(fl.services)),
		MinTimeLeft:  minAttemptTime,
		Suspect:      rq.suspect,
		TrialGap:     trialSettleTime,
		Blocked:      fl.blocked,
		Rand:         rand.Float64,
		Chooser:      fl,
		Budget:       fl,
		Capacity:     fl.capacity,
	})
	return fl
}

// run drives the fan-out machine until it has an answer.
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
	fl.checkStatus(clock())
	an, done := fl.perform(fl.start())
	// Later attempts are sent individually, so they need not prefer that data centre.
	fl.joinFrom = nil
	fl.firstSentAt = clock()
	fl.recordSent()
	if done {
		return an
	}
	wt := fl.newWakeTimer()
	defer wt.stop()
	ending := fl.en.ending.Done()
	for {
		var ev fanout.Event
		now := clock()
		select {
		case jr := <-fl.joins:
			if an, done = fl.perform(fl.applyJoin(jr)); done {
				return an
			}
			wt.reset()
			continue
		case ar := <-fl.mailbox:
			ev = fl.record(ar)
		case <-wt.timer.C:
			wt.recordLateness()
			fl.dropQueued()
			ev = fanout.Event{Kind: fanout.EvWake}
		case <-ending:
			ending = nil
			now, ev = fl.hardDeadline, fanout.Event{Kind: fanout.EvWake}
		case <-ctx.Done():
			ev = fanout.Event{Kind: fanout.EvClientGone}
		}
		if an, done = fl.perform(fl.machine.Step(max(now, clock()), ev)); done {
			return an
		}
		wt.reset()
	}
}

// start returns the machine's first actions. If the client left or this VM began to end during the
// status check, nothing is sent.
func (fl *flight) start() []fanout.Action {
	now := fl.en.cfg.Clock()
	switch {
	case fl.check != nil && fl.ctx.Err() != nil:
		return fl.machine.Step(now, fanout.Event{Kind: fanout.EvClientGone})
	case fl.check != nil && fl.en.ending.Err() != nil:
		now = fl.hardDeadline
	}
	return fl.machine.Start(now)
}

// record stores a result for the response and the log line, and returns the event for the
// machine.
func (fl *flight) record(ar attemptResult) fanout.Event {
	ar.at = fl.en.cfg.Clock()
	fl.results[ar.attempt] = ar
	fl.countResult(ar)
	fl.sendHint(minBrokenForHint)
	if ar.verdict == fanout.Served {
		fl.latency.observe(ar.rs.Took)
	}
	return fanout.Event{Kind: fanout.EvResult, Attempt: ar.attempt, Verdict: ar.verdict, Broken: ar.broken}
}

// perform carries out the machine's actions.
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
			fl.results = append(fl.results, attemptResult{})
			fl.calls = append(fl.calls, nil)
			sends = append(sends, ac)
		case fanout.ActDrop:
			fl.drop(ac, done && an.Outcome == fanout.OutcomeClientGone)
		}
	}
	fl.dispatch(sends)
	return an, done
}

func (fl *flight) drop(ac fanout.Action, gone bool) {
	linger := min(unneededLinger, max(0, fl.hardDeadline-fl.en.cfg.Clock()))
	if gone {
		linger = min(linger, clientGoneLinger)
	}
	if ca := fl.calls[ac.Attempt]; ca != nil {
		ca.Drop(linger)
	}
}

func (fl *flight) send(ac fanout.Action) {
	en, up, k := fl.en, ac.Upstream, ac.Attempt
	now := en.cfg.Clock()
	en.cfg.Meter.Count(meter.Sent, ac.Cause.String())
	if ac.Cause == fanout.CauseRetry {
		en.cfg.Meter.Count(meter.Retry, ac.After.String())
	}
	usual := fl.latency.usualLatency()
	en.cfg.Steer.Begin(now, usual, up.Process())
	fl.beginTrial(ac)
	mailbox := fl.mailbox
	gathered := fl.rt.Gather != nil
	fl.calls[k] = en.cfg.Relay.Send(up, relay.Request{
		ID:        fl.rq.id,
		Method:    fl.rq.method,
		Message:   func() []byte { return en.message(fl.head, fl.rq, up, now, fl.hardDeadline) },
		Priority:  fl.rq.priority(fl.rt),
		FreshConn: !fl.rt.Idempotent,
		AwaitConn: fl.isOnlyChoice(now, ac),
		Done: func(rs relay.Result) {
			ar := en.newAttemptResult(k, rs, gathered)
			en.settle(up, ar, now, usual)
			fl.reportAttempt(ac, ar)
			mailbox <- ar
		},
	})
	if fl.calls[k].Queued() {
		fl.queued = append(fl.queued, k)
	}
}

// recordLoad records a server's load report from a response. A report that cannot be parsed is
// ignored.
func (en *Entry) recordLoad(now time.Duration, up *origin.Upstream, rp *relay.Reply, took time.Duration) {
	text := rp.Header.Get(en.cfg.Names.Load)
	if text == "" {
		return
	}
	lo, err := en.cfg.Load(text)
	if err == nil {
		en.cfg.Steer.RecordLoad(now, up, lo, took)
		return
	}
	en.cfg.Meter.Count(meter.Upstream, "badLoad")
	if en.cfg.Steer.RecordUnreadableLoad(up.Process()) {
		en.cfg.Log.Warn().Str("server", up.ID).Str("load", text).Err(err).Msg("a server's load cannot be read; ignored")
	}
}

// settle reports what an attempt showed about its server to the server statistics and the
// window.
func (en *Entry) settle(up *origin.Upstream, ar attemptResult, sent, usual time.Duration) {
	now := en.cfg.Clock()
	if ar.rs.Reply != nil {
		en.recordLoad(now, up, ar.rs.Reply, ar.rs.Took)
	}
	if ar.rs.Reply != nil && up.DataCentre != en.cfg.DataCentre {
		en.noteRemoteAnswer(now)
	}
	if ar.rs.Err != nil {
		en.cfg.Meter.Count(meter.Upstream, string(ar.rs.Err.Kind))
		if !ar.rs.Err.Sent || ar.rs.Err.Kind == relay.KindDropped {
			en.cfg.Steer.Withdraw(now, up.Process(), now-sent)
			return
		}
		if up.DataCentre != en.cfg.DataCentre {
			en.remoteLost.Add(1)
		}
	} else if ar.verdict != fanout.Served {
		en.cfg.Meter.Count(meter.Upstream, ar.verdict.String())
	}
	window := en.cfg.Steer.End(now, up.Process(), steer.Result{
		Verdict:        ar.verdict,
		Latency:        ar.rs.Took,
		UsualLatency:   usual,
		MaxConnections: en.cfg.View().Limits(up).Max,
	})
	if !en.cfg.Off.Off(toggle.Windows) {
		en.cfg.Relay.SetWindow(up, window)
	}
}
