package entry

import (
	"math/rand/v2"
	"time"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/plan"
	"laburnumvane/core/steer"
	"laburnumvane/core/toggle"
	"laburnumvane/io/meter"
)

// Pick chooses a server of a shard. A server that is warming up gets a request only if no other
// server is left, and only as the first one of that shard: retries and hedges would use up the
// few requests that such a server can bear.
func (fl *flight) Pick(now time.Duration, pr fanout.PickRequest) (*origin.Upstream, bool) {
	warm, cold := fl.warmAndCold(now, pr.Shard)
	if pr.Trial {
		if up, ok := fl.pick(now, pr.Shard, warm, fl.withOnTrial(warm, pr.Tried)); ok {
			return up, true
		}
	}
	if up, ok := fl.pickWarm(now, pr, warm); ok || !pr.First || len(cold) == 0 {
		return up, ok
	}
	return fl.pickCold(now, pr, cold)
}

func (fl *flight) pick(now time.Duration, shard int, ups, tried []*origin.Upstream) (*origin.Upstream, bool) {
	rk := steer.RequestKind{UsualLatency: fl.latency.usualLatency(), Slack: fl.hedgeAfter, JoinDataCentre: fl.joinFrom[shard], UseLoadReports: !fl.rt.Idempotent}
	return fl.en.cfg.Steer.Pick(now, rk, ups, tried, rand.Float64)
}

// withOnTrial returns tried and the servers at which another suspect request is on trial: if
// such a server crashed, it would not be clear which of the two requests was the cause.
func (fl *flight) withOnTrial(ups, tried []*origin.Upstream) []*origin.Upstream {
	avoid := append([]*origin.Upstream(nil), tried...)
	for _, up := range ups {
		if fl.en.cfg.Poison.HasTrial(up.Process()) {
			avoid = append(avoid, up)
		}
	}
	return avoid
}

// warmAndCold returns the servers of a shard as they are known now. Those that are warming up
// and accept only a few requests meanwhile are returned as cold.
func (fl *flight) warmAndCold(now time.Duration, shard int) (warm, cold []*origin.Upstream) {
	ups, vw := fl.candidates(shard), fl.en.cfg.View()
	if fl.en.mayMissWarmUp(vw, fl.services[shard]) {
		return nil, nil
	}
	if !vw.HasWarming(fl.services[shard]) {
		return ups, nil
	}
	warm = make([]*origin.Upstream, 0, len(ups))
	for _, up := range ups {
		if vw.IsWarming(now, up) {
			cold = append(cold, up)
		} else {
			warm = append(warm, up)
		}
	}
	return warm, cold
}

// mayMissWarmUp reports whether servers of a service may be warming up without this VM knowing,
// because its copy of the store is not up to date.
func (en *Entry) mayMissWarmUp(vw *plan.View, service string) bool {
	return vw.StaleStateMatters() && en.cfg.WarmUp.Stale(en.cfg.Clock()) && vw.LimitsWarmUp(service)
}

// candidates returns the servers that were candidates when the request arrived, in their
// current state. A server may have announced its shutdown or begun to warm up since then.
func (fl *flight) candidates(shard int) []*origin.Upstream {
	vw := fl.en.cfg.View()
	ups := fl.vw.FilterByRegion(fl.rt, fl.vw.Candidates(fl.services[shard]))
	if vw == fl.vw {
		return ups
	}
	current := make([]*origin.Upstream, 0, len(ups))
	for _, up := range ups {
		if cur, ok := vw.Upstreams().Find(up.ID); ok && cur.Process() == up.Process() {
			current = append(current, cur)
		}
	}
	return current
}

