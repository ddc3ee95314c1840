package follow

import (
	"context"
	"time"

	"laburnumvane/core/feed"
	"laburnumvane/io/inner"
)

const (
	// mostWait bounds how long a caller is kept waiting, whatever it asks for.
	mostWait = 5 * time.Second
	// stalePoll is how often a VM that keeps a caller waiting looks whether its
	// own news has grown old.
	stalePoll = 250 * time.Millisecond
)

// Follow serves inner.Feed: it answers as soon as there is something new, the
// store was heard again, or this VM's own news has grown old. Without the second
// the age would grow by a whole wait with each VM that news passes.
func (fo *Follower) Follow(ctx context.Context, rq *inner.FollowRequest) (*inner.FollowReply, error) {
	fo.noteAsker(rq)
	fo.passUp(texts(rq.GetHints()))
	if others, give := fo.gives(rq); !give {
		return &inner.FollowReply{Others: others}, nil
	}
	wait := min(time.Duration(rq.GetWaitMs())*time.Millisecond, mostWait)
	until := fo.cfg.Clock() + wait
	begun := fo.heardAt()
	for {
		rp, changed, ready := fo.look(rq)
		now := fo.cfg.Clock()
		if ready || now >= until || fo.heardAt() > begun {
			return rp, nil
		}
		tm := time.NewTimer(min(until-now, stalePoll))
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

// gives tells whether a caller without a copy gets one from this VM, or whom to ask.
func (fo *Follower) gives(rq *inner.FollowRequest) (others []string, give bool) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if rq.GetAfter() > 0 || !rq.GetPacks() {
		return nil, true
	}
	if !fo.replica.Known() {
		return fo.giver.Others(fo.cfg.Clock(), rq.GetFrom()), false
	}
	give, others = fo.giver.Ask(fo.cfg.Clock(), rq.GetFrom())
	return others, give
}

// noteAsker keeps a caller whose news is newer than this VM's: the store may turn this
// one away and serve the other.
func (fo *Follower) noteAsker(rq *inner.FollowRequest) {
	fo.Note(rq.GetFrom())
	if rq.GetAgeMs() == 0 {
		return
	}
	age := time.Duration(rq.GetAgeMs()-1) * time.Millisecond
	fo.mu.Lock()
	defer fo.mu.Unlock()
	now := fo.cfg.Clock()
	if rq.GetCutOff() {
		fo.noteProof(now)
	}
	if age <= feed.StaleAfter && rq.GetAfter() > 0 {
		fo.giver.Note(now, rq.GetFrom())
	}
	if age < fo.age(now) {
		fo.asker = asker{addr: rq.GetFrom(), heard: now - age}
	}
}

func (fo *Follower) heardAt() time.Duration {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.absence.Last()
}

// look makes the reply of this moment and tells whether it is worth sending.
func (fo *Follower) look(rq *inner.FollowRequest) (*inner.FollowReply, <-chan struct{}, bool) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	age := fo.age(fo.cfg.Clock())
	rp := fo.newReply(age)
	hinted := fo.addHints(rq, rp)
	up, news := fo.replica.Since(rq.GetAfter())
	if news && (up.Whole || len(up.Events) > 0) {
		rp.Whole = up.Whole
		rp.AsOf = up.AsOf
		for _, ev := range up.Events {
			rp.Events = append(rp.Events, fo.pack.pack(ev))
		}
		if up.Whole && rq.GetPacks() {
			fo.packWhole(rp)
		}
		return rp, fo.changed, true
	}
	cutNews := rp.GetCutOff() && !rq.GetCutKnown()
	// A caller whose news this is has nothing to wait for here, and should ask the store.
	own := rq.GetFrom() != "" && (fo.origin == rq.GetFrom() || fo.follows == rq.GetFrom())
	return rp, fo.changed, fo.leaving || hinted || cutNews || own || age > feed.StaleAfter
}

// newReply tells how this VM's news stands, without any. The caller holds the lock.
func (fo *Follower) newReply(age time.Duration) *inner.FollowReply {
	rp := &inner.FollowReply{
		AgeMs:   uint64(age.Milliseconds()),
		Leaving: fo.leaving,
		CutOff:  fo.tellsCut(fo.cfg.Clock()),
		Origin:  fo.origin,
		Follows: fo.follows,
	}
	if returned := fo.absence.Returned(); returned > 0 {
		rp.ReturnedMs = uint64((fo.cfg.Clock() - returned).Milliseconds()) + 1
	}
	if fo.replica.Known() {
		rp.AsOf = fo.replica.AsOf()
	}
	return rp
}

// packWhole compresses a whole copy; one that cannot be is sent as it is. The caller
// holds the lock.
func (fo *Follower) packWhole(rp *inner.FollowReply) {
	packed, err := fo.whole.pack(rp.GetAsOf(), rp.GetEvents())
	if err != nil {
		fo.cfg.Count("packFailed")
		return
	}
	rp.Packed, rp.Events = packed, nil
}
