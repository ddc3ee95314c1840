package node

import (
	"laburnumvane/core/change"
	"laburnumvane/core/codec"
	"laburnumvane/core/spread"
	"laburnumvane/io/inner"
)

// updateToWire encodes an update for a message. The document is deflated if that makes it
// smaller: documents are repetitive, and the bandwidth of control traffic is limited.
func updateToWire(up spread.Update) *inner.TeamConfig {
	tc := &inner.TeamConfig{Team: up.Team, Revision: up.Revision, ChangeId: up.ChangeID}
	deflated := codec.Deflate(up.Document, codec.Fast)
	if len(deflated) >= len(up.Document) {
		tc.Document = up.Document
		return tc
	}
	tc.Deflated = deflated
	return tc
}

// updatesFromWire decodes the updates of a message. An update that cannot be inflated is left
// out and counted; the next pull brings it again.
func (nd *Node) updatesFromWire(tcs []*inner.TeamConfig) []spread.Update {
	ups := make([]spread.Update, 0, len(tcs))
	for _, tc := range tcs {
		up := spread.Update{Team: tc.GetTeam(), Revision: tc.GetRevision(), ChangeID: tc.GetChangeId(), Document: tc.GetDocument()}
		if len(tc.GetDeflated()) > 0 {
			raw, err := codec.Inflate(tc.GetDeflated(), change.MaxDocument)
			if err != nil {
				nd.meter.Count(meterConfig, "messageUnreadable")
				continue
			}
			up.Document = raw
		}
		ups = append(ups, up)
	}
	return ups
}
