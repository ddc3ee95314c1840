package drive

import (
	"context"
	"time"

	"laburnumvane/core/limit"
	"laburnumvane/core/search"
	"laburnumvane/core/team"
	"laburnumvane/core/view"
	"laburnumvane/io/meter"
	"laburnumvane/io/wire"
)

// Reasons for which this VM itself refuses a search.
const (
	ReasonBadRequest    = "badRequest"
	ReasonNoConfig      = "noConfig"
	ReasonUnknownSearch = "unknownSearch"
	ReasonNoUpstreams   = "noUpstreams"
	ReasonTicketNeeded  = "ticketNeeded"
)

const (
	// lostDelayFactor times the hedge delay is the time after which an attempt counts as lost.
	lostDelayFactor = 3
	// maxReplyTimeDivisor bounds the time that a reply is assumed to need: the search's time
	// divided by it. Without the bound a period of slow replies could stop all sending, and
	// then no reply would show that the period has ended.
	maxReplyTimeDivisor = 4
	minSendTime         = time.Millisecond
	// defaultRetryAfter is sent to callers whose search did not run if no server gave a time.
	defaultRetryAfter = time.Second
	defaultHitLimit   = 100
)

// Search runs a caller's search and returns its answer. It counts and measures the search.
func (dr *Driver) Search(ctx context.Context, rq wire.SearchRequest) wire.SearchAnswer {
	start := time.Now()
	dr.active.Add(1)
	dr.inFlight.Add(1)
	defer dr.active.Done()
	defer dr.inFlight.Add(-1)
	an := dr.search(ctx, rq)
	an.ID = rq.ID
	if an.Hits == nil {
		an.Hits = []wire.Hit{}
	}
	elapsed := time.Since(start)
	an.ElapsedMs = float64(elapsed.Microseconds()) / 1000
	dr.cfg.Meter.Count(meter.Outcome, string(an.Outcome))
	dr.cfg.Meter.Observe(meter.SearchLatency, elapsed)
	return an
}

// search checks the ticket before the configuration. A VM without the team's configuration, such
// as a new one, must not answer notRun to a caller that repeats a search with a ticket: an earlier
// attempt may have run on another VM, and only the ticket's issuer knows.
func (dr *Driver) search(ctx context.Context, rq wire.SearchRequest) wire.SearchAnswer {
	if rq.Ticket != "" {
		return dr.withTicket(ctx, rq)
	}
	return dr.runConfigured(ctx, rq)
}

// runConfigured runs a search according to its team's configuration.
func (dr *Driver) runConfigured(ctx context.Context, rq wire.SearchRequest) wire.SearchAnswer {
	vw := dr.cfg.View()
	tm, ok := vw.Team(rq.Team)
	if !ok {
		return dr.refuse(ReasonNoConfig, "this VM holds no configuration of team "+rq.Team)
	}
	conf, ok := tm.Document.Searches[rq.Search]
	if !ok {
		return dr.refuse(ReasonUnknownSearch, "team "+rq.Team+" has no search "+rq.Search)
	}
	if rq.Register != "" && rq.Register != conf.Register {
		return dr.refuse(ReasonBadRequest, "search "+rq.Search+" is over register "+conf.Register)
	}
	once := conf.NeverRepeat || rq.Repeat == wire.RepeatNever
	if once && rq.Ticket == "" {
		return dr.refuse(ReasonTicketNeeded, "a search that must not be repeated needs a ticket")
	}
	// With a ticket every search runs at most once, also one that may be repeated.
	return dr.execute(ctx, vw, rq, conf, rq.Ticket != "")
}

// execute runs a search on this VM.
func (dr *Driver) execute(ctx context.Context, vw *view.View, rq wire.SearchRequest, conf team.Search, once bool) wire.SearchAnswer {
	rg, ok := vw.Register(view.RegisterKey{Team: rq.Team, Register: conf.Register})
	if !ok {
		return dr.refuse(ReasonNoUpstreams, "no upstream of register "+conf.Register+" has been seen yet")
	}
	sn, ok := rg.Pin(dr.liveFilter(vw))
	if !ok {
		return dr.refuse(ReasonNoUpstreams, "no snapshot of register "+conf.Register+" is known yet")
	}
	if conf.HitLimit == 0 {
		conf.HitLimit = defaultHitLimit
	}
	as, refusal := dr.admission.admit(ctx, vw, rq, conf, sn.Shards())
	if refusal != nil {
		return *refusal
	}
	kd := dr.kindOf(kindKey{rq.Team, rq.Search}, conf)
	se := &session{
		admitted: as,
		dr:       dr,
		vw:       vw,
		rq:       rq,
		kd:       kd,
		register: conf.Register,
		once:     once,
	}
	cf := dr.searchConfig(vw, rq, kd, sn, once)
	cf.SoftDeadline -= as.waited
	cf.HardDeadline -= as.waited
	se.prepare(cf.ID, cf.HardDeadline, sn.Shards())
	se.machine = search.New(cf)
	an := se.run(ctx)
	as.finish(an.Reason == ReasonNoWorker)
	return wireAnswer(an)
}

