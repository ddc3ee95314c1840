package drive

import (
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/core/search"
	"laburnumvane/io/meter"
	"laburnumvane/io/upst"
	"laburnumvane/io/wire"
)

// eventOf turns the end of an exchange into the search's event.
func (dr *Driver) eventOf(ac search.Action, name string, rp wire.ShardReply, err error) search.Event {
	if err != nil {
		return dr.failed(ac, err)
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

func (dr *Driver) failed(ac search.Action, err error) search.Event {
	reason := "internal"
	sent := true
	var ue *upst.Error
	if errors.As(err, &ue) {
		reason = string(ue.Kind)
		sent = ue.Sent
	}
	dr.cfg.Meter.Count(meter.Upstream, reason)
	dr.cfg.Observe.Failed(ac.Server, reason)
	return search.Event{Kind: search.EvFailed, Sub: ac.Sub, Reason: reason, Sent: sent}
}
