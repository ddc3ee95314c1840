package server

import (
	"math/rand/v2"
	"time"

	"laburnumvane/core/sched"
	"laburnumvane/core/view"
)

const (
	// pollBytes is a first guess of one exchange with a load endpoint; the
	// moving average of what they cost takes over.
	pollBytes  = 700
	pollWeight = 8
	// pollsInFlight bounds the polls that wait for an answer, so that a data
	// centre that swallows bytes holds up a few of them only.
	pollsInFlight = 32
	// askAgain is the first pause before a server is asked again that lags
	// behind the newest snapshot; it doubles.
	askAgain     = 250 * time.Millisecond
	askAgainMost = 8 * time.Second
)

// PollsConfig sets polls.
type PollsConfig struct {
	Rand *rand.Rand
	// BytesPerSecond bounds what polls cost in the long run.
	BytesPerSecond float64
	// Burst is the bytes that may be spent at once after a quiet time: a boot
	// or a new snapshot has each server asked once.
	Burst float64
	// Every is the pause between two rounds through all servers where the
	// bytes would allow shorter ones.
	Every time.Duration
}

// Polls decides which server's load endpoint is asked when. Each server is
// asked in rounds, and out of turn where something is to be learnt.
type Polls struct {
	cfg      PollsConfig
	servers  []polled
	asks     sched.Queue[view.ServerID]
	count    int
	tokens   float64
	at       time.Duration
	cost     float64
	inFlight int
}

type polled struct {
	used bool
	// due is when the server's own entry of the queue is valid.
	due   time.Duration
	again time.Duration
}

// NewPolls makes polls without servers.
func NewPolls(cfg PollsConfig) *Polls {
	return &Polls{cfg: cfg, tokens: cfg.Burst, cost: pollBytes}
}

// Use begins or ends the polling of a server.
func (po *Polls) Use(now time.Duration, id view.ServerID, used bool) {
	for int(id) >= len(po.servers) {
		po.servers = append(po.servers, polled{})
	}
	pd := &po.servers[id]
	if pd.used == used {
		return
	}
	pd.used = used
	pd.again = 0
	if !used {
		po.count--
		pd.due = never
		return
	}
	po.count++
	// The first round is spread over a fifth of a second, so that VMs that
	// boot together do not ask each server in the same moment.
	po.ask(id, now+jitter(po.cfg.Rand, 200*time.Millisecond))
}

// Urge asks a server soon, as something was learnt that makes its account worth
// having.
func (po *Polls) Urge(now time.Duration, id view.ServerID) {
	if !po.servers[id].used {
		return
	}
	po.servers[id].again = 0
	if at := now + jitter(po.cfg.Rand, askAgain/5); at < po.servers[id].due {
		po.ask(id, at)
	}
}

// Behind asks a server again that lags behind the newest snapshot, after a
// pause that doubles each time.
func (po *Polls) Behind(now time.Duration, id view.ServerID) {
	pd := &po.servers[id]
	if !pd.used {
		return
	}
	pd.again = min(max(askAgain, 2*pd.again), askAgainMost)
	if at := now + pd.again/2 + jitter(po.cfg.Rand, pd.again); at < pd.due {
		po.ask(id, at)
	}
}

func (po *Polls) ask(id view.ServerID, at time.Duration) {
	po.servers[id].due = at
	po.asks.Push(at, id)
}

// Take returns the next server to ask, if one is due and may be afforded. Each
// taken one must be ended by Done.
func (po *Polls) Take(now time.Duration) (view.ServerID, bool) {
	po.refill(now)
	if po.inFlight >= pollsInFlight || po.tokens < po.cost {
		return 0, false
	}
	for id, ok := po.asks.Pop(now); ok; id, ok = po.asks.Pop(now) {
		pd := &po.servers[id]
		if !pd.used || pd.due > now {
			continue
		}
		po.tokens -= po.cost
		po.inFlight++
		po.ask(id, now+po.round()*3/4+jitter(po.cfg.Rand, po.round()/2+1))
		return id, true
	}
	return 0, false
}

// round is the mean pause between two regular polls of one server.
func (po *Polls) round() time.Duration {
	afford := float64(po.count) * po.cost / po.cfg.BytesPerSecond * float64(time.Second)
	return max(po.cfg.Every, time.Duration(afford))
}

// Done takes what a poll cost, in bytes; 0 where it failed.
func (po *Polls) Done(bytes int) {
	po.inFlight--
	if bytes > 0 {
		po.cost += (float64(bytes) - po.cost) / pollWeight
	}
}

// Next is when Take is worth calling again; false where nothing waits.
func (po *Polls) Next(now time.Duration) (time.Duration, bool) {
	at, ok := po.asks.Next()
	if !ok || po.inFlight >= pollsInFlight {
		return 0, false
	}
	po.refill(now)
	if lack := po.cost - po.tokens; lack > 0 {
		at = max(at, now+time.Duration(lack/po.cfg.BytesPerSecond*float64(time.Second))+1)
	}
	return at, true
}

func (po *Polls) refill(now time.Duration) {
	po.tokens = min(po.cfg.Burst, po.tokens+(now-po.at).Seconds()*po.cfg.BytesPerSecond)
	po.at = now
}
