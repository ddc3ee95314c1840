package admit_test

import (
	"time"

	"laburnumvane/core/limit"
	"laburnumvane/core/view"
)

// simServer is a server with slots and a short queue, with faults that can be
// switched on.
type simServer struct {
	sm          *simulation
	slots       int
	running     int
	queue       []*simSub
	failsAtOnce bool // returns an error at once
	silent      bool // accepts and never answers
	sheds       bool // refuses everything, like a cold server
	slowFactor  float64
	falseLoad   bool // reports in replies that nothing runs and nothing waits
	served      int
}

type simSub struct {
	se     *simSearch
	shard  int
	server view.ServerID
	tried  []view.ServerID
	sentAt time.Duration
	ended  bool
}

func (sv *simServer) arrive(su *simSub) {
	switch {
	case sv.silent:
		return
	case sv.sheds:
		sv.sm.count.sheds++
		sv.reply(su, limit.Shed)
	case sv.failsAtOnce:
		sv.reply(su, limit.Failed)
	case sv.running < sv.slots:
		sv.serve(su)
	case len(sv.queue) < sv.sm.de.queue:
		sv.queue = append(sv.queue, su)
	default:
		sv.sm.count.sheds++
		sv.reply(su, limit.Shed)
	}
}

func (sv *simServer) serve(su *simSub) {
	sv.running++
	sv.served++
	mean := float64(sv.sm.de.service)
	took := time.Duration(mean/2 + mean/2*sv.sm.rnd.ExpFloat64())
	if sv.slowFactor > 0 {
		took = time.Duration(float64(took) * sv.slowFactor)
	}
	sv.sm.After(took, func() {
		sv.running--
		sv.reply(su, limit.Replied)
		for len(sv.queue) > 0 && sv.running < sv.slots {
			next := sv.queue[0]
			sv.queue = sv.queue[1:]
			if next.se.deadline > sv.sm.Now() && !next.se.ended {
				sv.serve(next)
			}
		}
	})
}

func (sv *simServer) reply(su *simSub, kind limit.Kind) {
	running, queued := min(sv.running+1, sv.slots), len(sv.queue)
	if sv.falseLoad {
		running, queued = 0, 0
	}
	sv.sm.After(sv.sm.de.oneWay, func() { su.se.vm.replied(su, kind, running, queued) })
}

// expire ends the search and its attempts without a reply at the deadline. One event for all of them
// keeps the agenda short, which most of the time of a run is spent on.
func (se *simSearch) expire() {
	for _, su := range se.subs[:se.primaries] {
		su.expire()
	}
	se.finish(false)
	for _, su := range se.subs[se.primaries:] {
		su.expire()
	}
}

// expire fails an attempt without a reply.
func (su *simSub) expire() {
	if su.ended {
		return
	}
	su.ended = true
	vm := su.se.vm
	vm.tb.End(vm.sm.Now(), su.server, limit.Sample{Kind: limit.Failed, Latency: vm.sm.Now() - su.sentAt})
	vm.step()
}
