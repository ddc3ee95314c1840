package node

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumvane/core/change"
	"laburnumvane/core/rank"
	"laburnumvane/core/spread"
	"laburnumvane/io/inner"
	"laburnumvane/io/meter"
	"laburnumvane/io/wire"
)

// pushTimeout bounds calls to other VMs in case the state machine's own timeout comes late.
const pushTimeout = 5 * time.Second

func seedOf(addr string) uint64 {
	return xxhash.Sum64String(addr)
}

// rangeConfig reads all teams' values from the key-value service.
func (nd *Node) rangeConfig(ctx context.Context, ac spread.Range) spread.Event {
	nd.meter.Count(meter.Platform, "range")
	rp, err := nd.kv.Range(ctx, change.Prefix)
	if err != nil {
		nd.notePlatformFailure(ctx, "range", err)
		return spread.Failed(ac)
	}
	ups, broken := updatesFromPairs(rp.Pairs)
	return spread.Ranged{Call: ac.Call, Revision: rp.Revision, Updates: ups, Broken: broken}
}

// watchConfig waits for changes of the teams' values in the key-value service.
func (nd *Node) watchConfig(ctx context.Context, ac spread.Watch) spread.Event {
	nd.meter.Count(meter.Platform, "watch")
	rp, err := nd.kv.Watch(ctx, change.Prefix, ac.From, ac.Wait)
	if err != nil {
		nd.notePlatformFailure(ctx, "watch", err)
		return spread.Failed{Call: ac.Call}
	}
	ups, broken := updatesFromPairs(rp.Events)
	return spread.Watched{Call: ac.Call, Revision: rp.Revision, Updates: ups, Broken: broken, Compacted: rp.Compacted}
}

// updatesFromPairs decodes the values of teams' keys and returns those that cannot be decoded as
// broken. Other keys are ignored, and so are deleted ones: deleting a key does not revoke a
// configuration.
func updatesFromPairs(pairs []wire.KVPair) (ups []spread.Update, broken []spread.Undecodable) {
	for _, pair := range pairs {
		name, ok := change.TeamOf(pair.Key)
		if !ok || pair.Deleted {
			continue
		}
		en, err := change.Decode(pair.Value)
		if err != nil {
			broken = append(broken, spread.Undecodable{Team: name, Err: err})
			continue
		}
		if cur, ok := en.Current(); ok {
			ups = append(ups, updateFromEntry(name, cur))
		}
	}
	return ups, broken
}

func updateFromEntry(name string, et change.Entry) spread.Update {
	return spread.Update{Team: name, Revision: et.Revision, ChangeID: et.ID, Document: et.Document}
}

func (nd *Node) pushConfig(ctx context.Context, ac spread.Push) spread.Event {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	nd.meter.Count(meterConfig, "pushed")
	_, err := nd.peers.To(ac.To.Addr).Push(ctx, &inner.PushRequest{
		Version: inner.Version,
		From:    nd.self(),
		Teams:   []*inner.TeamConfig{updateToWire(ac.Update)},
	})
	if err != nil {
		nd.meter.Count(meterConfig, "pushFailed")
		return spread.Failed{Call: ac.Call}
	}
	return spread.Acked{Call: ac.Call}
}

func (nd *Node) compareConfig(ctx context.Context, ac spread.Compare) spread.Event {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	rp, err := nd.peers.To(ac.To.Addr).Pull(ctx, &inner.PullRequest{
		Version: inner.Version,
		From:    nd.self(),
		Digest:  ac.Digest.Hash,
		Highest: ac.Digest.Sum,
		Compare: true,
	})
	if err != nil {
		nd.meter.Count(meterConfig, "compareFailed")
		return spread.Failed{Call: ac.Call}
	}
	return spread.Compared{Call: ac.Call, Digest: spread.Digest{Hash: rp.GetDigest(), Sum: rp.GetHighest()}}
}

func (nd *Node) pullConfig(ctx context.Context, ac spread.Pull) spread.Event {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	nd.meter.Count(meterConfig, "pulled")
	rp, err := nd.peers.To(ac.To.Addr).Pull(ctx, &inner.PullRequest{
		Version: inner.Version,
		From:    nd.self(),
		Held:    revisionsToWire(ac.Held),
	})
	if err != nil {
		nd.meter.Count(meterConfig, "pullFailed")
		return spread.Failed{Call: ac.Call}
	}
	return spread.Pulled{Call: ac.Call, Updates: nd.updatesFromWire(rp.GetTeams()), More: rp.GetMore()}
}

// restoreConfig writes a change that the key-value service has lost back to it. The swap expects
// the revision that was read, so that a stale read does no harm.
func (nd *Node) restoreConfig(ctx context.Context, up spread.Update) {
	key := change.KeyOf(up.Team)
	pair, _, err := nd.kv.Get(ctx, key)
	if err != nil {
		nd.notePlatformFailure(ctx, "get", err)
		return
	}
	var en change.Envelope
	if pair.Revision > 0 {
		if en, err = change.Decode(pair.Value); err != nil {
			nd.meter.Count(meterConfig, "restoreUnreadable")
			return
		}
	}
	if en.Revision() >= up.Revision {
		return
	}
	et := change.Entry{ID: up.ChangeID, Revision: up.Revision, UnixMs: time.Now().UnixMilli(), Document: up.Document}
	value, err := en.WithRestored(et).Encode()
	if err != nil {
		nd.meter.Count(meterConfig, "restoreUnreadable")
		return
	}
	rp, err := nd.kv.Swap(ctx, wire.KVSwapRequest{Key: key, Value: value, Expect: pair.Revision})
	switch {
	case err != nil:
		nd.notePlatformFailure(ctx, "swap", err)
	case rp.Swapped:
		nd.meter.Count(meterConfig, "restored")
		nd.log.Warn().Str("team", up.Team).Uint64("revision", up.Revision).Str("change", up.ChangeID).Msg("configuration restored to the key-value service, which had lost it")
	}
}

func revisionsToWire(rvs []spread.Revision) []*inner.TeamRevision {
	out := make([]*inner.TeamRevision, 0, len(rvs))
	for _, rv := range rvs {
		out = append(out, revisionToWire(rv))
	}
	return out
}

func revisionToWire(rv spread.Revision) *inner.TeamRevision {
	return &inner.TeamRevision{Team: rv.Team, Revision: rv.Revision, ChangeId: rv.ChangeID}
}

func rankVMFromWire(vm *inner.VM) rank.VM {
	return rank.VM{Addr: vm.GetAddr(), DataCentre: vm.GetDataCentre()}
}
