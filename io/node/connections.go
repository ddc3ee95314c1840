package node

import (
	"context"

	"laburnumvane/io/meter"
	"laburnumvane/io/upst"
)

// keepConnections maintains the connections to all servers and counts their events until ctx
// ends.
func (nd *Node) keepConnections(ctx context.Context) {
	upst.Maintain(ctx, upst.MaintainConfig{
		Servers: func() []*upst.Server { return *nd.pools.Load() },
		Count:   func(reason string, n int64) { nd.meter.Add(meter.Connection, reason, n) },
	})
}
