package qsim

import (
	"time"

	"laburnumvane/core/search"
	"laburnumvane/core/view"
)

const (
	retryAfter = 20 * time.Millisecond
	// costWeight is the weight of the newest latency in the moving average.
	costWeight = 8
)

// server is one upstream server, and what the sender knows of it.
type server struct {
	id       view.ServerID
	service  int
	slow     float64
	running  int
	queue    []*flight
	held     []uint64 // newest first
	dead     bool
	draining bool

	// out is set while the sender's view leaves the server out.
	out     bool
	flying  int
	latency time.Duration
}

// take handles a sub-request that has arrived.
func (sv *server) take(sm *sim, fl *flight) {
	switch {
	case fl.ended:
	case sv.dead:
		sv.lose(sm, fl)
	case sv.draining:
		sv.refuse(sm, fl, search.Event{Reason: "draining", Elsewhere: true})
	case !sm.cfg.Fault.ReportOnly && !holds(sv.held, fl.ac.Snapshot):
		sv.refuse(sm, fl, search.Event{Reason: "snapshotGone", SnapshotGone: true})
	case sv.running < sm.cfg.Plant.Slots:
		sv.work(sm, fl)
	case len(sv.queue) < sm.cfg.Plant.Queue:
		sv.queue = append(sv.queue, fl)
	default:
		sv.refuse(sm, fl, search.Event{Reason: "shed", RetryAfter: retryAfter})
	}
}

func (sv *server) refuse(sm *sim, fl *flight, ev search.Event) {
	fl.ended = true
	ev.Kind = search.EvRefused
	sm.After(sm.hop(), event{kind: evTold, fl: fl, what: ev})
}

// lose ends a sub-request whose server is gone.
func (sv *server) lose(sm *sim, fl *flight) {
	fl.ended = true
	after := sm.hop()
	if sm.cfg.Fault.Silent {
		after = silentFor
	}
	sm.After(after, event{kind: evTold, fl: fl, what: search.Event{Kind: search.EvFailed, Reason: "reset", Sent: true}})
}

func (sv *server) work(sm *sim, fl *flight) {
	sv.running++
	fl.running = true
	sm.res.Ran++
	took := sm.cfg.Plant.Base + time.Duration(sm.rnd.ExpFloat64()*float64(sm.cfg.Plant.Mean))
	if sm.rnd.Float64() < sm.cfg.Fault.SlowShare {
		took = time.Duration(float64(took) * sm.cfg.Fault.SlowTimes)
	}
	if sv.slow > 0 {
		took = time.Duration(float64(took) * sv.slow)
	}
	sm.After(took, event{kind: evWorked, fl: fl})
}

func (sv *server) worked(sm *sim, fl *flight) {
	if fl.ended {
		return
	}
	fl.ended = true
	version := fl.ac.Snapshot
	if sm.cfg.Fault.ReportOnly {
		version = sv.held[0]
	}
	sm.After(sm.hop(), event{kind: evTold, fl: fl, what: search.Event{
		Kind:     search.EvReply,
		Shard:    fl.ac.Shard,
		Snapshot: version,
		Shards:   sm.cfg.Plant.Shards,
	}})
	sv.next(sm)
}

// next frees a slot and gives it to the first that is still wanted.
func (sv *server) next(sm *sim) {
	sv.running--
	for len(sv.queue) > 0 {
		fl := sv.queue[0]
		sv.queue = sv.queue[1:]
		if fl.ended {
			continue
		}
		if sm.Now() >= fl.ac.Deadline {
			sv.refuse(sm, fl, search.Event{Reason: "expired"})
			continue
		}
		sv.work(sm, fl)
		return
	}
}

func (sv *server) giveUp(sm *sim, fl *flight) {
	if fl.ended {
		return
	}
	fl.ended = true
	if fl.running {
		sv.next(sm)
		return
	}
	for i, other := range sv.queue {
		if other == fl {
			sv.queue = append(sv.queue[:i], sv.queue[i+1:]...)
			return
		}
	}
}

// die cuts off all work.
func (sv *server) die(sm *sim, working []*flight) {
	sv.dead = true
	for _, fl := range working {
		if !fl.ended {
			sv.lose(sm, fl)
		}
	}
	sv.running = 0
	sv.queue = nil
}

// observe keeps the latency that the choice goes by. That of work given up is
// only a lower bound.
func (sv *server) observe(took time.Duration, whole bool) {
	if !whole && took < sv.latency {
		return
	}
	if sv.latency == 0 {
		sv.latency = took
		return
	}
	sv.latency += (took - sv.latency) / costWeight
}

func holds(held []uint64, version uint64) bool {
	for _, v := range held {
		if v == version {
			return true
		}
	}
	return false
}
