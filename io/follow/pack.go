package follow

import (
	"laburnumvane/core/feed"
	"laburnumvane/core/press"
	"laburnumvane/io/inner"
)

const (
	// packFrom is the length above which a value is compressed. A
	// configuration of some hundred routes shrinks to a tenth; without it one
	// that changes would fill the links of small VMs for seconds.
	packFrom = 2 << 10
	// maxUnpacked bounds what a peer's value may grow to; the store's own bound
	// is a megabyte.
	maxUnpacked = 16 << 20
)

// packer remembers the value that it compressed last: a change goes to many VMs
// at once.
type packer struct {
	key      string
	revision uint64
	packed   []byte
}

func (pa *packer) pack(ev feed.Event) *inner.FeedEvent {
	fe := &inner.FeedEvent{Key: ev.Key, Value: ev.Value, Revision: ev.Revision, Removed: ev.Removed, Lease: ev.Lease}
	if len(ev.Value) < packFrom {
		return fe
	}
	if pa.key != ev.Key || pa.revision != ev.Revision {
		pa.key, pa.revision, pa.packed = ev.Key, ev.Revision, press.Deflate(ev.Value, press.Fast)
	}
	fe.Value, fe.Packed = pa.packed, true
	return fe
}

func unpack(fe *inner.FeedEvent) (feed.Event, error) {
	ev := feed.Event{
		Item:    feed.Item{Key: fe.GetKey(), Value: fe.GetValue(), Revision: fe.GetRevision(), Lease: fe.GetLease()},
		Removed: fe.GetRemoved(),
	}
	if !fe.GetPacked() {
		return ev, nil
	}
	value, err := press.Inflate(ev.Value, maxUnpacked)
	ev.Value = value
	return ev, err
}
