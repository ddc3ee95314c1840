package follow

import (
	"context"
	"time"

	"laburnumvane/core/mirror"
	"laburnumvane/io/inner"
)

const (
	// maxWait limits how long a caller waits for an answer, whatever it asks for.
	maxWait = 5 * time.Second
	// staleMargin is added to the time at which the copy becomes stale, because ages are compared
	// in whole milliseconds.
	staleMargin = time.Millisecond
)

// Follow implements inner.Feed. It answers as soon as there is an update, this VM's copy was
// found current with the store again, or the copy has become stale. Without the second rule the
// age would grow by a full wait with each VM that an update passes.
func (fo *Follower) Follow(ctx context.Context, rq *inner.FollowRequest) (*inner.FollowReply, error) {
	fo.noteCaller(rq)
	fo.forwardHints(toStrings(rq.GetHints()))
	if others, give := fo.givesCopy(rq); !give {
		return &inner.FollowReply{Others: others}, nil
	}
	wait := min(time.Duration(rq.GetWaitMs())*time.Millisecond, maxWait)
	until := fo.cfg.Clock() + wait
	before := fo.lastCurrent()
	for {
		rp, changed, ready := fo.replyNow(rq)
		now := fo.cfg.Clock()
		if ready || now >= until || fo.lastCurrent() > before {
			return rp, nil
		}
		tm := time.NewTimer(min(until-now, fo.lastCurrent()+mirror.StaleAfter+staleMargin-now))
		select {
		case <-changed:
		case <-tm.C:
		case <-ctx.Done():
			tm.Stop()
			return rp, nil
		}
		tm.Stop()
	}
}

// givesCopy decides whether a caller without a copy gets one from this VM, or which other VMs it
// should ask.
func (fo *Follower) givesCopy(rq *inner.FollowRequest) (others []string, give bool) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if rq.GetAfter() > 0 || !rq.GetPacks() {
		return nil, true
	}
	if !fo.replica.Loaded() {
		return fo.copyLimiter.Holders(fo.cfg.Clock(), rq.GetFrom()), false
	}
	give, others = fo.copyLimiter.Allow(fo.cfg.Clock(), rq.GetFrom())
	return others, give
}

// noteCaller records a caller whose copy is newer than this VM's: the store may refuse this VM
// and serve the caller.
func (fo *Follower) noteCaller(rq *inner.FollowRequest) {
	fo.RecordAlive(rq.GetFrom())
	if rq.GetAgeMs() == 0 {
		return
	}
	age := time.Duration(rq.GetAgeMs()-1) * time.Millisecond
	fo.mu.Lock()
	defer fo.mu.Unlock()
	now := fo.cfg.Clock()
	if rq.GetCutOff() {
		fo.noteCutProof(now)
	}
	if age <= mirror.StaleAfter && rq.GetAfter() > 0 {
		fo.copyLimiter.AddHolder(now, rq.GetFrom())
	}
	if age < fo.age(now) {
		fo.freshCaller = freshCaller{addr: rq.GetFrom(), currentAt: now - age}
	}
}

func (fo *Follower) lastCurrent() time.Duration {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.outage.LastContact()
}

// replyNow returns the reply as of now, and whether it should be sent without further waiting.
func (fo *Follower) replyNow(rq *inner.FollowRequest) (*inner.FollowReply, <-chan struct{}, bool) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	age := fo.age(fo.cfg.Clock())
	fo.noteStaleCaller(rq.GetFrom(), age)
	rp := fo.newReply(age)
	hinted := fo.attachHints(rq, rp)
	up, found := fo.replica.Since(rq.GetAfter())
	if found && (up.Full || len(up.Events) > 0) {
		rp.Whole = up.Full
		rp.AsOf = up.AsOf
		for _, ev := range up.Events {
			rp.Events = append(rp.Events, fo.valuePacker.pack(ev))
		}
		if up.Full && rq.GetPacks() {
			fo.packCopy(rp)
		}
		return rp, fo.changed, true
	}
	newCut := rp.GetCutOff() && !rq.GetCutKnown()
	// A caller from which this VM has its updates must not wait here; it should ask the store.
	own := rq.GetFrom() != "" && (fo.origin == rq.GetFrom() || fo.follows == rq.GetFrom())
	return rp, fo.changed, fo.leaving || hinted || newCut || own || age > mirror.StaleAfter
}

// newReply returns a reply with the state of this VM's copy and without events. The caller holds
// the lock.
func (fo *Follower) newReply(age time.Duration) *inner.FollowReply {
	rp := &inner.FollowReply{
		AgeMs:   uint64(age.Milliseconds()),
		Leaving: fo.leaving,
		CutOff:  fo.reportsCut(fo.cfg.Clock()),
		Origin:  fo.origin,
		Follows: fo.follows,
	}
	if returned := fo.outage.Recovered(); returned > 0 {
		rp.ReturnedMs = uint64((fo.cfg.Clock() - returned).Milliseconds()) + 1
	}
	if fo.replica.Loaded() {
		rp.AsOf = fo.replica.AsOf()
	}
	return rp
}

// packCopy compresses the events of a complete copy; if that fails they are sent as they are.
// The caller holds the lock.
func (fo *Follower) packCopy(rp *inner.FollowReply) {
	packed, err := fo.copyPacker.pack(rp.GetAsOf(), rp.GetEvents())
	if err != nil {
		fo.cfg.Count("packFailed")
		return
	}
	rp.Packed, rp.Events = packed, nil
}
