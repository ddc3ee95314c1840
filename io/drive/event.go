package drive

import (
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/core/search"
	"laburnumvane/io/meter"
	"laburnumvane/io/upst"
	"laburnumvane/io/wire"
)

// eventOf turns the end of an exchange into the search's event. The name is
// that of the request.
func (dr *Driver) eventOf(at *attempt, name string, rp *wire.ShardReply, err error) search.Event {
	ac := &at.ac
	if err != nil {
		return dr.failed(at, err)
	}
	if rp.ID != name {
		// Two exchanges got mixed up on the way: the reply belongs to
		// somebody else and must not be shown.
		dr.cfg.Meter.Count(meter.Dropped, "foreign")
		return search.Event{Kind: search.EvFailed, Sub: ac.Sub, Reason: "foreignReply", Sent: true}
	}
	dr.cfg.Observe.Replied(ac.Server, rp.Load, rp.Refusal)
	if rp.Refusal != "" {
		dr.cfg.Meter.Count(meter.Upstream, string(rp.Refusal))
		return search.Event{
			Kind:         search.EvRefused,
			Sub:          ac.Sub,
			Reason:       string(rp.Refusal),
			SnapshotGone: rp.Refusal == wire.RefusalSnapshotGone,
			Elsewhere:    elsewhere(rp.Refusal),
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

func (dr *Driver) failed(at *attempt, err error) search.Event {
	reason := "internal"
	sent := true
	var ue *upst.Error
	if errors.As(err, &ue) {
		reason = string(ue.Kind)
		sent = ue.Sent
	}
	if at.cancelled.Load() {
		// This VM gave it up itself; its end says nothing of the server.
		return search.Event{Kind: search.EvFailed, Sub: at.ac.Sub, Reason: search.ReasonCancelled, Sent: sent}
	}
	dr.cfg.Meter.Count(meter.Upstream, reason)
	if !ours(reason) {
		dr.cfg.Observe.Failed(at.ac.Server, reason)
	}
	return search.Event{Kind: search.EvFailed, Sub: at.ac.Sub, Reason: reason, Sent: sent}
}

// ours tells whether a failure is a shortage of this VM and says nothing of the
// server.
func ours(reason string) bool {
	switch reason {
	case ReasonWorkers, string(upst.KindNoConn), string(upst.KindExpired), string(upst.KindClosed):
		return true
	default:
		return false
	}
}
