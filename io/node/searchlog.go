package node

import (
	"fmt"

	"github.com/phuslu/log"

	"laburnumvane/io/logbuf"
	"laburnumvane/io/meter"
	"laburnumvane/io/wire"
)

// Metric names of the log lines of searches.
const (
	loggedSearch = "searches"
	loggedLost   = "lost"
	sampledOut   = "sampledOut"
)

// initLog sets up this VM's own logger. Its lines are queued, and its level can be changed
// without affecting other VMs in the process.
func (nd *Node) initLog(lo *log.Logger) {
	nd.logQueue = logbuf.New(logbuf.Config{
		Writer: lo.Writer,
		OnDrop: func(n int64) { nd.meter.Add(meter.Logged, loggedLost, n) },
	})
	nd.log = &log.Logger{
		Level:      lo.Level,
		TimeField:  lo.TimeField,
		TimeFormat: lo.TimeFormat,
		Context:    lo.Context,
		Writer:     nd.logQueue,
	}
}

// logSearch logs each search that is not complete, at level warn, and a sample of the complete
// ones, at level info.
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

// logPanic logs a panic in the handler of a request.
func (nd *Node) logPanic(value any, stack []byte) {
	nd.log.Error().Str("panic", fmt.Sprint(value)).Bytes("stack", stack).Msg("handler panicked")
}

// searchEntry starts the log entry of an answer. It returns nil if the answer is not logged.
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
