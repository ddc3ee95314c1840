package qsim

import (
	"time"

	"laburnumvane/core/search"
	"laburnumvane/core/view"
)

const (
	retryAfter = 20 * time.Millisecond
	// costWeight is the divisor of the moving average: the newest latency has
	// weight 1/costWeight.
	costWeight = 8
)

// server is one upstream server. The last fields are what the sender knows of it.
type server struct {
	id       view.ServerID
	service  int
	slow     float64
	running  int
	queue    []*subRequest
	held     []uint64 // newest first
	dead     bool
	draining bool

	// excluded is set while the server is not in the sender's view.
	excluded bool
	inFlight int
	latency  time.Duration
}

// receive handles a sub-request that has arrived.
func (sv *server) receive(sm *sim, sr *subRequest) {
	switch {
	case sr.ended:
	case sv.dead:
		sv.failLost(sm, sr)
	case sv.draining:
		sv.refuse(sm, sr, search.Event{Reason: "draining", Elsewhere: true})
	case !sm.cfg.Fault.ReportOnly && !holds(sv.held, sr.ac.Snapshot):
		sv.refuse(sm, sr, search.Event{Reason: "snapshotGone", SnapshotGone: true})
	case sv.running < sm.cfg.Topology.Slots:
		sv.serve(sm, sr)
	case len(sv.queue) < sm.cfg.Topology.QueueLimit:
		sv.queue = append(sv.queue, sr)
	default:
		sv.refuse(sm, sr, search.Event{Reason: "shed", RetryAfter: retryAfter})
	}
}

func (sv *server) refuse(sm *sim, sr *subRequest, ev search.Event) {
	sr.ended = true
	ev.Kind = search.EvRefused
	sm.After(sm.hop(), event{kind: evResult, sub: sr, result: ev})
}

// failLost makes a sub-request to a crashed server fail.
func (sv *server) failLost(sm *sim, sr *subRequest) {
	sr.ended = true
	after := sm.hop()
	if sm.cfg.Fault.Silent {
		after = silentDetectTime
	}
	sm.After(after, event{kind: evResult, sub: sr, result: search.Event{Kind: search.EvFailed, Reason: "reset", Sent: true}})
}

func (sv *server) serve(sm *sim, sr *subRequest) {
	sv.running++
	sr.running = true
	sm.res.Ran++
	took := sm.cfg.Topology.Base + time.Duration(sm.rnd.ExpFloat64()*float64(sm.cfg.Topology.Mean))
	if sm.rnd.Float64() < sm.cfg.Fault.SlowShare {
		took = time.Duration(float64(took) * sm.cfg.Fault.SlowFactor)
	}
	if sv.slow > 0 {
		took = time.Duration(float64(took) * sv.slow)
	}
	sm.After(took, event{kind: evServed, sub: sr})
}

func (sv *server) served(sm *sim, sr *subRequest) {
	if sr.ended {
		return
	}
	sr.ended = true
	version := sr.ac.Snapshot
	if sm.cfg.Fault.ReportOnly {
		version = sv.held[0]
	}
	sm.After(sm.hop(), event{kind: evResult, sub: sr, result: search.Event{
		Kind:     search.EvReply,
		Shard:    sr.ac.Shard,
		Snapshot: version,
		Shards:   sm.cfg.Topology.Shards,
	}})
	sv.serveNext(sm)
}

// serveNext frees a slot and serves the first queued sub-request that has not
// ended or expired.
func (sv *server) serveNext(sm *sim) {
	sv.running--
	for len(sv.queue) > 0 {
		sr := sv.queue[0]
		sv.queue = sv.queue[1:]
		if sr.ended {
			continue
		}
		if sm.Now() >= sr.ac.Deadline {
			sv.refuse(sm, sr, search.Event{Reason: "expired"})
			continue
		}
		sv.serve(sm, sr)
		return
	}
}

func (sv *server) cancelWork(sm *sim, sr *subRequest) {
	if sr.ended {
		return
	}
	sr.ended = true
	if sr.running {
		sv.serveNext(sm)
		return
	}
	for i, other := range sv.queue {
		if other == sr {
			sv.queue = append(sv.queue[:i], sv.queue[i+1:]...)
			return
		}
	}
}

// crash makes all sub-requests at the server fail.
func (sv *server) crash(sm *sim, working []*subRequest) {
	sv.dead = true
	for _, sr := range working {
		if !sr.ended {
			sv.failLost(sm, sr)
		}
	}
	sv.running = 0
	sv.queue = nil
}

// observe updates the average latency that Pick uses. For a cancelled sub-request,
// took is only a lower bound of the latency.
func (sv *server) observe(took time.Duration, replied bool) {
	if !replied && took < sv.latency {
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
