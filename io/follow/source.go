package follow

import (
	"context"
	"slices"

	"laburnumvane/core/mirror"
)

// finishStoreCall applies the result of a call to the store.
func (fo *Follower) finishStoreCall(ctx context.Context, re storeResult) {
	err := fo.applyStore(re)
	fo.finishStep(ctx, mirror.Step{From: mirror.FromStore}, mirror.Outcome{Failed: err != nil}, err)
}

// runStep asks a peer, or waits, as the step says. It ends early if a call to the store ends.
func (fo *Follower) runStep(ctx context.Context, ca *storeCall, st mirror.Step) {
	waiting, stop := ca.waitContext(ctx)
	defer stop()
	if st.From != mirror.FromPeer {
		sleep(waiting, st.Wait)
		return
	}
	oc, err := fo.updateFromPeer(waiting, st.Addr)
	if err != nil && waiting.Err() != nil {
		return
	}
	fo.finishStep(ctx, st, oc, err)
}

// announceStep calls OnSourceChange if the step has another source than the last one.
func (fo *Follower) announceStep(st mirror.Step) {
	if st.From == mirror.FromNone {
		return
	}
	if st.From != fo.source.From || st.Addr != fo.source.Addr {
		fo.cfg.OnSourceChange(st, fo.Age(), nil)
		fo.source = st
	}
	fo.setFollows(st)
}

// finishStep records the outcome of a step.
func (fo *Follower) finishStep(ctx context.Context, st mirror.Step, oc mirror.Outcome, err error) {
	fo.selector.Done(fo.cfg.Clock(), st, oc)
	if err != nil && ctx.Err() == nil {
		fo.cfg.OnSourceChange(st, fo.Age(), err)
		fo.source = mirror.Step{}
	}
}

// unlisted returns the VMs that may exist although no entry of theirs is known: the seeds, and those
// that called this VM.
func (fo *Follower) unlisted() []string {
	addrs := append([]string(nil), fo.cfg.Seeds...)
	fo.mu.Lock()
	defer fo.mu.Unlock()
	for addr := range fo.lastSeen {
		if addr != "" && !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	slices.Sort(addrs)
	return addrs
}

// takeFreshCaller returns the last caller whose copy was newer than this VM's. Its address is
// empty if there was none since the last call.
func (fo *Follower) takeFreshCaller() freshCaller {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	as := fo.freshCaller
	fo.freshCaller = freshCaller{}
	return as
}

// setFollows records which VM this VM follows.
func (fo *Follower) setFollows(st mirror.Step) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.follows, fo.leader = st.Addr, ""
	if !fo.isRemote(st.Addr) {
		fo.leader = st.Addr
	}
}
