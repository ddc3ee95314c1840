package conns

import (
	"math/rand/v2"
	"time"

	"laburnumvane/core/sched"
	"laburnumvane/core/view"
)

const (
	// initialLimit is the number of connections with which the ramp of a server starts: enough
	// for requests to show that the server works.
	initialLimit = 1
	// refusedRetry is the mean wait before one more connection is tried after the server
	// refused one because it had too many.
	refusedRetry = 10 * time.Second
)

// RampConfig configures a Ramp.
type RampConfig struct {
	// Rand is the source of jitter.
	Rand *rand.Rand
	// SetupTime is the processing time that one new connection costs a server.
	SetupTime time.Duration
	// SetupShare is the share of its time that a server may spend on new connections from all VMs
	// together.
	SetupShare float64
}

// Ramp raises the limit of each server from initialLimit to this VM's share, one connection at a
// time. It does so slowly enough that all VMs together keep within SetupShare, although they start
// at the same moment when a server or a data centre comes back. Reductions take effect at once.
type Ramp struct {
	cfg     RampConfig
	servers []serverRamp
	queue   sched.Queue[view.ServerID]
	changes []Limit
}

// serverRamp is the ramp of one server.
type serverRamp struct {
	share int
	limit int
	// refusedAbove is how many connections this VM had, or has tried since, when the server
	// refused one because it had too many; 0 if it did not refuse any.
	refusedAbove int
	interval     time.Duration
	nextAt       time.Duration
}

// Limit is the number of connections that are allowed to a server now.
type Limit struct {
	ID view.ServerID
	N  int
}

// NewRamp returns a ramp without servers.
func NewRamp(cfg RampConfig) *Ramp {
	return &Ramp{cfg: cfg}
}

// Set sets a server's share and the number of VMs that use it; ids must be added in order from 0.
// It returns the limits that change at once; they are valid until the next call.
func (ra *Ramp) Set(now time.Duration, id view.ServerID, share, users int) []Limit {
	for int(id) >= len(ra.servers) {
		ra.servers = append(ra.servers, serverRamp{})
	}
	sr := &ra.servers[id]
	sr.share = share
	sr.interval = time.Duration(float64(users) * float64(ra.cfg.SetupTime) / ra.cfg.SetupShare)
	ra.changes = ra.changes[:0]
	ra.setLimit(id, min(share, max(sr.limit, initialLimit)))
	ra.schedule(now, id, sr.interval)
	return ra.changes
}

// Restart starts a server's ramp again, as for a new incarnation, when the connections of all VMs
// break at the same moment.
func (ra *Ramp) Restart(now time.Duration, id view.ServerID) []Limit {
	sr := &ra.servers[id]
	sr.refusedAbove = 0
	sr.nextAt = 0
	ra.changes = ra.changes[:0]
	ra.setLimit(id, min(sr.share, initialLimit))
	ra.schedule(now, id, sr.interval)
	return ra.changes
}

// Refused records that a server refused a connection while this VM had open ones. The limit falls
// to that number, and one more is tried only after a long wait.
func (ra *Ramp) Refused(now time.Duration, id view.ServerID, open int) []Limit {
	sr := &ra.servers[id]
	sr.refusedAbove = max(initialLimit, min(open, sr.limit))
	sr.nextAt = 0
	ra.changes = ra.changes[:0]
	ra.setLimit(id, min(sr.share, sr.refusedAbove))
	ra.schedule(now, id, refusedRetry)
	return ra.changes
}

// Wake raises the limits that are due and returns them.
func (ra *Ramp) Wake(now time.Duration) []Limit {
	ra.changes = ra.changes[:0]
	for id, ok := ra.queue.Pop(now); ok; id, ok = ra.queue.Pop(now) {
		sr := &ra.servers[id]
		if sr.nextAt == 0 || sr.nextAt > now {
			continue
		}
		sr.nextAt = 0
		ra.setLimit(id, min(sr.share, sr.limit+1))
		wait := sr.interval
		if sr.refusedAbove > 0 {
			wait = refusedRetry
			sr.refusedAbove++
		}
		ra.schedule(now, id, wait)
	}
	return ra.changes
}

// Next returns when Wake is due; ok is false if no raise is scheduled.
func (ra *Ramp) Next() (time.Duration, bool) {
	return ra.queue.Next()
}

// Limit returns how many connections to a server are allowed now.
func (ra *Ramp) Limit(id view.ServerID) int {
	if int(id) >= len(ra.servers) {
		return 0
	}
	return ra.servers[id].limit
}

func (ra *Ramp) setLimit(id view.ServerID, n int) {
	if sr := &ra.servers[id]; sr.limit != n {
		sr.limit = n
		ra.changes = append(ra.changes, Limit{ID: id, N: n})
	}
}

// schedule sets the time of the next raise, unless one is scheduled or none is needed.
func (ra *Ramp) schedule(now time.Duration, id view.ServerID, interval time.Duration) {
	sr := &ra.servers[id]
	if sr.limit >= sr.share || sr.nextAt != 0 {
		return
	}
	// Between half of the interval and one and a half of it: the mean keeps the rate, and the
	// spread keeps the VMs from acting in step.
	sr.nextAt = now + interval/2 + time.Duration(ra.cfg.Rand.Int64N(int64(interval)+1))
	ra.queue.Push(sr.nextAt, id)
}
