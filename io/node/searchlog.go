package node

import (
	"fmt"

	"github.com/phuslu/log"

	"laburnumvane/io/lines"
	"laburnumvane/io/meter"
	"laburnumvane/io/wire"
)

// Names under which lines of searches are counted.
const (
	loggedSearch = "searches"
	loggedLost   = "lost"
	sampledOut   = "sampledOut"
)

// queueLog gives this VM a logger of its own, whose level can be changed without
// that of others in the process, and whose lines are queued.
func (nd *Node) queueLog(lo *log.Logger) {
	nd.lines = lines.New(lines.Config{
		Writer: lo.Writer,
		Lost:   func(n int64) { nd.meter.Add(meter.Logged, loggedLost, n) },
	})
	nd.log = &log.Logger{
		Level:      lo.Level,
		TimeField:  lo.TimeField,
		TimeFormat: lo.TimeFormat,
		Context:    lo.Context,
		Writer:     nd.lines,
	}
}

// logSearch writes each search that was not plainly complete, at level warn, and
// one in so many of the others, at level info.
func (nd *Node) logSearch(rq wire.SearchRequest, an wire.SearchAnswer) {
	entry := nd.searchEntry(an)
	if entry == nil {
		return
	}
	nd.meter.Count(meter.Logged, loggedSearch)
	entry.Str("id", an.ID).Str("team", rq.Team).Str("search", rq.Search).
		Str("outcome", string(an.Outcome)).Str("reason", an.Reason).
		Uint64("snapshot", an.Snapshot).Int("shards", an.Coverage.Shards).Int("answered", an.Coverage.Answered).
		Float64("elapsedMs", an.ElapsedMs).Int64("retryAfterMs", an.RetryAfterMs).
		Int("primaries", an.Work.Primaries).Int("hedges", an.Work.Hedges).Int("retries", an.Work.Retries).
		Msg("search")
}

// logPanic writes a fault of this program that one request brought out.
func (nd *Node) logPanic(value any, stack []byte) {
	nd.log.Error().Str("panic", fmt.Sprint(value)).Bytes("stack", stack).Msg("handler panicked")
}

// searchEntry begins the line of an answer; nil means that there is none.
func (nd *Node) searchEntry(an wire.SearchAnswer) *log.Entry {
	if an.Outcome != wire.OutcomeComplete {
		nd.meter.Count(meter.Incomplete, an.Reason)
		return nd.log.Warn()
	}
	every := uint64(nd.set.LogSample)
	if every == 0 || nd.complete.Add(1)%every != 0 {
		nd.meter.Count(meter.Logged, sampledOut)
		return nil
	}
	return nd.log.Info()
}
