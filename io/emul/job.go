package emul

import (
	"context"
	"slices"
	"time"

	"laburnumvane/io/wire"
)

// job is one sub-request in a server, from its admission to its reply.
type job struct {
	req       wire.ShardRequest
	query     Query
	snap      *Snapshot
	start     chan struct{} // closed when a slot is given
	cancelled chan struct{} // closed by a cancellation
	begun     bool
	gaveUp    bool
	service   time.Duration
}

// ending says how a job ended.
type ending int

const (
	endDone      ending = iota
	endExpired          // the deadline passed before it ran
	endDeadline         // the deadline passed while it ran
	endUnstarted        // cancelled before it ran
	endCancelled        // cancelled while it ran
	endStopped          // the server went away
)

// admit decides on a sub-request. It returns a job or a refusal; whatever is
// refused here or while queued has done no work.
func (up *Upstream) admit(rq wire.ShardRequest, qu Query) (*job, wire.Refusal) {
	up.mu.Lock()
	defer up.mu.Unlock()
	snap, rf := up.choose(rq)
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
		up.begin(jb)
	case len(up.queue) < up.cfg.Queue:
		up.queue = append(up.queue, jb)
	default:
		return nil, wire.RefusalShed
	}
	up.jobs[rq.ID] = jb
	return jb, ""
}

// choose checks all that needs no slot and finds the snapshot to serve.
func (up *Upstream) choose(rq wire.ShardRequest) (*Snapshot, wire.Refusal) {
	switch up.state {
	case wire.UpstreamDraining:
		return nil, wire.RefusalDraining
	case wire.UpstreamCold:
		return nil, wire.RefusalCold
	}
	if rq.DeadlineMs <= 0 {
		return nil, wire.RefusalExpired
	}
	hd, rf := up.pick(rq)
	if rf != "" {
		return nil, rf
	}
	if !slices.Contains(hd.shards, rq.Shard) {
		return nil, wire.RefusalNotHeld
	}
	return hd.snap, ""
}

func (up *Upstream) pick(rq wire.ShardRequest) (holding, wire.Refusal) {
	known := false
	for _, hd := range slices.Backward(up.held) {
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

// begin gives a job a slot: from here on it counts as run.
func (up *Upstream) begin(jb *job) {
	up.running++
	jb.begun = true
	jb.service = up.drawService()
	up.runs.add(Run{
		ID:       jb.req.ID,
		Shard:    jb.req.Shard,
		Snapshot: jb.snap.Version,
		Query:    string(jb.req.Query),
	})
	close(jb.start)
}

func (up *Upstream) drawService() time.Duration {
	dur := up.cfg.Service(up.rnd)
	if up.faults.SlowShare > 0 && up.rnd.Float64() < up.faults.SlowShare {
		dur = time.Duration(float64(dur) * up.faults.SlowTimes)
	}
	return dur
}

// drawError tells whether the next sub-request is to fail at once.
func (up *Upstream) drawError() bool {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.faults.ErrorShare > 0 && up.rnd.Float64() < up.faults.ErrorShare
}

// work waits for the slot and then for the service time.
func (up *Upstream) work(ctx context.Context, jb *job) ending {
	defer up.leave(jb)
	dl := time.NewTimer(millis(jb.req.DeadlineMs))
	defer dl.Stop()
	select {
	case <-jb.start:
	case <-jb.cancelled:
		return up.giveUp(jb, endUnstarted, endCancelled)
	case <-dl.C:
		return up.giveUp(jb, endExpired, endDeadline)
	case <-ctx.Done():
		return endStopped
	}
	if jb.service <= 0 {
		return endDone
	}
	sv := time.NewTimer(jb.service)
	defer sv.Stop()
	select {
	case <-sv.C:
		return endDone
	case <-jb.cancelled:
		return endCancelled
	case <-dl.C:
		return endDeadline
	case <-ctx.Done():
		return endStopped
	}
}

// giveUp ends the wait for a slot. A slot may have been given in the same
// moment: then the job counts as run, for a refusal must be the truth.
func (up *Upstream) giveUp(jb *job, unstarted, started ending) ending {
	up.mu.Lock()
	defer up.mu.Unlock()
	if jb.begun {
		return started
	}
	jb.gaveUp = true
	return unstarted
}

// leave frees the job's place and starts the next in the queue.
func (up *Upstream) leave(jb *job) {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.jobs[jb.req.ID] == jb {
		delete(up.jobs, jb.req.ID)
	}
	if !jb.begun {
		up.unqueue(jb)
		return
	}
	up.running--
	for len(up.queue) > 0 && up.running < up.cfg.Slots {
		next := up.queue[0]
		up.queue = up.queue[1:]
		if !next.gaveUp {
			up.begin(next)
		}
	}
}

func (up *Upstream) unqueue(jb *job) {
	if i := slices.Index(up.queue, jb); i >= 0 {
		up.queue = slices.Delete(up.queue, i, i+1)
	}
}

// cancel gives up a sub-request that is queued or running. One that is not
// there is ignored: its reply is on the way, or it has yet to come.
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
