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

// Reasons of searches that this VM refuses itself.
const (
	ReasonBadRequest = "badRequest"
	ReasonNoConfig   = "noConfig"
	ReasonNoSearch   = "unknownSearch"
	ReasonNoRegister = "noUpstreams"
	ReasonTicket     = "ticketNeeded"
)

const (
	// lostTimes the hedge delay, an attempt counts as lost.
	lostTimes = 3
	// leastShare of the time that a search has is the most that a reply is
	// taken to need. Else a spell of slow replies could stop all sending, and
	// with it the replies that show its end.
	leastShare    = 4
	leastSendTime = time.Millisecond
	// defaultRetryAfter is what a caller whose search did not run is told
	// where no server gave a hint of its own.
	defaultRetryAfter = time.Second
	defaultHits       = 100
)

// Search takes one search of a caller to its answer.
func (dr *Driver) Search(ctx context.Context, rq wire.SearchRequest) wire.SearchAnswer {
	begun := time.Now()
	dr.active.Add(1)
	dr.flight.Add(1)
	defer dr.active.Done()
	defer dr.flight.Add(-1)
	an := dr.search(ctx, rq)
	an.ID = rq.ID
	if an.Hits == nil {
		an.Hits = []wire.Hit{}
	}
	elapsed := time.Since(begun)
	an.ElapsedMs = float64(elapsed.Microseconds()) / 1000
	dr.cfg.Meter.Count(meter.Outcome, string(an.Outcome))
	dr.cfg.Meter.Observe(meter.SearchLatency, elapsed)
	return an
}

// search looks at a ticket before anything else: a VM that lacks the team's
// configuration, as one just replaced may, must not tell a caller that comes
// back with a ticket that its search did not run. An earlier attempt may have,
// elsewhere; only the ticket's issuer knows.
func (dr *Driver) search(ctx context.Context, rq wire.SearchRequest) wire.SearchAnswer {
	if rq.Ticket != "" {
		return dr.withTicket(ctx, rq)
	}
	return dr.configured(ctx, rq)
}

// configured runs a search as its team's configuration says.
func (dr *Driver) configured(ctx context.Context, rq wire.SearchRequest) wire.SearchAnswer {
	vw := dr.cfg.View()
	tm, ok := vw.Team(rq.Team)
	if !ok {
		return dr.refuse(ReasonNoConfig, "this VM holds no configuration of team "+rq.Team)
	}
	conf, ok := tm.Document.Searches[rq.Search]
	if !ok {
		return dr.refuse(ReasonNoSearch, "team "+rq.Team+" has no search "+rq.Search)
	}
	if rq.Register != "" && rq.Register != conf.Register {
		return dr.refuse(ReasonBadRequest, "search "+rq.Search+" is over register "+conf.Register)
	}
	once := conf.NeverRepeat || rq.Repeat == wire.RepeatNever
	if once && rq.Ticket == "" {
		return dr.refuse(ReasonTicket, "a search that must not be repeated needs a ticket")
	}
	// A ticket asks for at most one run, also of a search that need not.
	return dr.execute(ctx, vw, rq, conf, rq.Ticket != "")
}

// execute runs a search here.
func (dr *Driver) execute(ctx context.Context, vw *view.View, rq wire.SearchRequest, conf team.Search, once bool) wire.SearchAnswer {
	rg, ok := vw.Register(view.RegisterKey{Team: rq.Team, Register: conf.Register})
	if !ok {
		return dr.refuse(ReasonNoRegister, "no upstream of register "+conf.Register+" has been seen yet")
	}
	sn, ok := rg.Pin(dr.live(vw))
	if !ok {
		return dr.refuse(ReasonNoRegister, "no snapshot of register "+conf.Register+" is known yet")
	}
	if conf.HitLimit == 0 {
		conf.HitLimit = defaultHits
	}
	ps, refusal := dr.admission.enter(ctx, vw, rq, conf, sn.Shards())
	if refusal != nil {
		return *refusal
	}
	kd := dr.kindOf(kindKey{rq.Team, rq.Search}, conf)
	se := &session{
		pass:     ps,
		dr:       dr,
		vw:       vw,
		rq:       rq,
		kd:       kd,
		register: conf.Register,
		once:     once,
	}
	cf := dr.planOf(vw, rq, kd, sn, once)
	cf.Soft -= ps.waited
	cf.Hard -= ps.waited
	se.open(cf.Number, cf.Hard, sn.Shards())
	se.machine = search.New(cf)
	an := se.run(ctx)
	ps.leave(an.Reason == ReasonWorkers)
	return answerOf(an)
}

func (dr *Driver) planOf(vw *view.View, rq wire.SearchRequest, kd *kind, sn view.Snapshot, once bool) search.Config {
	now := dr.now()
	hard := dr.budgetOf(rq, kd.conf)
	least := kd.conf.MinCoverage
	if rq.MinCoverage != nil {
		least = *rq.MinCoverage
	}
	number := dr.numbers.Add(1)
	delay := time.Duration(0)
	if kd.conf.Hedge.Quantile > 0 {
		delay = kd.tracker.Delay()
	}
	return search.Config{
		Number:        number,
		Snapshot:      sn,
		Newer:         dr.newer(rq.Team, kd.conf.Register),
		Soft:          now + min(hard, kd.conf.SoftDeadline()),
		Hard:          now + hard,
		MinCoverage:   least,
		Once:          once,
		HitLimit:      kd.conf.HitLimit,
		Chooser:       dr.chooser(now, vw, number, once),
		HedgeDelay:    delay,
		LostDelay:     lostTimes * delay,
		HedgeBudget:   limit.Hedges(kd.hedges, dr.admission.spare),
		RetryBudget:   limit.Retries(kd.retries, dr.admission.spare),
		RetryPerShard: kd.conf.Retry.PerShard,
		LeastTime:     max(leastSendTime, min(kd.tracker.Least(), hard/leastShare)),
	}
}

// newer looks at the view of the moment, not at the one the search began with.
func (dr *Driver) newer(teamName, register string) func(uint64) (view.Snapshot, bool) {
	return func(version uint64) (view.Snapshot, bool) {
		vw := dr.cfg.View()
		rg, ok := vw.Register(view.RegisterKey{Team: teamName, Register: register})
		if !ok {
			return view.Snapshot{}, false
		}
		return rg.Newer(version, dr.live(vw))
	}
}

func (dr *Driver) live(vw *view.View) func(view.ServerID) bool {
	return func(id view.ServerID) bool {
		return !vw.Server(id).State.Leaving()
	}
}

func (dr *Driver) refuse(reason, message string) wire.SearchAnswer {
	dr.cfg.Meter.Count(meter.Refusal, reason)
	return wire.SearchAnswer{Outcome: wire.OutcomeNotRun, Reason: reason, Message: message}
}

func answerOf(an *search.Answer) wire.SearchAnswer {
	out := wire.SearchAnswer{
		Outcome:   outcomeName(an.Outcome),
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

// elsewhere tells whether a refusal says that the server is leaving or does not
// hold the shard, and nothing of a lack of room.
func elsewhere(rf wire.Refusal) bool {
	return rf == wire.RefusalDraining || rf == wire.RefusalNotHeld || rf == wire.RefusalCold
}

func outcomeName(oc search.Outcome) wire.Outcome {
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
