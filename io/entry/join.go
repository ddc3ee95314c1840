package entry

import (
	"math/rand/v2"
	"net/http"
	"time"

	"laburnumvane/core/cover"
	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/steer"
	"laburnumvane/core/toggle"
	"laburnumvane/io/carry"
	"laburnumvane/io/inner"
	"laburnumvane/io/meter"
	"laburnumvane/io/relay"
)

// A gather whose servers stand in several data centres has a VM there send the
// requests to those of its own, and gets their answers back as one: the greatest
// records of all of them, and each one's receipt. With half of 36 servers
// elsewhere, 62 VMs sent 17 MB between data centres in 44 s and not 29.
//
// Which servers are asked, and what follows where one is late, is decided here
// alone; the other VM sends and waits. An answer that comes back joined is taken
// whole or not at all.

const (
	// joinLeast is the least number of servers in a data centre for which the
	// hop is worth it. With 3 in place of 5 a fleet of eight equal VMs at its
	// limit answered 88 of 100 requests and not 92.
	joinLeast = 5
	// joinWait is the share of the wait for a late server after which the other VM
	// answers with what it has; the rest is for the way back, before a second
	// server is asked.
	joinWait = 0.8
	// joinSlack is what the way there and back may take beyond the wait for a
	// late server. After it other servers are asked: the VM stands still.
	joinSlack = 6 * time.Millisecond
)

// planJoins chooses from where the shards that have no sound server here are best
// answered together.
func (fl *flight) planJoins(now time.Duration) {
	if fl.rt.Gather == nil || len(fl.services) < joinLeast || fl.en.cfg.Off.Off(toggle.Joins) {
		return
	}
	var pl cover.Planner
	for shard := range fl.services {
		warm, _ := fl.choices(now, shard)
		if near, places := fl.en.cfg.Steer.SoundPlaces(now, warm); !near {
			pl.Need(shard, places)
		}
	}
	fl.together = pl.Choose(joinLeast, rand.Float64)
}

// dispatch sends first attempts of a gather, joined where that is worth it.
func (fl *flight) dispatch(sends []fanout.Action) {
	sends = fl.dispatchCold(sends)
	if fl.rt.Gather == nil || len(sends) < joinLeast || fl.en.cfg.Off.Off(toggle.Joins) {
		for _, ac := range sends {
			fl.send(ac)
		}
		return
	}
	groups := make(map[string][]fanout.Action)
	for _, ac := range sends {
		place := fl.joinPlace(ac)
		groups[place] = append(groups[place], ac)
	}
	for place, group := range groups {
		joiners := fl.vw.Joiners(place)
		if place != "" && len(group) >= joinLeast && len(joiners) > 0 {
			fl.join(joiners, group)
			continue
		}
		for _, ac := range group {
			fl.send(ac)
		}
	}
}

// joinPlace is the data centre in which an attempt may be joined with others;
// empty if it is sent from here. A server that may be late or refuse is asked from
// here: the answers joined with its own would wait for it, and what it refuses
// would be asked for elsewhere only after that.
func (fl *flight) joinPlace(ac fanout.Action) string {
	up, en := ac.Upstream, fl.en
	if ac.Cause != fanout.CauseFirst || up.DataCentre == en.cfg.DataCentre || !en.cfg.Steer.Sound(en.cfg.Clock(), up.Process()) {
		return ""
	}
	return up.DataCentre
}

// join has a VM of their data centre send a group of attempts.
func (fl *flight) join(joiners []*origin.Upstream, group []fanout.Action) {
	en := fl.en
	now, usual := en.cfg.Clock(), fl.pace.takes()
	late := fl.hedgeAfter
	rq := &inner.JoinRequest{
		Request:  en.carryRequest(fl.rq, fl.rt, now),
		Limit:    uint32(fl.rt.Gather.Limit),
		Priority: uint32(fl.rt.Priority),
		WaitUs:   uint64(joinWait * float64(late.Microseconds())),
		UsualUs:  uint64(usual.Microseconds()),
	}
	rq.Request.LeftUs = uint64((fl.hard - now).Microseconds())
	for _, ac := range group {
		rq.Servers = append(rq.Servers, ac.Upstream.ID)
		fl.machine.Hold(ac.Attempt, now+late+joinSlack)
		en.cfg.Steer.Begin(now, usual, ac.Upstream.Process())
		en.cfg.Meter.Count(meter.Sent, "joined")
	}
	fl.joined += len(group)
	go fl.askJoined(joiners, group, now, rq)
}

