package node

import (
	"context"
	"math/rand/v2"
	"time"

	"laburnumvane/core/change"
	"laburnumvane/io/wire"
)

const (
	watchWait  = 20 * time.Second
	watchPause = time.Second
	vmsEvery   = 2 * time.Second
)

// watchConfig follows the teams' subtree in the key-value service.
func (nd *Node) watchConfig(ctx context.Context) {
	from := uint64(0)
	known := false
	for ctx.Err() == nil {
		if !known {
			rp, err := nd.kv.Range(ctx, change.Prefix)
			if err != nil {
				nd.platformFailed(ctx, "range", err)
				continue
			}
			nd.takePairs(rp.Pairs)
			from, known = rp.Revision, true
		}
		rp, err := nd.kv.Watch(ctx, change.Prefix, from, watchWait)
		switch {
		case err != nil:
			nd.platformFailed(ctx, "watch", err)
		case rp.Compacted:
			known = false
		default:
			nd.takePairs(rp.Events)
			from = rp.Revision
		}
	}
}

func (nd *Node) platformFailed(ctx context.Context, op string, err error) {
	if ctx.Err() != nil {
		return
	}
	nd.meter.Count("platform", op+"Failed")
	nd.log.Warn().Str("op", op).Err(err).Msg("platform call failed")
	// Jitter keeps the VMs from asking all at once when the service is back.
	pause(ctx, watchPause+rand.N(watchPause))
}

func (nd *Node) takePairs(pairs []wire.KVPair) {
	for _, pair := range pairs {
		name, ok := change.TeamOf(pair.Key)
		if !ok || pair.Deleted {
			continue
		}
		en, err := change.Decode(pair.Value)
		if err != nil {
			nd.log.Error().Str("key", pair.Key).Err(err).Msg("value cannot be read")
			continue
		}
		if cur, ok := en.Current(); ok {
			nd.post(configSeen{team: name, entry: cur})
		}
	}
}

// pollVMs follows the platform's VM list.
func (nd *Node) pollVMs(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := nd.vms.VMs(ctx)
		if err != nil {
			nd.platformFailed(ctx, "vms", err)
			continue
		}
		nd.post(vmsSeen{vms: list.VMs})
		pause(ctx, vmsEvery)
	}
}
