package upst

import "sync/atomic"

// event is a kind of connection event that is counted.
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
	evProbe
	eventCount
)

// String returns the reason under which an event is counted.
func (ev event) String() string {
	names := [eventCount]string{
		"opened", "dialFailed", "refused", "stale", "silent", "late",
		"ping", "pingFailed", "cancelSent", "cancelLeft", "idleClosed", "backoff", "probe",
	}
	return names[ev]
}

// stats counts the events of one server.
type stats struct {
	counts [eventCount]atomic.Int64
}

func (st *stats) count(ev event) {
	st.counts[ev].Add(1)
}

// report reports the counts above 0 and resets them.
func (st *stats) report(count func(reason string, n int64)) {
	for ev := range st.counts {
		if n := st.counts[ev].Swap(0); n > 0 {
			count(event(ev).String(), n)
		}
	}
}
