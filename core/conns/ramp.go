package conns

import (
	"math/rand/v2"
	"time"

	"laburnumvane/core/sched"
	"laburnumvane/core/view"
)

const (
	// floor is the connections with which a server is begun: enough for traffic
	// to find out that it works.
	floor = 1
	// retryRefused is the pause before one more connection is tried after a
	// refusal for too many.
	retryRefused = 10 * time.Second
)

// RampConfig sets a ramp.
type RampConfig struct {
	// Rand gives jitter.
	Rand *rand.Rand
	// Setup is what one new connection costs a server.
	Setup time.Duration
	// Load is the share of its time that a server may spend on new connections
	// from all VMs together.
	Load float64
}

// Ramp raises each server's connections from the floor to the share one at a
// time, so slowly that all VMs together, which begin in the same moment when a
// server or a data centre comes back, keep within Load. Cuts are at once.
type Ramp struct {
	cfg     RampConfig
	servers []climb
	queue   sched.Queue[view.ServerID]
	changes []Limit
}

// climb is one server's ramp.
type climb struct {
	share int
	limit int
	// most is the connections that the server let this VM have when it last
	// refused one for too many; 0 while it has not.
	most  int
	pause time.Duration
	next  time.Duration
}

// Limit is the connections allowed to a server now.
type Limit struct {
	ID view.ServerID
	N  int
}

// NewRamp makes a ramp without servers.
func NewRamp(cfg RampConfig) *Ramp {
	return &Ramp{cfg: cfg}
}

// Set gives a server's share and its users; ids are given in order from 0. The
// limits that change at once are returned; they are valid until the next call.
func (ra *Ramp) Set(now time.Duration, id view.ServerID, share, users int) []Limit {
	for int(id) >= len(ra.servers) {
		ra.servers = append(ra.servers, climb{})
	}
	cl := &ra.servers[id]
	cl.share = share
	cl.pause = time.Duration(float64(users) * float64(ra.cfg.Setup) / ra.cfg.Load)
	ra.changes = ra.changes[:0]
	ra.to(id, min(share, max(cl.limit, floor)))
	ra.schedule(now, id, cl.pause)
	return ra.changes
}

// Restart begins a server's ramp anew, as for a new incarnation: all its
// connections are lost, at every VM in the same moment.
func (ra *Ramp) Restart(now time.Duration, id view.ServerID) []Limit {
	cl := &ra.servers[id]
	cl.most = 0
	cl.next = 0
	ra.changes = ra.changes[:0]
	ra.to(id, min(cl.share, floor))
	ra.schedule(now, id, cl.pause)
	return ra.changes
}

// Refused takes a server's refusal of a connection while this VM had open ones:
// no more than those are used, and one more is tried only after a long pause.
func (ra *Ramp) Refused(now time.Duration, id view.ServerID, open int) []Limit {
	cl := &ra.servers[id]
	cl.most = max(floor, min(open, cl.limit))
	cl.next = 0
	ra.changes = ra.changes[:0]
	ra.to(id, min(cl.share, cl.most))
	ra.schedule(now, id, retryRefused)
	return ra.changes
}

// Wake raises the limits that are due.
func (ra *Ramp) Wake(now time.Duration) []Limit {
	ra.changes = ra.changes[:0]
	for id, ok := ra.queue.Pop(now); ok; id, ok = ra.queue.Pop(now) {
		cl := &ra.servers[id]
		if cl.next == 0 || cl.next > now {
			continue
		}
		cl.next = 0
		ra.to(id, min(cl.share, cl.limit+1))
		pause := cl.pause
		if cl.most > 0 {
			pause = retryRefused
			cl.most++
		}
		ra.schedule(now, id, pause)
	}
	return ra.changes
}

// Next is when Wake is due; false where nothing waits.
func (ra *Ramp) Next() (time.Duration, bool) {
	return ra.queue.Next()
}

// Limit is the connections allowed to a server now.
func (ra *Ramp) Limit(id view.ServerID) int {
	if int(id) >= len(ra.servers) {
		return 0
	}
	return ra.servers[id].limit
}

func (ra *Ramp) to(id view.ServerID, n int) {
	if cl := &ra.servers[id]; cl.limit != n {
		cl.limit = n
		ra.changes = append(ra.changes, Limit{ID: id, N: n})
	}
}

// schedule sets the next step, unless one waits or none is needed.
func (ra *Ramp) schedule(now time.Duration, id view.ServerID, pause time.Duration) {
	cl := &ra.servers[id]
	if cl.limit >= cl.share || cl.next != 0 {
		return
	}
	// Half to one and a half of the pause: the mean keeps the rate, the width
	// keeps the VMs apart.
	cl.next = now + pause/2 + time.Duration(ra.cfg.Rand.Int64N(int64(pause)+1))
	ra.queue.Push(cl.next, id)
}