func (dr *Driver) searchConfig(vw *view.View, rq wire.SearchRequest, kd *searchKind, sn view.Snapshot, once bool) search.Config {
	now := dr.now()
	hard := dr.timeLimitOf(rq, kd.conf)
	minCoverage := kd.conf.MinCoverage
	if rq.MinCoverage != nil {
		minCoverage = *rq.MinCoverage
	}
	number := dr.lastNumber.Add(1)
	delay := time.Duration(0)
	if kd.conf.Hedge.Quantile > 0 {
		delay = kd.tracker.Delay()
	}
	return search.Config{
		ID:            number,
		Snapshot:      sn,
		Newer:         dr.newerSnapshot(rq.Team, kd.conf.Register),
		SoftDeadline:  now + min(hard, kd.conf.SoftDeadline()),
		HardDeadline:  now + hard,
		MinCoverage:   minCoverage,
		AtMostOnce:    once,
		HitLimit:      kd.conf.HitLimit,
		Chooser:       dr.chooser(now, vw, number, once),
		HedgeDelay:    delay,
		LostDelay:     lostDelayFactor * delay,
		HedgeBudget:   limit.HedgeBudget(kd.hedges, dr.admission.extra),
		RetryBudget:   limit.RetryBudget(kd.retries, dr.admission.extra),
		RetryPerShard: kd.conf.Retry.PerShard,
		MinTimeLeft:   max(minSendTime, min(kd.tracker.LowQuantile(), hard/maxReplyTimeDivisor)),
	}
}

// newerSnapshot returns a function that looks for a newer snapshot in the current view, not in the
// view that the search started with.
func (dr *Driver) newerSnapshot(teamName, register string) func(uint64) (view.Snapshot, bool) {
	return func(version uint64) (view.Snapshot, bool) {
		vw := dr.cfg.View()
		rg, ok := vw.Register(view.RegisterKey{Team: teamName, Register: register})
		if !ok {
			return view.Snapshot{}, false
		}
		return rg.NewerComplete(version, dr.liveFilter(vw))
	}
}

func (dr *Driver) liveFilter(vw *view.View) func(view.ServerID) bool {
	return func(id view.ServerID) bool {
		return !vw.Server(id).State.Leaving()
	}
}

func (dr *Driver) refuse(reason, message string) wire.SearchAnswer {
	dr.cfg.Meter.Count(meter.Refusal, reason)
	return wire.SearchAnswer{Outcome: wire.OutcomeNotRun, Reason: reason, Message: message}
}

func wireAnswer(an *search.Answer) wire.SearchAnswer {
	out := wire.SearchAnswer{
		Outcome:   wireOutcome(an.Outcome),
		Reason:    an.Reason,
		Snapshot:  an.Snapshot,
		Hits:      an.Hits,
		Truncated: an.Truncated,
		Coverage:  wire.Coverage{Shards: an.Shards, Answered: an.Answered},
		Work:      wire.Work{Primaries: an.Primaries, Hedges: an.Hedges, Retries: an.Retries},
	}
	if an.Outcome != search.OutcomeComplete {
		out.RetryAfterMs = retryAfter(an).Milliseconds()
	}
	if an.Shards > 0 {
		out.Coverage.Share = float64(an.Answered) / float64(an.Shards)
	}
	return out
}

func retryAfter(an *search.Answer) time.Duration {
	if an.RetryAfter == 0 && an.Outcome == search.OutcomeNotRun {
		return defaultRetryAfter
	}
	return an.RetryAfter
}

// isElsewhere reports whether a refusal means that the server is leaving or does not hold the
// shard, rather than that it lacks capacity.
func isElsewhere(rf wire.Refusal) bool {
	return rf == wire.RefusalDraining || rf == wire.RefusalNotHeld || rf == wire.RefusalCold
}

func wireOutcome(oc search.Outcome) wire.Outcome {
	switch oc {
	case search.OutcomeComplete:
		return wire.OutcomeComplete
	case search.OutcomePartial:
		return wire.OutcomePartial
	case search.OutcomeNotRun:
		return wire.OutcomeNotRun
	default:
		return wire.OutcomeUnknown
	}
}
