package follow

import (
	"context"
	"time"
)

const (
	// reportCutTimeout limits the call that reports a cut to the first VM of the data centre,
	// which is about a millisecond away.
	reportCutTimeout = 200 * time.Millisecond
	// cutReportLifetime is how long another VM's report of a cut is taken into account.
	cutReportLifetime = time.Second
)

// cutState is what this VM knows of a cut, that is, of its data centre being cut off from all
// others.
type cutState struct {
	// proven is set while this VM itself finds that it is cut off.
	proven bool
	// reportedAt is when another VM last reported a cut, if reported is set. proofAt is when a
	// VM that follows this one last reported that it has proof; 0 if none did.
	reportedAt, proofAt time.Duration
	reported            bool
}

// SetCut sets whether this VM finds that its data centre is cut off. A cut is reported at once
// to the VMs that follow this one.
func (fo *Follower) SetCut(off bool) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.cut.proven = off
	if off {
		fo.wakeAll()
	}
}

// ReportCut reports this VM's finding to the VM of this data centre that it follows, and waits for
// the answer. It does nothing on the first VM of a data centre, which follows none there.
func (fo *Follower) ReportCut(ctx context.Context) {
	fo.mu.Lock()
	leader, after := fo.leader, fo.replica.AsOf()
	fo.mu.Unlock()
	if leader == "" {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, reportCutTimeout)
	defer cancel()
	fo.cfg.Count("tell")
	if _, err := fo.callPeer(bounded, leader, after, 0); err != nil {
		// The other VMs detect the cut themselves, a second later.
		fo.cfg.Count("tellFailed")
	}
}

// CutReported reports whether another VM of this data centre reported a cut recently.
func (fo *Follower) CutReported() bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.cutReported(fo.cfg.Clock())
}

// cutReported is CutReported for callers that hold the lock.
func (fo *Follower) cutReported(now time.Duration) bool {
	return fo.cut.reported && now-fo.cut.reportedAt <= cutReportLifetime
}

// noteCutReport records another VM's report of a cut. The caller holds the lock.
func (fo *Follower) noteCutReport(now time.Duration) { fo.cut.reportedAt, fo.cut.reported = now, true }

// noteCutProof records the report of a VM that has proof of a cut, and passes it on at once to
// the VMs that follow this one: each of them then looks for its own proof without waiting for
// this VM's. Reports without proof are not passed on, or they could circulate for ever. The
// caller holds the lock.
func (fo *Follower) noteCutProof(now time.Duration) {
	if !fo.reportsCut(now) {
		fo.wakeAll()
	}
	fo.noteCutReport(now)
	fo.cut.proofAt = now
}

// reportsCut tells whether this VM has proof of a cut, or a VM that follows it had proof
// recently. The caller holds the lock.
func (fo *Follower) reportsCut(now time.Duration) bool {
	return fo.cut.proven || fo.cut.proofAt > 0 && now-fo.cut.proofAt <= cutReportLifetime
}
