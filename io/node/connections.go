package node

import (
	"context"

	"laburnumvane/io/meter"
	"laburnumvane/io/upst"
)

// keepConnections looks after the connections to all servers and counts what
// happens to them.
func (nd *Node) keepConnections(ctx context.Context) {
	upst.Keep(ctx, upst.KeepConfig{
		Servers: func() []*upst.Server { return *nd.servers.Load() },
		Count:   func(reason string, n int64) { nd.meter.Add(meter.Connection, reason, n) },
	})
}
