package follow

import (
	"context"
	"time"

	"laburnumvane/io/inner"
)

// sendHintTimeout limits the call that sends hints to the followed VM.
const sendHintTimeout = 300 * time.Millisecond

// SendHint sends a hint to the other VMs at once: to those that follow this VM, to the VM that
// it follows, and from these on to theirs.
func (fo *Follower) SendHint(ctx context.Context, hint string) {
	if fresh := fo.storeHints([]string{hint}); len(fresh) > 0 {
		fo.sendHintsUp(ctx, fresh)
	}
}

// storeHints stores hints for the VMs that follow this one, and returns the new ones.
func (fo *Follower) storeHints(hints []string) (fresh []string) {
	if len(hints) == 0 {
		return nil
	}
	now := fo.cfg.Clock()
	fo.mu.Lock()
	defer fo.mu.Unlock()
	for _, hint := range hints {
		if fo.hints.Add(now, hint) {
			fresh = append(fresh, hint)
		}
	}
	if len(fresh) > 0 {
		fo.wakeAll()
	}
	return fresh
}

// acceptHints stores other VMs' hints, calls OnHint with the new ones and returns these.
func (fo *Follower) acceptHints(hints []string) (fresh []string) {
	fresh = fo.storeHints(hints)
	for _, hint := range fresh {
		fo.cfg.OnHint(hint)
	}
	return fresh
}

// forwardHints accepts hints of a VM that follows this one, and sends the new ones on in the
// background, so that the VM does not have to wait.
func (fo *Follower) forwardHints(hints []string) {
	if fresh := fo.acceptHints(hints); len(fresh) > 0 {
		go fo.sendHintsUp(context.Background(), fresh)
	}
}

// sendHintsUp sends hints to the VM that this one follows.
func (fo *Follower) sendHintsUp(ctx context.Context, hints []string) {
	fo.mu.Lock()
	addr, after := fo.follows, fo.replica.AsOf()
	fo.mu.Unlock()
	if addr == "" {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, sendHintTimeout)
	defer cancel()
	fo.cfg.Count("hint")
	if _, err := fo.callPeer(bounded, addr, after, 0, hints...); err != nil {
		// The other VMs learn of it from the store.
		fo.cfg.Count("hintFailed")
	}
}

// attachHints adds the hints that the caller has not seen to a reply, and reports whether there
// are any. The caller holds the lock.
func (fo *Follower) attachHints(rq *inner.FollowRequest, rp *inner.FollowReply) bool {
	if !rq.GetTakesHints() {
		return false
	}
	hints, upto := fo.hints.Since(fo.cfg.Clock(), rq.GetHintsSeen())
	for _, hint := range hints {
		rp.Hints = append(rp.Hints, []byte(hint))
	}
	rp.HintsUpto = upto
	return len(hints) > 0
}

// maxHintSenders limits the VMs in hintsSeen. A VM follows only one or two at a time.
const maxHintSenders = 16

// setHintsSeen records the number of the last hint received from a VM. The caller holds the
// lock.
func (fo *Follower) setHintsSeen(addr string, upto uint64) {
	if _, ok := fo.hintsSeen[addr]; !ok && len(fo.hintsSeen) >= maxHintSenders {
		clear(fo.hintsSeen)
	}
	fo.hintsSeen[addr] = upto
}
