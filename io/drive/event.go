package drive

import (
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/core/search"
	"laburnumvane/io/meter"
	"laburnumvane/io/upst"
	"laburnumvane/io/wire"
)

// eventOf converts the result of an exchange to an event of the search. Name is the request's id.
func (dr *Driver) eventOf(at *attempt, name string, rp *wire.ShardReply, err error) search.Event {
	ac := &at.ac
	if err != nil {
		return dr.failureEvent(at, err)
	}
	if rp.ID != name {
		// The reply belongs to another exchange and must not be shown to this caller.
		dr.cfg.Meter.Count(meter.Dropped, "foreign")
		return search.Event{Kind: search.EvFailed, Sub: ac.Sub, Reason: "foreignReply", Sent: true}
	}
	dr.cfg.Observe.ObserveReply(ac.Server, rp.Load, rp.Refusal)
	if rp.Refusal != "" {
		dr.cfg.Meter.Count(meter.Upstream, string(rp.Refusal))
		return search.Event{
			Kind:         search.EvRefused,
			Sub:          ac.Sub,
			Reason:       string(rp.Refusal),
			SnapshotGone: rp.Refusal == wire.RefusalSnapshotGone,
			Elsewhere:    isElsewhere(rp.Refusal),
			RetryAfter:   time.Duration(rp.RetryAfterMs) * time.Millisecond,
		}
	}
	return search.Event{
		Kind:     search.EvReply,
		Sub:      ac.Sub,
		Shard:    rp.Shard,
		Snapshot: rp.Snapshot,
		Shards:   rp.Shards,
		Hits:     rp.Hits,
		More:     rp.More,
	}
}

func (dr *Driver) failureEvent(at *attempt, err error) search.Event {
	reason := "internal"
	sent := true
	var ue *upst.Error
	if errors.As(err, &ue) {
		reason = string(ue.Kind)
		sent = ue.Sent
	}
	if at.cancelled.Load() {
		// This VM abandoned the sub-request, so the error says nothing about the server.
		return search.Event{Kind: search.EvFailed, Sub: at.ac.Sub, Reason: search.ReasonCancelled, Sent: sent}
	}
	dr.cfg.Meter.Count(meter.Upstream, reason)
	if !isLocalFailure(reason) {
		dr.cfg.Observe.ObserveFailure(at.ac.Server, reason)
	}
	return search.Event{Kind: search.EvFailed, Sub: at.ac.Sub, Reason: reason, Sent: sent}
}

// isLocalFailure reports whether a failure is a shortage of resources on this VM and says nothing
// about the server.
func isLocalFailure(reason string) bool {
	switch reason {
	case ReasonNoWorker, string(upst.KindNoConn), string(upst.KindExpired), string(upst.KindClosed):
		return true
	default:
		return false
	}
}
