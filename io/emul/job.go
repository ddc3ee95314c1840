package emul

import (
	"context"
	"slices"
	"time"

	"laburnumvane/io/wire"
)

// job is one sub-request in a server, from admission to reply.
type job struct {
	req         wire.ShardRequest
	query       Query
	snap        *Snapshot
	start       chan struct{} // closed when the job gets a slot
	cancelled   chan struct{} // closed by cancel
	started     bool
	abandoned   bool
	serviceTime time.Duration
}

// jobOutcome is how a job ended.
type jobOutcome int

const (
	jobDone             jobOutcome = iota
	jobExpiredQueued               // the deadline passed while queued
	jobExpiredRunning              // the deadline passed while running
	jobCancelledQueued             // cancelled while queued
	jobCancelledRunning            // cancelled while running
	jobStopped                     // the server stopped
)

// admit admits a sub-request or refuses it. It returns a job or a refusal; a sub-request that
// is refused here or while queued has not been run.
func (up *Upstream) admit(rq wire.ShardRequest, qu Query) (*job, wire.Refusal) {
	up.mu.Lock()
	defer up.mu.Unlock()
	snap, rf := up.selectSnapshot(rq)
	if rf != "" {
		return nil, rf
	}
	jb := &job{
		req:       rq,
		query:     qu,
		snap:      snap,
		start:     make(chan struct{}),
		cancelled: make(chan struct{}),
	}
	switch {
	case up.running < up.cfg.Slots:
		up.startJob(jb)
	case len(up.queue) < up.cfg.Queue:
		up.queue = append(up.queue, jb)
	default:
		return nil, wire.RefusalShed
	}
	up.jobs[rq.ID] = jb
	return jb, ""
}

// selectSnapshot makes all checks that need no slot and returns the snapshot to serve.
func (up *Upstream) selectSnapshot(rq wire.ShardRequest) (*Snapshot, wire.Refusal) {
	switch up.state {
	case wire.UpstreamDraining:
		return nil, wire.RefusalDraining
	case wire.UpstreamCold:
		return nil, wire.RefusalCold
	}
	if rq.DeadlineMs <= 0 {
		return nil, wire.RefusalExpired
	}
	hd, rf := up.findHolding(rq)
	if rf != "" {
		return nil, rf
	}
	if !slices.Contains(hd.shards, rq.Shard) {
		return nil, wire.RefusalNotHeld
	}
	return hd.snap, ""
}

func (up *Upstream) findHolding(rq wire.ShardRequest) (holding, wire.Refusal) {
	known := false
	for _, hd := range slices.Backward(up.holdings) {
		if hd.snap.Register != rq.Register {
			continue
		}
		known = true
		if up.cfg.ReportsOnly || rq.Snapshot == 0 || hd.snap.Version == rq.Snapshot {
			return hd, ""
		}
	}
	if !known {
		return holding{}, wire.RefusalNotHeld
	}
	return holding{}, wire.RefusalSnapshotGone
}

// startJob gives a job a slot: from here on it counts as run.
func (up *Upstream) startJob(jb *job) {
	up.running++
	jb.started = true
	jb.serviceTime = up.drawServiceTime()
	up.runLog.add(Run{
		ID:       jb.req.ID,
		Shard:    jb.req.Shard,
		Snapshot: jb.snap.Version,
		Query:    string(jb.req.Query),
	})
	close(jb.start)
}

func (up *Upstream) drawServiceTime() time.Duration {
	dur := up.cfg.Service(up.rnd)
	if up.faults.SlowShare > 0 && up.rnd.Float64() < up.faults.SlowShare {
		dur = time.Duration(float64(dur) * up.faults.SlowTimes)
	}
	return dur
}

// drawError reports whether the next sub-request is to fail at once.
func (up *Upstream) drawError() bool {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.faults.ErrorShare > 0 && up.rnd.Float64() < up.faults.ErrorShare
}

// runJob waits for a slot and then for the service time.
func (up *Upstream) runJob(ctx context.Context, jb *job) jobOutcome {
	defer up.release(jb)
	deadline := time.NewTimer(millis(jb.req.DeadlineMs))
	defer deadline.Stop()
	select {
	case <-jb.start:
	case <-jb.cancelled:
		return up.abandon(jb, jobCancelledQueued, jobCancelledRunning)
	case <-deadline.C:
		return up.abandon(jb, jobExpiredQueued, jobExpiredRunning)
	case <-ctx.Done():
		return jobStopped
	}
	if jb.serviceTime <= 0 {
		return jobDone
	}
	service := time.NewTimer(jb.serviceTime)
	defer service.Stop()
	select {
	case <-service.C:
		return jobDone
	case <-jb.cancelled:
		return jobCancelledRunning
	case <-deadline.C:
		return jobExpiredRunning
	case <-ctx.Done():
		return jobStopped
	}
}

// abandon ends the wait for a slot and returns the outcome queued. If the job got a slot at the
// same moment, it counts as run and the outcome is running: a refusal must mean that nothing
// was run.
func (up *Upstream) abandon(jb *job, queued, running jobOutcome) jobOutcome {
	up.mu.Lock()
	defer up.mu.Unlock()
	if jb.started {
		return running
	}
	jb.abandoned = true
	return queued
}

// release frees the job's slot or its place in the queue, and starts the next queued jobs.
func (up *Upstream) release(jb *job) {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.jobs[jb.req.ID] == jb {
		delete(up.jobs, jb.req.ID)
	}
	if !jb.started {
		up.dequeue(jb)
		return
	}
	up.running--
	for len(up.queue) > 0 && up.running < up.cfg.Slots {
		next := up.queue[0]
		up.queue = up.queue[1:]
		if !next.abandoned {
			up.startJob(next)
		}
	}
}

func (up *Upstream) dequeue(jb *job) {
	if i := slices.Index(up.queue, jb); i >= 0 {
		up.queue = slices.Delete(up.queue, i, i+1)
	}
}

// cancel cancels a sub-request that is queued or running. An unknown id is ignored: the reply
// has been sent, or the sub-request has not arrived yet.
func (up *Upstream) cancel(id string) bool {
	up.mu.Lock()
	defer up.mu.Unlock()
	jb := up.jobs[id]
	if jb == nil {
		return false
	}
	delete(up.jobs, id)
	close(jb.cancelled)
	return true
}
