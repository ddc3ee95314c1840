package follow

import (
	"context"
	"net/http"
	"time"

	"laburnumvane/core/feed"
	"laburnumvane/io/inner"
	"laburnumvane/io/stubs"
)

// peerDial bounds the opening of a connection within a region.
const peerDial = 400 * time.Millisecond

// answer is another VM's news.
type answer struct {
	update  feed.Update
	age     time.Duration
	leaving bool
	// sinceReturn is the time since the store came back; 0 if no absence is
	// known.
	sinceReturn time.Duration
	// origin is the VM that heard the store for it, follows the one that the answering
	// VM follows.
	origin, follows string
	// others are VMs that have a copy, named by one that gives none.
	others []string
}

// returned is when the store came back on this VM's clock; 0 if no absence is
// known, or it was before this VM's start.
func (an answer) returned(now time.Duration) time.Duration {
	if an.sinceReturn == 0 {
		return 0
	}
	return max(0, now-an.sinceReturn)
}

// newStubs makes the clients of other VMs.
func newStubs() *stubs.Pool[inner.Feed] {
	return stubs.New(stubs.Config[inner.Feed]{
		Make:     func(base string, hc *http.Client) inner.Feed { return inner.NewFeedProtobufClient(base, hc) },
		DialTime: peerDial,
		Idle:     1,
	})
}

// ask asks another VM for what came after a revision, and passes hints on to it.
func (fo *Follower) ask(ctx context.Context, addr string, after uint64, wait time.Duration, hints ...string) (answer, error) {
	rq := &inner.FollowRequest{
		Version: inner.Version,
		After:   after,
		WaitMs:  uint32(wait.Milliseconds()),
		From:    fo.cfg.Self.Addr,
		Packs:   true,
		AgeMs:   uint64(min(fo.Age(), never).Milliseconds()) + 1,
	}
	for _, word := range hints {
		rq.Hints = append(rq.Hints, []byte(word))
	}
	fo.mu.Lock()
	rq.TakesHints, rq.HintsSeen = true, fo.hintsSeen[addr]
	rq.CutOff = fo.cut.proven
	rq.CutKnown = fo.cut.proven || fo.toldCut(fo.cfg.Clock())
	fo.mu.Unlock()
	rp, err := fo.peers.At(addr).Follow(ctx, rq)
	if err != nil {
		return answer{}, err
	}
	fo.mu.Lock()
	if rp.GetCutOff() && !fo.isFar(addr) {
		fo.noteCut(fo.cfg.Clock())
	}
	fo.noteHintsSeen(addr, rp.GetHintsUpto())
	fo.mu.Unlock()
	fo.takeHints(texts(rp.GetHints()))
	an := answer{
		update:  feed.Update{Whole: rp.GetWhole(), AsOf: rp.GetAsOf()},
		age:     time.Duration(rp.GetAgeMs()) * time.Millisecond,
		leaving: rp.GetLeaving(),
		others:  rp.GetOthers(),
		origin:  rp.GetOrigin(),
		follows: rp.GetFollows(),

		sinceReturn: time.Duration(rp.GetReturnedMs()) * time.Millisecond,
	}
	events, err := eventsOf(rp)
	if err != nil {
		return answer{}, err
	}
	for _, fe := range events {
		ev, err := unpack(fe)
		if err != nil {
			return answer{}, err
		}
		an.update.Events = append(an.update.Events, ev)
	}
	return an, nil
}

func texts(words [][]byte) []string {
	out := make([]string, len(words))
	for i, word := range words {
		out[i] = string(word)
	}
	return out
}
