package node

import (
	"laburnumvane/core/member"
	"laburnumvane/io/inner"
	"laburnumvane/io/meter"
)

// beatSeen brings another VM's beat.
type beatSeen struct {
	request  *inner.BeatRequest
	answered chan<- *inner.BeatReply
}

func (ev beatSeen) apply(ct *control) {
	ms := ct.members
	ct.nd.meter.Count(meter.Member, "beatServed")
	ms.unload(ev.request.GetFrom(), cargoOf(ev.request))
	tag := ms.request(
		func(tag uint64) member.Event { return member.Received{Tag: tag, Message: beatMessage(ev.request)} },
		func(ac member.Action) {
			rp := replyOf(ac.(member.Reply).Message)
			ms.loadReply(ev.request.GetFrom(), rp)
			ev.answered <- rp
		},
	)
	if _, left := ms.asked[tag]; left {
		// A beat is answered in its own step, or names no sender.
		delete(ms.asked, tag)
		ev.answered <- &inner.BeatReply{Version: inner.Version, From: ct.nd.self()}
	}
}

// probeSeen brings another VM's wish for help.
type probeSeen struct {
	request  *inner.ProbeRequest
	answered chan<- *inner.ProbeReply
}

func (ev probeSeen) apply(ct *control) {
	target := memberIn(ev.request.GetMember())
	if target.Addr == "" {
		target.VM = vmIn(ev.request.GetTarget())
	}
	ct.members.request(
		func(tag uint64) member.Event { return member.HelpAsked{Tag: tag, Target: target} },
		func(ac member.Action) {
			he := ac.(member.Helped)
			rp := &inner.ProbeReply{Version: inner.Version, Reached: he.Reached}
			if he.Reached {
				rp.Incarnation = he.Target.Incarnation
				rp.Member = memberOut(he.Target)
			}
			ev.answered <- rp
		},
	)
}
