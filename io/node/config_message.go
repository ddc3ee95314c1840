package node

import (
	"laburnumvane/core/change"
	"laburnumvane/core/press"
	"laburnumvane/core/spread"
	"laburnumvane/io/inner"
)

// messageOf puts an update into a message, deflated: documents repeat
// themselves, and what a VM may send for control is little.
func messageOf(up spread.Update) *inner.TeamConfig {
	tc := &inner.TeamConfig{Team: up.Team, Revision: up.Revision, ChangeId: up.ChangeID}
	deflated := press.Deflate(up.Document, press.Fast)
	if len(deflated) >= len(up.Document) {
		tc.Document = up.Document
		return tc
	}
	tc.Deflated = deflated
	return tc
}

// updatesIn reads the updates of a message; one that cannot be inflated is left
// out and counted, and comes again with the next pull.
func (nd *Node) updatesIn(tcs []*inner.TeamConfig) []spread.Update {
	ups := make([]spread.Update, 0, len(tcs))
	for _, tc := range tcs {
		up := spread.Update{Team: tc.GetTeam(), Revision: tc.GetRevision(), ChangeID: tc.GetChangeId(), Document: tc.GetDocument()}
		if len(tc.GetDeflated()) > 0 {
			raw, err := press.Inflate(tc.GetDeflated(), change.MaxDocument)
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