// askJoined gets a group's answer, and then what it left out.
func (fl *flight) askJoined(joiners []*origin.Upstream, group []fanout.Action, sent time.Duration, rq *inner.JoinRequest) {
	en := fl.en
	rp, vm, err := en.cfg.Homes.Join(fl.ctx, joiners, microseconds(rq.GetUsualUs()), rq)
	switch {
	case err != nil && !carry.MayHaveRun(err):
		for _, ac := range group {
			en.cfg.Steer.Withdraw(en.cfg.Clock(), ac.Upstream.Process(), 0)
		}
		fl.joins <- joinResult{open: group, unsent: true}
		return
	case err != nil:
		fl.joins <- joinResult{arrivals: fl.lostAll(group, sent, err)}
		return
	}
	jr := fl.unjoin(group, rp)
	fl.joins <- jr
	if len(jr.open) == 0 {
		return
	}
	rest, err := en.cfg.Homes.Follow(fl.ctx, vm, rp.GetMore())
	if err != nil {
		for _, ar := range fl.lostAll(jr.open, sent, err) {
			fl.mailbox <- ar
		}
		return
	}
	for _, ac := range jr.open {
		fl.mailbox <- fl.late(group, ac, rest)
	}
}

// joinResult is a joined answer: the attempts that are through, and those that
// are not.
type joinResult struct {
	arrivals []arrival
	open     []fanout.Action
	// unsent is set if no VM took the group: the open ones are sent from here.
	unsent bool
}

// unjoin makes a group's results out of another VM's reply.
func (fl *flight) unjoin(group []fanout.Action, rp *inner.JoinReply) joinResult {
	parts := make(map[int]*inner.JoinPart, len(group))
	for _, pa := range rp.GetParts() {
		parts[int(pa.GetServer())] = pa
	}
	records := rp.GetRecords()
	var jr joinResult
	for k, ac := range group {
		pa, ok := parts[k]
		if !ok {
			jr.open = append(jr.open, ac)
			continue
		}
		body := []byte(nil)
		if pa.GetVerdict() == inner.Verdict_SERVED {
			// The records of all parts stand in the first of them: all of them
			// are taken, or none.
			body, records = records, nil
		}
		jr.arrivals = append(jr.arrivals, fl.part(ac, pa, body))
	}
	return jr
}

// late is the result of an attempt that a joined answer left out.
func (fl *flight) late(group []fanout.Action, ac fanout.Action, rp *inner.JoinReply) arrival {
	for _, pa := range rp.GetParts() {
		if k := int(pa.GetServer()); k < len(group) && group[k].Attempt == ac.Attempt {
			return fl.part(ac, pa, pa.GetBody())
		}
	}
	return fl.part(ac, &inner.JoinPart{Verdict: inner.Verdict_LOST}, nil)
}

// part is the result of one attempt.
func (fl *flight) part(ac fanout.Action, pa *inner.JoinPart, body []byte) arrival {
	en := fl.en
	ar := arrival{attempt: ac.Attempt, verdict: verdictOf(pa.GetVerdict())}
	ar.broken = pa.GetBroken() && ar.verdict == fanout.Lost
	ar.rs.Took = microseconds(pa.GetTookUs())
	now := en.cfg.Clock()
	if ar.verdict == fanout.Unsent && pa.GetDoubted() {
		ar.verdict = fanout.Doubted
	}
	switch ar.verdict {
	case fanout.Unsent:
		en.cfg.Steer.Withdraw(now, ac.Upstream.Process(), 0)
		fl.noteAsked(now, ac.Upstream, false)
		return ar
	case fanout.Doubted:
		en.cfg.Steer.Withdraw(now, ac.Upstream.Process(), 0)
		en.cfg.Steer.Warn(now, ac.Upstream.Process())
		en.cfg.Meter.Count(meter.Sent, "warned")
		return ar
	case fanout.Served:
		en.heardFar(now)
		ar.rs.Reply = &relay.Reply{Header: http.Header{}, Body: body}
		ar.rs.Reply.Header.Set(en.cfg.Names.Receipt, pa.GetReceipt())
	}
	fl.noteAsked(now, ac.Upstream, true)
	en.cfg.Steer.End(now, ac.Upstream.Process(), steer.Attempt{Verdict: ar.verdict, Took: ar.rs.Took, Usual: fl.pace.takes()})
	return ar
}

// lostAll is the result of attempts of which the other VM told nothing more.
func (fl *flight) lostAll(group []fanout.Action, sent time.Duration, err error) []arrival {
	now := fl.en.cfg.Clock()
	arrivals := make([]arrival, len(group))
	for i, ac := range group {
		ar := arrival{attempt: ac.Attempt, verdict: fanout.Lost}
		ar.rs.Err = &relay.Error{Op: "entry.join", Kind: relay.KindJoin, Sent: true, Err: err}
		fl.en.cfg.Steer.Withdraw(now, ac.Upstream.Process(), now-sent)
		arrivals[i] = ar
	}
	return arrivals
}

// takeJoined takes in a joined answer as a whole.
func (fl *flight) takeJoined(jr joinResult) []fanout.Action {
	evs := make([]fanout.Event, len(jr.arrivals))
	for i, ar := range jr.arrivals {
		evs[i] = fl.note(ar)
	}
	for _, ac := range jr.open {
		fl.machine.Release(ac.Attempt)
		if jr.unsent {
			fl.sendJoined(ac)
		}
	}
	return fl.machine.StepAll(fl.en.cfg.Clock(), evs)
}
