package edge

import (
	"time"

	"laburnumvane/io/meter"
)

// summaryInterval is how often the state of this VM is logged.
const summaryInterval = 10 * time.Second

// logSummary logs the counters that explain most complaints, for times at which the metrics
// were not collected.
func (eg *Edge) logSummary() {
	now := eg.clock()
	if now < eg.nextSummary {
		return
	}
	eg.nextSummary = now + summaryInterval
	count := func(family, reason string) int64 { return eg.meter.Value(family, reason) }
	eg.cfg.Log.Info().
		Int("inFlight", eg.entry.InFlight()).
		Int64("connections", eg.conns.Load()).
		Int64("opened", count(meter.Connection, "open")).
		Int64("openFailed", count(meter.Connection, "openFailed")).
		Int64("openReset", count(meter.Connection, "openReset")).
		Int64("cut", count(meter.Connection, "cut")).
		Int64("ended", count(meter.Connection, "ended")).
		Int64("closing", count(meter.Connection, "closing")).
		Int64("old", count(meter.Connection, "old")).
		Int64("spare", count(meter.Connection, "spare")).
		Int64("unasked", count(meter.Connection, "unasked")).
		Int64("stray", count(meter.Connection, "stray")).
		Int64("storeCalls", count(meter.Platform, "store")).
		Int64("peerCalls", count(meter.Platform, "peer")).
		Int64("ageMs", eg.follow.Age().Milliseconds()).
		Msg("summary")
}
