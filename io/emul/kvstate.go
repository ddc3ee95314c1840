package emul

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"laburnumvane/io/wire"
)

// kvState is the content of the service at one revision.
type kvState struct {
	revision  uint64
	compacted uint64 // events up to this revision are discarded
	pairs     map[string]wire.KVPair
}

// kvEvent is a change as a watch reports it.
type kvEvent = wire.KVPair

type lease struct {
	ttl     time.Duration
	expires time.Duration
	keys    map[string]struct{}
}

func newKVState() kvState {
	return kvState{pairs: map[string]wire.KVPair{}}
}

// clone copies the map; values are never changed in place and may be shared.
func (ks kvState) clone() kvState {
	ks.pairs = maps.Clone(ks.pairs)
	return ks
}

// withPrefix returns the pairs whose keys have the prefix, ordered by key.
func (ks kvState) withPrefix(prefix string) []wire.KVPair {
	kps := []wire.KVPair{}
	for key, kp := range ks.pairs {
		if strings.HasPrefix(key, prefix) {
			kps = append(kps, kp)
		}
	}
	sort.Slice(kps, func(i, j int) bool { return kps[i].Key < kps[j].Key })
	return kps
}

// put writes or deletes a pair at a new revision. The caller holds the lock.
func (kv *KV) put(kp wire.KVPair) wire.KVPair {
	kv.current.revision++
	kp.Revision = kv.current.revision
	kv.removeFromLease(kv.current.pairs[kp.Key])
	if kp.Deleted {
		delete(kv.current.pairs, kp.Key)
	} else {
		kv.current.pairs[kp.Key] = kp
		kv.addToLease(kp)
	}
	kv.appendEvent(kp)
	return kp
}

func (kv *KV) addToLease(kp wire.KVPair) {
	if le := kv.leases[kp.Lease]; le != nil {
		le.keys[kp.Key] = struct{}{}
	}
}

func (kv *KV) removeFromLease(kp wire.KVPair) {
	if le := kv.leases[kp.Lease]; le != nil {
		delete(le.keys, kp.Key)
	}
}

func (kv *KV) appendEvent(ev kvEvent) {
	kv.log = append(kv.log, ev)
	over := len(kv.log) - kv.cfg.MaxEvents
	if over > 0 {
		kv.current.compacted = kv.log[over-1].Revision
		kv.log = slices.Delete(kv.log, 0, over)
	}
	kv.notifyWatches()
}

// notifyWatches makes all waiting watches check for events again.
func (kv *KV) notifyWatches() {
	close(kv.changed)
	kv.changed = make(chan struct{})
}

// eventsAfter returns the events with the prefix after a revision.
func (kv *KV) eventsAfter(prefix string, revision uint64) []kvEvent {
	first := sort.Search(len(kv.log), func(i int) bool { return kv.log[i].Revision > revision })
	evs := []kvEvent{}
	for _, ev := range kv.log[first:] {
		if strings.HasPrefix(ev.Key, prefix) {
			evs = append(evs, ev)
		}
	}
	return evs
}

func (kv *KV) swap(rq wire.KVSwapRequest) wire.KVSwapReply {
	cur, ok := kv.current.pairs[rq.Key]
	if cur.Revision != rq.Expect {
		if !ok {
			return wire.KVSwapReply{}
		}
		return wire.KVSwapReply{Current: &cur}
	}
	kp := kv.put(wire.KVPair{Key: rq.Key, Value: rq.Value, Lease: rq.Lease})
	return wire.KVSwapReply{Swapped: true, Current: &kp}
}

func (kv *KV) grantLease(ttl time.Duration) wire.KVLeaseReply {
	kv.leaseID++
	le := &lease{ttl: ttl, expires: kv.cfg.Clock() + ttl, keys: map[string]struct{}{}}
	kv.leases[kv.leaseID] = le
	return wire.KVLeaseReply{ID: kv.leaseID, TTLMs: ttl.Milliseconds()}
}

func (kv *KV) keepAlive(id uint64) wire.KVLeaseReply {
	le := kv.leases[id]
	if le == nil {
		return wire.KVLeaseReply{ID: id}
	}
	le.expires = kv.cfg.Clock() + le.ttl
	return wire.KVLeaseReply{ID: id, TTLMs: le.ttl.Milliseconds()}
}

func (kv *KV) expireLeases() {
	now := kv.cfg.Clock()
	for _, id := range slices.Sorted(maps.Keys(kv.leases)) {
		le := kv.leases[id]
		if le.expires > now {
			continue
		}
		delete(kv.leases, id)
		for _, key := range slices.Sorted(maps.Keys(le.keys)) {
			kv.put(wire.KVPair{Key: key, Deleted: true})
		}
	}
}
