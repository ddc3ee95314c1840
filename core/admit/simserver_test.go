package admit_test

import (
	"time"

	"laburnumvane/core/limit"
	"laburnumvane/core/view"
)

// simServer is a server with slots and a short queue, and what may be wrong with
// it.
type simServer struct {
	wo      *world
	slots   int
	running int
	queue   []*simSub
	errors  bool // answers an error at once
	silent  bool // accepts and never answers
	sheds   bool // refuses all, as a cold one does
	slow    float64
	lies    bool // says on replies that nothing waits
	served  int
}

type simSub struct {
	se     *simSearch
	shard  int
	server view.ServerID
	tried  []view.ServerID
	sentAt time.Duration
	over   bool
}

func (sv *simServer) arrive(su *simSub) {
	switch {
	case sv.silent:
		return
	case sv.sheds:
		sv.wo.count.sheds++
		sv.reply(su, limit.Shed)
	case sv.errors:
		sv.reply(su, limit.Failed)
	case sv.running < sv.slots:
		sv.serve(su)
	case len(sv.queue) < sv.wo.de.queue:
		sv.queue = append(sv.queue, su)
	default:
		sv.wo.count.sheds++
		sv.reply(su, limit.Shed)
	}
}

func (sv *simServer) serve(su *simSub) {
	sv.running++
	sv.served++
	mean := float64(sv.wo.de.service)
	took := time.Duration(mean/2 + mean/2*sv.wo.rnd.ExpFloat64())
	if sv.slow > 0 {
		took = time.Duration(float64(took) * sv.slow)
	}
	sv.wo.After(took, func() {
		sv.running--
		sv.reply(su, limit.Replied)
		for len(sv.queue) > 0 && sv.running < sv.slots {
			next := sv.queue[0]
			sv.queue = sv.queue[1:]
			if next.se.deadline > sv.wo.Now() && !next.se.over {
				sv.serve(next)
			}
		}
	})
}

func (sv *simServer) reply(su *simSub, kind limit.Kind) {
	running, queued := min(sv.running+1, sv.slots), len(sv.queue)
	if sv.lies {
		running, queued = 0, 0
	}
	sv.wo.After(sv.wo.de.oneWay, func() { su.se.vm.replied(su, kind, running, queued) })
}
