package node

import (
	"laburnumvane/core/member"
	"laburnumvane/io/inner"
	"laburnumvane/io/meter"
)

// beatReceived carries a heartbeat of another VM.
type beatReceived struct {
	request  *inner.BeatRequest
	answered chan<- *inner.BeatReply
}

func (ev beatReceived) apply(ct *control) {
	ms := ct.members
	ct.nd.meter.Count(meter.Member, "beatServed")
	ms.deliver(ev.request.GetFrom(), piggybackOf(ev.request))
	tag := ms.request(
		func(tag uint64) member.Event { return member.Received{Tag: tag, Message: messageFromWire(ev.request)} },
		func(ac member.Action) {
			rp := beatReply(ac.(member.Reply).Message)
			ms.attachReply(ev.request.GetFrom(), rp)
			ev.answered <- rp
		},
	)
	if _, unanswered := ms.pending[tag]; unanswered {
		// The state machine answers a heartbeat in the same step, unless the heartbeat names no
		// sender.
		delete(ms.pending, tag)
		ev.answered <- &inner.BeatReply{Version: inner.Version, From: ct.nd.self()}
	}
}

// probeRequested carries another VM's request to probe a third VM.
type probeRequested struct {
	request  *inner.ProbeRequest
	answered chan<- *inner.ProbeReply
}

func (ev probeRequested) apply(ct *control) {
	target := memberFromWire(ev.request.GetMember())
	if target.Addr == "" {
		target.VM = vmFromWire(ev.request.GetTarget())
	}
	ct.members.request(
		func(tag uint64) member.Event { return member.HelpRequested{Tag: tag, Target: target} },
		func(ac member.Action) {
			hr := ac.(member.HelpReply)
			rp := &inner.ProbeReply{Version: inner.Version, Reached: hr.Reached}
			if hr.Reached {
				rp.Incarnation = hr.Target.Incarnation
				rp.Member = memberToWire(hr.Target)
			}
			ev.answered <- rp
		},
	)
}