// pickCold chooses one of the servers that are warming up. If this VM may not send to a server
// directly, it asks the server's owner, which may decline.
func (fl *flight) pickCold(now time.Duration, pr fanout.PickRequest, cold []*origin.Upstream) (*origin.Upstream, bool) {
	denied := append([]*origin.Upstream(nil), pr.Tried...)
	for {
		up, ok := fl.pick(now, pr.Shard, cold, denied)
		if !ok {
			fl.onlyColdLeft = true
			return nil, false
		}
		wa, _ := fl.en.cfg.View().Warming(now, up)
		switch {
		case wa.Self && fl.en.admitCold(now, up):
			return up, true
		case !wa.Self && fl.mayAskOwner(now, up, wa.Owner):
			return up, true
		}
		denied = append(denied, up)
	}
}

// mayAskOwner reports whether a server's owner may be asked to send this request.
func (fl *flight) mayAskOwner(now time.Duration, up, owner *origin.Upstream) bool {
	if fl.en.cfg.Off.Off(toggle.Asks) {
		return false
	}
	return fl.rt.Gather != nil && fl.vw.Allows(fl.rt, owner.DataCentre) && fl.en.cfg.WarmUp.MayAskOwner(now, up.Process())
}

// admitCold reports whether a request may be sent to a server that may be warming up. If the
// server is, the request counts against its limit.
func (en *Entry) admitCold(now time.Duration, up *origin.Upstream) bool {
	wa, bound := en.cfg.View().Warming(now, up)
	if !bound {
		return true
	}
	ok := wa.Self && now >= up.ColdKnownFrom && en.cfg.WarmUp.Allow(now, up.Process(), wa.MaxPerSecond)
	if ok {
		en.cfg.Meter.Count(meter.Sent, "warming")
	} else {
		en.cfg.Meter.Count(meter.Upstream, "warming")
	}
	return ok
}

// dispatchCold sends the attempts at servers that are warming up through the owners of these
// servers, and returns the other attempts.
func (fl *flight) dispatchCold(sends []fanout.Action) []fanout.Action {
	now, vw := fl.en.cfg.Clock(), fl.en.cfg.View()
	rest := sends[:0]
	groups := make(map[string][]fanout.Action)
	for _, ac := range sends {
		wa, bound := vw.Warming(now, ac.Upstream)
		switch {
		case !bound:
			rest = append(rest, ac)
		case wa.Self:
			fl.send(ac)
		default:
			groups[wa.Owner.Addr] = append(groups[wa.Owner.Addr], ac)
		}
	}
	for _, group := range groups {
		wa, _ := vw.Warming(now, group[0].Upstream)
		fl.join([]*origin.Upstream{wa.Owner}, group)
	}
	return rest
}

// sendUnjoined sends an attempt that no VM accepted to join. If only the server's owner may
// send it, the attempt ends as not sent.
func (fl *flight) sendUnjoined(ac fanout.Action) {
	now := fl.en.cfg.Clock()
	if !fl.en.cfg.View().IsWarming(now, ac.Upstream) {
		fl.send(ac)
		return
	}
	fl.recordOwnerReply(now, ac.Upstream, false)
	fl.mailbox <- attemptResult{attempt: ac.Attempt, verdict: fanout.Unsent}
}

// recordOwnerReply records whether the owner of a server that is warming up sent an attempt.
func (fl *flight) recordOwnerReply(now time.Duration, up *origin.Upstream, sent bool) {
	if fl.en.cfg.View().IsWarming(now, up) {
		fl.en.cfg.WarmUp.RecordReply(now, up.Process(), sent)
	}
}

// timeUntilWarm returns the time until every shard that has only cold servers has a warm one.
// It is at least retryAfterBusy.
func (fl *flight) timeUntilWarm(now time.Duration) time.Duration {
	last := time.Duration(0)
	for shard := range fl.services {
		warm, cold := fl.warmAndCold(now, shard)
		if len(warm) > 0 || len(cold) == 0 {
			continue
		}
		first := cold[0].ColdUntil
		for _, up := range cold {
			first = min(first, up.ColdUntil)
		}
		last = max(last, first)
	}
	return max(retryAfterBusy, last-now)
}
