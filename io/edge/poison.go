package edge

import (
	"context"

	"laburnumvane/core/origin"
	"laburnumvane/core/poison"
	"laburnumvane/io/meter"
)

// serverEnded handles a server's crash under requests.
func (eg *Edge) serverEnded(pr origin.Process, requests []string) {
	eg.meter.Count(meter.Connection, "serverEnded")
	eg.cfg.Log.Warn().Str("server", pr.ID).Str("addr", pr.Addr).Strs("requests", requests).Msg("server ended under requests")
	eg.entry.ServerEnded(pr)
}

// sendHint notifies the other VMs at once of a request under which servers crash, because its
// client may retry at one of them a few milliseconds later.
func (eg *Edge) sendHint(rd poison.Record) {
	eg.workers.submit(func() { eg.follow.SendHint(context.Background(), rd.EncodeHint()) })
}

// receiveHint processes such a notification from another VM.
func (eg *Edge) receiveHint(text string) {
	rd, err := poison.ParseHint(text)
	if err != nil {
		eg.meter.Count(meter.Platform, "hintUnreadable")
		eg.cfg.Log.Warn().Err(err).Msg("hint from another VM cannot be read")
		return
	}
	eg.meter.Count(meter.Poison, "hinted")
	eg.entry.ReceiveHint(rd)
}
