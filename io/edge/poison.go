package edge

import (
	"context"

	"laburnumvane/core/origin"
	"laburnumvane/core/poison"
	"laburnumvane/io/meter"
)

// serverEnded tells of a server that ended under requests.
func (eg *Edge) serverEnded(pr origin.Process, requests []string) {
	eg.meter.Count(meter.Connection, "serverEnded")
	eg.cfg.Log.Warn().Str("server", pr.ID).Str("addr", pr.Addr).Strs("requests", requests).Msg("server ended under requests")
	eg.entry.ServerEnded(pr)
}

// hint has the other VMs hear at once of a request under which servers end: its caller may
// be at one of them a few milliseconds later.
func (eg *Edge) hint(fp poison.Fingerprint) {
	eg.workers.run(func() { eg.follow.TellHint(context.Background(), string(fp[:])) })
}

// hinted takes in such a word.
func (eg *Edge) hinted(word string) {
	var fp poison.Fingerprint
	if copy(fp[:], word) != len(word) || len(word) != len(fp) {
		eg.meter.Count(meter.Platform, "hintUnreadable")
		return
	}
	eg.poison.Hint(eg.clock(), fp)
	eg.meter.Count(meter.Poison, "hinted")
	eg.cfg.Log.Info().Str("fingerprint", fp.String()).Msg("servers end under a request at another VM")
}
