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

// Pick chooses a server of a shard. A server that warms up gets a request only where no other
// is left, and only as the first one of that shard: what comes again would take from the few
// that such a server bears.
func (fl *flight) Pick(now time.Duration, ask fanout.Ask) (*origin.Upstream, bool) {
	warm, cold := fl.choices(now, ask.Shard)
	if ask.Trial {
		if up, ok := fl.pick(now, ask.Shard, warm, fl.onTrial(warm, ask.Tried)); ok {
			return up, true
		}
	}
	if up, ok := fl.pickChecked(now, ask, warm); ok {
		return up, true
	}
	if up, ok := fl.pick(now, ask.Shard, warm, ask.Tried); ok || !ask.First || len(cold) == 0 {
		return up, ok
	}
	return fl.pickCold(now, ask, cold)
}

func (fl *flight) pick(now time.Duration, shard int, ups, tried []*origin.Upstream) (*origin.Upstream, bool) {
	ki := steer.Kind{Usual: fl.pace.takes(), Slack: fl.hedgeAfter, Joined: fl.together[shard], Told: !fl.rt.Idempotent}
	return fl.en.cfg.Steer.Pick(now, ki, ups, tried, rand.Float64)
}

// onTrial adds the servers at which another request is being tried: the end of one would not
// show which of the two it was.
func (fl *flight) onTrial(ups, tried []*origin.Upstream) []*origin.Upstream {
	avoid := append([]*origin.Upstream(nil), tried...)
	for _, up := range ups {
		if fl.en.cfg.Poison.OnTrial(up.Process()) {
			avoid = append(avoid, up)
		}
	}
	return avoid
}

// choices are the servers of a shard as they are known now, those apart that warm up and bear
// few requests meanwhile.
func (fl *flight) choices(now time.Duration, shard int) (warm, cold []*origin.Upstream) {
	ups, vw := fl.candidates(shard), fl.en.cfg.View()
	if fl.en.blindTo(vw, fl.services[shard]) {
		return nil, nil
	}
	if !vw.Warms(fl.services[shard]) {
		return ups, nil
	}
	warm = make([]*origin.Upstream, 0, len(ups))
	for _, up := range ups {
		if vw.WarmsUp(now, up) {
			cold = append(cold, up)
		} else {
			warm = append(warm, up)
		}
	}
	return warm, cold
}

// blindTo tells whether servers of a service may be cold without this VM's knowing.
func (en *Entry) blindTo(vw *plan.View, service string) bool {
	return vw.BlindMatters() && en.cfg.Ramp.Blind(en.cfg.Clock()) && vw.Bounds(service)
}

// candidates are the servers that could be asked when the request came, as they are known now:
// one may have announced its end meanwhile, or have turned cold.
func (fl *flight) candidates(shard int) []*origin.Upstream {
	vw := fl.en.cfg.View()
	ups := fl.vw.Within(fl.rt, fl.vw.Candidates(fl.services[shard]))
	if vw == fl.vw {
		return ups
	}
	current := make([]*origin.Upstream, 0, len(ups))
	for _, up := range ups {
		if is, ok := vw.Upstreams().Find(up.ID); ok && is.Process() == up.Process() {
			current = append(current, is)
		}
	}
	return current
}

// pickCold chooses one of the servers that warm up. Where this VM does not send to it itself,
// its owner is asked, which may still deny it.
func (fl *flight) pickCold(now time.Duration, ask fanout.Ask, cold []*origin.Upstream) (*origin.Upstream, bool) {
	denied := append([]*origin.Upstream(nil), ask.Tried...)
	for {
		up, ok := fl.pick(now, ask.Shard, cold, denied)
		if !ok {
			fl.cold = true
			return nil, false
		}
		wa, _ := fl.en.cfg.View().Warming(now, up)
		switch {
		case wa.Self && fl.en.admitCold(now, up):
			return up, true
		case !wa.Self && fl.mayAsk(now, up, wa.Owner):
			return up, true
		}
		denied = append(denied, up)
	}
}

// mayAsk tells whether a server's owner may be asked to send this request.
func (fl *flight) mayAsk(now time.Duration, up, owner *origin.Upstream) bool {
	if fl.en.cfg.Off.Off(toggle.Asks) {
		return false
	}
	return fl.rt.Gather != nil && fl.vw.Allows(fl.rt, owner.DataCentre) && fl.en.cfg.Ramp.MayAsk(now, up.Process())
}

// admitCold tells whether a request may be sent to a server that may be warming up, and counts
// it.
func (en *Entry) admitCold(now time.Duration, up *origin.Upstream) bool {
	wa, bound := en.cfg.View().Warming(now, up)
	if !bound {
		return true
	}
	ok := wa.Self && now >= up.ColdFrom && en.cfg.Ramp.Take(now, up.Process(), wa.Most)
	if ok {
		en.cfg.Meter.Count(meter.Sent, "warming")
	} else {
		en.cfg.Meter.Count(meter.Upstream, "warming")
	}
	return ok
}

// dispatchCold sends what goes to servers that warm up, through their owners, and returns the
// rest.
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

// sendJoined sends an attempt that no VM took to join; one that only its server's owner may
// send comes back as not sent.
func (fl *flight) sendJoined(ac fanout.Action) {
	now := fl.en.cfg.Clock()
	if !fl.en.cfg.View().WarmsUp(now, ac.Upstream) {
		fl.send(ac)
		return
	}
	fl.noteAsked(now, ac.Upstream, false)
	fl.mailbox <- arrival{attempt: ac.Attempt, verdict: fanout.Unsent}
}

// noteAsked notes whether the owner of a server that warms up sent an attempt.
func (fl *flight) noteAsked(now time.Duration, up *origin.Upstream, sent bool) {
	if fl.en.cfg.View().WarmsUp(now, up) {
		fl.en.cfg.Ramp.Asked(now, up.Process(), sent)
	}
}

// warmIn is when each shard that has only cold servers will have a warm one.
func (fl *flight) warmIn(now time.Duration) time.Duration {
	last := time.Duration(0)
	for shard := range fl.services {
		warm, cold := fl.choices(now, shard)
		if len(warm) > 0 || len(cold) == 0 {
			continue
		}
		first := cold[0].ColdUntil
		for _, up := range cold {
			first = min(first, up.ColdUntil)
		}
		last = max(last, first)
	}
	return max(backSoon, last-now)
}
