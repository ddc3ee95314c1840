package follow

import (
	"context"
	"net/http"
	"time"

	"laburnumvane/core/mirror"
	"laburnumvane/io/inner"
	"laburnumvane/io/stubs"
)

// peerDialTimeout limits the opening of a connection within a region.
const peerDialTimeout = 400 * time.Millisecond

// answer is another VM's answer to a Follow call.
type answer struct {
	update  mirror.Update
	age     time.Duration
	leaving bool
	// sinceReturn is the time since the store was available again; 0 if it was never unavailable
	// as far as is known.
	sinceReturn time.Duration
	// origin is the VM that got the update from the store. follows is the VM that the answering
	// VM follows.
	origin, follows string
	// others are VMs that have a copy, as named by a VM that does not give one.
	others []string
}

// returnedAt returns when the store was available again, by this VM's clock; 0 if it was never
// unavailable as far as is known, or before this VM's start.
func (an answer) returnedAt(now time.Duration) time.Duration {
	if an.sinceReturn == 0 {
		return 0
	}
	return max(0, now-an.sinceReturn)
}

// newStubs returns the pool of clients for other VMs.
func newStubs() *stubs.Pool[inner.Feed] {
	return stubs.New(stubs.Config[inner.Feed]{
		NewClient:   func(base string, hc *http.Client) inner.Feed { return inner.NewFeedProtobufClient(base, hc) },
		DialTimeout: peerDialTimeout,
		MaxIdle:     1,
	})
}

// callPeer asks another VM for the updates after a revision, and passes hints on to it. The
// other VM waits for an update, at most for wait.
func (fo *Follower) callPeer(ctx context.Context, addr string, after uint64, wait time.Duration, hints ...string) (answer, error) {
	rq := &inner.FollowRequest{
		Version: inner.Version,
		After:   after,
		WaitMs:  uint32(wait.Milliseconds()),
		From:    fo.cfg.Self.Addr,
		Packs:   true,
		AgeMs:   uint64(min(fo.Age(), unknownAge).Milliseconds()) + 1,
	}
	for _, hint := range hints {
		rq.Hints = append(rq.Hints, []byte(hint))
	}
	fo.mu.Lock()
	rq.TakesHints, rq.HintsSeen = true, fo.hintsSeen[addr]
	rq.CutOff = fo.cut.proven
	rq.CutKnown = fo.cut.proven || fo.cutReported(fo.cfg.Clock())
	fo.mu.Unlock()
	rp, err := fo.peers.Client(addr).Follow(ctx, rq)
	if err != nil {
		return answer{}, err
	}
	fo.mu.Lock()
	if rp.GetCutOff() && !fo.isRemote(addr) {
		fo.noteCutReport(fo.cfg.Clock())
	}
	fo.setHintsSeen(addr, rp.GetHintsUpto())
	fo.mu.Unlock()
	fo.acceptHints(toStrings(rp.GetHints()))
	an := answer{
		update:  mirror.Update{Full: rp.GetWhole(), AsOf: rp.GetAsOf()},
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

func toStrings(hints [][]byte) []string {
	out := make([]string, len(hints))
	for i, hint := range hints {
		out[i] = string(hint)
	}
	return out
}
