package entry

import (
	"time"

	"laburnumvane/core/fanout"
	"laburnumvane/io/meter"
)

// Stats counts requests and their outcomes since the start.
type Stats struct {
	// Routed counts the requests that matched a route, Unserved those that were not served,
	// whether by this VM or by the VM to which they were forwarded.
	Routed, Unserved int64
	// RemoteAnsweredAt is when a server of another data centre last responded; 0 if none has.
	RemoteAnsweredAt time.Duration
	// RemoteLost counts the attempts that were lost in other data centres since then.
	RemoteLost int
}

// Stats returns the request counters since the start.
func (en *Entry) Stats() Stats {
	return Stats{
		Routed:           en.routed.Load(),
		Unserved:         en.unserved.Load(),
		RemoteAnsweredAt: time.Duration(en.remoteAnsweredAt.Load()),
		RemoteLost:       int(en.remoteLost.Load()),
	}
}

// noteRemoteAnswer records that a server of another data centre responded.
func (en *Entry) noteRemoteAnswer(now time.Duration) {
	en.remoteAnsweredAt.Store(int64(now))
	en.remoteLost.Store(0)
}

func (en *Entry) recordOutcome(an fanout.Answer, rq *request) {
	if an.Outcome == fanout.OutcomeFailed || an.Outcome == fanout.OutcomeNotRun {
		en.unserved.Add(1)
	}
	en.cfg.Meter.Count(meter.Outcome, an.Outcome.String())
	if an.Reason != "" {
		en.cfg.Meter.Count(meter.Incomplete, an.Reason)
	}
	en.cfg.Meter.Observe(meter.SearchLatency, an.At-rq.began)
}
