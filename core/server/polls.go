package server

import (
	"math/rand/v2"
	"time"

	"laburnumvane/core/sched"
	"laburnumvane/core/view"
)

const (
	// initialPollBytes is the assumed cost of a poll before any was measured; a moving average with
	// weight 1/pollCostWeight replaces it.
	initialPollBytes = 700
	pollCostWeight   = 8
	// maxPollsInFlight bounds the polls that wait for an answer, so that a data centre that
	// swallows packets delays only a few of them.
	maxPollsInFlight = 32
	// minLagBackoff is the first pause before a server that lags behind the newest snapshot is
	// polled again; it doubles up to maxLagBackoff.
	minLagBackoff = 250 * time.Millisecond
	maxLagBackoff = 8 * time.Second
)

// PollsConfig configures Polls. All fields are required.
type PollsConfig struct {
	Rand *rand.Rand
	// BytesPerSecond bounds the average traffic of polls.
	BytesPerSecond float64
	// Burst is the number of bytes that may be spent at once after an idle time, so that after a
	// boot or a new snapshot each server can be polled at once.
	Burst float64
	// Every is the minimum mean interval between two regular polls of a server; it is longer where
	// BytesPerSecond requires.
	Every time.Duration
}

// Polls schedules the polls of the servers' load endpoints. Each server is polled in regular
// rounds, and in addition when new information is expected. It is not safe for concurrent use.
type Polls struct {
	cfg        PollsConfig
	servers    []pollState
	queue      sched.Queue[view.ServerID]
	count      int
	tokens     float64
	refilledAt time.Duration
	meanCost   float64
	inFlight   int
}

type pollState struct {
	used bool
	// due is the time of the valid queue entry of the server; others are skipped.
	due        time.Duration
	lagBackoff time.Duration
}

// NewPolls returns polls without servers and with a full burst.
func NewPolls(cfg PollsConfig) *Polls {
	return &Polls{cfg: cfg, tokens: cfg.Burst, meanCost: initialPollBytes}
}

// Use starts or stops the polling of a server.
func (po *Polls) Use(now time.Duration, id view.ServerID, used bool) {
	for int(id) >= len(po.servers) {
		po.servers = append(po.servers, pollState{})
	}
	ps := &po.servers[id]
	if ps.used == used {
		return
	}
	ps.used = used
	ps.lagBackoff = 0
	if !used {
		po.count--
		ps.due = never
		return
	}
	po.count++
	// The first round is spread over 200 ms, so that VMs booted together do not poll each server at
	// the same moment.
	po.schedule(id, now+jitter(po.cfg.Rand, 200*time.Millisecond))
}

// PollSoon polls a server soon, because an event suggests that its reported state has changed.
func (po *Polls) PollSoon(now time.Duration, id view.ServerID) {
	if !po.servers[id].used {
		return
	}
	po.servers[id].lagBackoff = 0
	if at := now + jitter(po.cfg.Rand, minLagBackoff/5); at < po.servers[id].due {
		po.schedule(id, at)
	}
}

// RepeatLagging polls a server again that lags behind the newest snapshot, after a pause that
// doubles each time.
func (po *Polls) RepeatLagging(now time.Duration, id view.ServerID) {
	ps := &po.servers[id]
	if !ps.used {
		return
	}
	ps.lagBackoff = min(max(minLagBackoff, 2*ps.lagBackoff), maxLagBackoff)
	if at := now + ps.lagBackoff/2 + jitter(po.cfg.Rand, ps.lagBackoff); at < ps.due {
		po.schedule(id, at)
	}
}

func (po *Polls) schedule(id view.ServerID, at time.Duration) {
	po.servers[id].due = at
	po.queue.Push(at, id)
}

// Take returns the next server to poll, if one is due and the byte budget allows it. Done must be
// called once for each server taken.
func (po *Polls) Take(now time.Duration) (view.ServerID, bool) {
	po.refill(now)
	if po.inFlight >= maxPollsInFlight || po.tokens < po.meanCost {
		return 0, false
	}
	for id, ok := po.queue.Pop(now); ok; id, ok = po.queue.Pop(now) {
		ps := &po.servers[id]
		if !ps.used || ps.due > now {
			continue
		}
		po.tokens -= po.meanCost
		po.inFlight++
		po.schedule(id, now+po.roundInterval()*3/4+jitter(po.cfg.Rand, po.roundInterval()/2+1))
		return id, true
	}
	return 0, false
}

// roundInterval returns the mean interval between two regular polls of one server.
func (po *Polls) roundInterval() time.Duration {
	affordable := float64(po.count) * po.meanCost / po.cfg.BytesPerSecond * float64(time.Second)
	return max(po.cfg.Every, time.Duration(affordable))
}

// Done ends a poll and takes its size in bytes; 0 if it failed.
func (po *Polls) Done(bytes int) {
	po.inFlight--
	if bytes > 0 {
		po.meanCost += (float64(bytes) - po.meanCost) / pollCostWeight
	}
}

// Next returns when Take should be called again; false if nothing is queued or a poll has to end
// first.
func (po *Polls) Next(now time.Duration) (time.Duration, bool) {
	at, ok := po.queue.Next()
	if !ok || po.inFlight >= maxPollsInFlight {
		return 0, false
	}
	po.refill(now)
	if missing := po.meanCost - po.tokens; missing > 0 {
		at = max(at, now+time.Duration(missing/po.cfg.BytesPerSecond*float64(time.Second))+1)
	}
	return at, true
}

func (po *Polls) refill(now time.Duration) {
	po.tokens = min(po.cfg.Burst, po.tokens+(now-po.refilledAt).Seconds()*po.cfg.BytesPerSecond)
	po.refilledAt = now
}
