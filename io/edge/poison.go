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
func (eg *Edge) hint(rd poison.Record) {
	eg.workers.run(func() { eg.follow.TellHint(context.Background(), rd.Word()) })
}

// hinted takes in such a word.
func (eg *Edge) hinted(word string) {
	rd, err := poison.ParseWord(word)
	if err != nil {
		eg.meter.Count(meter.Platform, "hintUnreadable")
		eg.cfg.Log.Warn().Err(err).Msg("another VM's word cannot be read")
		return
	}
	eg.meter.Count(meter.Poison, "hinted")
	eg.entry.HintPoison(rd)
}
