package follow

import (
	"context"
	"time"
)

const (
	// tellCutTime bounds the call by which the first VM of the data centre hears of a
	// cut: it is a millisecond away.
	tellCutTime = 200 * time.Millisecond
	// toldFor is how long another VM's word on a cut is looked into.
	toldFor = time.Second
)

// cutNews is what VMs of one data centre tell each other of a cut.
type cutNews struct {
	// proven is set while this VM takes itself for cut off.
	proven bool
	// toldAt is when another VM said so last, ever if one did, and proofAt when one that
	// follows this VM said that it has proof.
	toldAt, proofAt time.Duration
	ever            bool
}

// SetCut takes this VM's own verdict on whether its data centre is cut off. Those that
// follow this VM hear of a cut at once.
func (fo *Follower) SetCut(off bool) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.cut.proven = off
	if off {
		fo.wakeAll()
	}
}

// TellCut has the VM of this data centre that this one follows hear of the verdict. It
// waits for the answer; the first VM of a data centre follows none there.
func (fo *Follower) TellCut(ctx context.Context) {
	fo.mu.Lock()
	leader, after := fo.leader, fo.replica.AsOf()
	fo.mu.Unlock()
	if leader == "" {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, tellCutTime)
	defer cancel()
	fo.cfg.Count("tell")
	if _, err := fo.ask(bounded, leader, after, 0); err != nil {
		// The others find out by themselves, a second later.
		fo.cfg.Count("tellFailed")
	}
}

// ToldCut tells whether another VM of this data centre said lately that it is cut off.
func (fo *Follower) ToldCut() bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.toldCut(fo.cfg.Clock())
}

// toldCut is ToldCut for a caller that holds the lock.
func (fo *Follower) toldCut(now time.Duration) bool {
	return fo.cut.ever && now-fo.cut.toldAt <= toldFor
}

// noteCut takes another VM's word. The caller holds the lock.
func (fo *Follower) noteCut(now time.Duration) { fo.cut.toldAt, fo.cut.ever = now, true }

// noteProof takes the word of a VM that has proof, and has those that follow this one hear
// it at once: each looks for its own, and need not wait for this VM's. What this VM was
// told without proof goes no further, or a word could go round for ever. The caller holds
// the lock.
func (fo *Follower) noteProof(now time.Duration) {
	if !fo.tellsCut(now) {
		fo.wakeAll()
	}
	fo.noteCut(now)
	fo.cut.proofAt = now
}

// tellsCut tells whether this VM has proof of a cut, or one that follows it had lately. The
// caller holds the lock.
func (fo *Follower) tellsCut(now time.Duration) bool {
	return fo.cut.proven || fo.cut.proofAt > 0 && now-fo.cut.proofAt <= toldFor
}
