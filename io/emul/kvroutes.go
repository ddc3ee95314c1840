package emul

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"laburnumvane/io/wire"
)

func (kv *KV) routes() []route {
	return []route{
		{http.MethodPost, wire.RouteKVGet, kv.serveGet},
		{http.MethodPost, wire.RouteKVRange, kv.serveRange},
		{http.MethodPost, wire.RouteKVSwap, kv.serveSwap},
		{http.MethodPost, wire.RouteKVWatch, kv.serveWatch},
		{http.MethodPost, wire.RouteKVLease, kv.serveLease},
		{http.MethodPost, wire.RouteKVKeepAlive, kv.serveKeepAlive},
	}
}

// beginCall counts the call and applies the faults that precede its effect. On success it
// returns holding the lock, with expired leases deleted. On failure the reply is already
// written.
func (kv *KV) beginCall(rc *app.RequestContext, count *uint64) bool {
	kv.mu.Lock()
	*count++
	slow := kv.faults.Slow
	kv.mu.Unlock()
	kv.delay(slow)
	kv.mu.Lock()
	if kv.faults.Fail {
		kv.mu.Unlock()
		replyError(rc, http.StatusInternalServerError, reasonFault, "the service fails")
		return false
	}
	kv.expireLeases()
	return true
}

func (kv *KV) delay(dur time.Duration) {
	if dur <= 0 {
		return
	}
	tm := time.NewTimer(dur)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-kv.host.ctx.Done():
	}
}

// readState returns the state that reads see. The caller holds the lock.
func (kv *KV) readState() kvState {
	if kv.faults.StaleReads {
		return kv.savedState
	}
	return kv.current
}

func (kv *KV) serveGet(_ context.Context, rc *app.RequestContext) {
	rq, ok := decode[wire.KVGetRequest](rc)
	if !ok || !kv.beginCall(rc, &kv.counts.Get) {
		return
	}
	ks := kv.readState()
	ry := wire.KVRangeReply{Revision: ks.revision, Pairs: []wire.KVPair{}}
	if kp, found := ks.pairs[rq.Key]; found {
		ry.Pairs = append(ry.Pairs, kp)
	}
	kv.mu.Unlock()
	reply(rc, http.StatusOK, ry)
}

func (kv *KV) serveRange(_ context.Context, rc *app.RequestContext) {
	rq, ok := decode[wire.KVRangeRequest](rc)
	if !ok || !kv.beginCall(rc, &kv.counts.Range) {
		return
	}
	ks := kv.readState()
	ry := wire.KVRangeReply{Revision: ks.revision, Pairs: ks.withPrefix(rq.Prefix)}
	kv.mu.Unlock()
	reply(rc, http.StatusOK, ry)
}

func (kv *KV) serveSwap(_ context.Context, rc *app.RequestContext) {
	rq, ok := decode[wire.KVSwapRequest](rc)
	if !ok || !kv.beginCall(rc, &kv.counts.Swap) {
		return
	}
	if len(rq.Value) > MaxValue {
		kv.mu.Unlock()
		replyError(rc, http.StatusRequestEntityTooLarge, reasonTooLarge, "value above the limit")
		return
	}
	if rq.Lease != 0 && kv.leases[rq.Lease] == nil {
		kv.mu.Unlock()
		replyError(rc, http.StatusPreconditionFailed, reasonLease, "no such lease")
		return
	}
	ry := kv.swap(rq)
	lose := kv.faults.LoseSwaps
	kv.mu.Unlock()
	if lose {
		_ = rc.GetConn().Close()
		return
	}
	reply(rc, http.StatusOK, ry)
}

func (kv *KV) serveLease(_ context.Context, rc *app.RequestContext) {
	rq, ok := decode[wire.KVLeaseRequest](rc)
	if !ok || !kv.beginCall(rc, &kv.counts.Lease) {
		return
	}
	if rq.TTLMs <= 0 {
		kv.mu.Unlock()
		replyError(rc, http.StatusBadRequest, reasonMalformed, "ttlMs must be positive")
		return
	}
	ry := kv.grantLease(millis(rq.TTLMs))
	kv.mu.Unlock()
	reply(rc, http.StatusOK, ry)
}

func (kv *KV) serveKeepAlive(_ context.Context, rc *app.RequestContext) {
	rq, ok := decode[wire.KVLeaseRequest](rc)
	if !ok || !kv.beginCall(rc, &kv.counts.KeepAlive) {
		return
	}
	ry := kv.keepAlive(rq.ID)
	kv.mu.Unlock()
	reply(rc, http.StatusOK, ry)
}

func (kv *KV) serveWatch(_ context.Context, rc *app.RequestContext) {
	rq, ok := decode[wire.KVWatchRequest](rc)
	if !ok || !kv.beginCall(rc, &kv.counts.Watch) {
		return
	}
	kv.mu.Unlock()
	ry := kv.awaitEvents(rq)
	kv.mu.Lock()
	silent := kv.faults.SilentWatches
	kv.mu.Unlock()
	if silent {
		kv.host.silenceConn(rc)
	}
	reply(rc, http.StatusOK, ry)
}

// awaitEvents waits for an event with the prefix, no longer than requested.
func (kv *KV) awaitEvents(rq wire.KVWatchRequest) wire.KVWatchReply {
	tm := time.NewTimer(min(millis(rq.WaitMs), maxWatchWait))
	defer tm.Stop()
	for {
		ry, changed := kv.checkEvents(rq)
		if len(ry.Events) > 0 || ry.Compacted {
			return ry
		}
		select {
		case <-changed:
		case <-tm.C:
			return ry
		case <-kv.host.ctx.Done():
			return ry
		}
	}
}

// checkEvents returns the reply as of now, and a channel that is closed by the next change.
func (kv *KV) checkEvents(rq wire.KVWatchRequest) (wire.KVWatchReply, <-chan struct{}) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	if kv.faults.StaleReads {
		return wire.KVWatchReply{Revision: kv.savedState.revision, Events: []wire.KVPair{}}, kv.changed
	}
	ry := wire.KVWatchReply{Revision: kv.current.revision, Events: []wire.KVPair{}}
	if rq.From < kv.current.compacted {
		ry.Compacted = true
		return ry, kv.changed
	}
	ry.Events = kv.eventsAfter(rq.Prefix, rq.From)
	return ry, kv.changed
}
