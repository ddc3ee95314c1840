package upst

import "sync/atomic"

// event is something that happened to connections, to be counted.
type event uint8

const (
	evOpened event = iota
	evDialFailed
	evRefused
	evStale
	evSilent
	evLate
	evPing
	evPingFailed
	evCancelSent
	evCancelLeft
	evIdleClosed
	evBackoff
	eventCount
)

// eventNames are the reasons under which events are counted.
var eventNames = [eventCount]string{
	"opened", "dialFailed", "refused", "stale", "silent", "late",
	"ping", "pingFailed", "cancelSent", "cancelLeft", "idleClosed", "backoff",
}

// stats counts the events of one server.
type stats struct {
	counts [eventCount]atomic.Int64
}

func (st *stats) count(ev event) {
	st.counts[ev].Add(1)
}

// harvest reports and clears the counts.
func (st *stats) harvest(count func(reason string, n int64)) {
	for ev := range st.counts {
		if n := st.counts[ev].Swap(0); n > 0 {
			count(eventNames[ev], n)
		}
	}
}
