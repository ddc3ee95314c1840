package entry

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/core/admit"
	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/plan"
	"laburnumvane/core/route"
	"laburnumvane/core/toggle"
	"laburnumvane/io/meter"
)

const (
	// reasonCallerGone: the client disconnected while its request waited.
	reasonCallerGone = "callerGone"
	// goneRetryAfter is sent to clients that are not expected to read it.
	goneRetryAfter = 150 * time.Millisecond
)

// admission holds the requests of this VM that wait until they may be sent.
type admission struct {
	mu   sync.Mutex
	gate *admit.Gate[chan admitVerdict]
	// routes are the routes that the gate knows.
	routes *route.Table
}

// admitVerdict ends the wait of a request.
type admitVerdict struct {
	start      bool
	reason     admit.Reason
	retryAfter time.Duration
}

func newAdmission() *admission {
	return &admission{gate: admit.NewGate[chan admitVerdict](admit.GateConfig{})}
}

// usesAdmission reports whether requests are admitted by account; otherwise the valves apply.
func (en *Entry) usesAdmission(vw *plan.View) bool {
	return vw.Routes().Accounts() != nil && !en.cfg.Off.Off(toggle.Admission)
}

// admit waits until a request may be sent. It returns a response if the request is refused; else
// fl.endAdmission must be called when it ends.
func (en *Entry) admit(ctx context.Context, fl *flight) *response {
	ad, now := en.admission, en.cfg.Clock()
	ar := fl.arrival(now)
	ready := make(chan admitVerdict, 1)
	var vd admit.Verdict[chan admitVerdict]
	routes := en.cfg.View().Routes()
	ad.update(now, func(ga *admit.Gate[chan admitVerdict]) {
		ad.setRoutes(routes)
		vd = ga.Offer(now, ar, ready)
	})
	switch vd.Kind {
	case admit.Refused:
		return en.refuseAdmission(fl, ar, vd.Reason, vd.RetryAfter)
	case admit.Queued:
		if av := en.awaitAdmission(ctx, vd.Entry, ready); !av.start {
			return en.refuseAdmission(fl, ar, av.reason, av.retryAfter)
		}
		en.cfg.Meter.Observe(meter.QueueLatency, en.cfg.Clock()-now)
	}
	fl.admittedAt, fl.arrived = en.cfg.Clock(), ar
	return nil
}

// setRoutes tells the gate the routes of the configuration in effect, so that it forgets others. The
// lock must be held.
func (ad *admission) setRoutes(routes *route.Table) {
	if routes == ad.routes {
		return
	}
	ad.routes = routes
	var names []string
	for _, rt := range routes.Routes() {
		names = append(names, rt.Name)
	}
	ad.gate.SetRoutes(names)
}

// arrival describes a request to the gate.
func (fl *flight) arrival(now time.Duration) admit.Arrival {
	shards := make([][]*origin.Upstream, len(fl.services))
	for i := range fl.services {
		shards[i] = fl.candidates(i)
	}
	// Without enough servers the request ends at once without being sent, with the reason that
	// there are none.
	usual := fl.latency.usualLatency()
	servers, _ := fl.en.cfg.Steer.Coverage(now, usual, shards, fl.minParts)
	unloaded, _ := fl.en.cfg.Steer.UnloadedCoverage(now, usual, shards, fl.minParts)
	return admit.Arrival{
		Account:  fl.rq.accountName(),
		Priority: fl.rq.priority(fl.rt),
		Route:    fl.rt.Name,
		Cost:     float64(max(1, len(fl.services))),
		Bytes:    len(fl.rq.body) + len(fl.head),
		Servers:  servers,
		Unloaded: unloaded,
		Target:   fl.target,
		Deadline: fl.hardDeadline - minAttemptTime,
	}
}

// awaitAdmission waits for the gate's verdict on a queued request. A client that disconnects
// leaves the queue.
func (en *Entry) awaitAdmission(ctx context.Context, we *admit.Entry[chan admitVerdict], ready chan admitVerdict) admitVerdict {
	ad := en.admission
	timer := time.NewTimer(max(0, we.StartBy()-en.cfg.Clock()))
	defer timer.Stop()
	av := admitVerdict{reason: admit.ReasonQueueTimeout, retryAfter: retryAfterBusy}
	select {
	case av = <-ready:
		return av
	case <-timer.C:
		// Step refuses what can no longer start in time.
		ad.update(en.cfg.Clock(), func(*admit.Gate[chan admitVerdict]) {})
	case <-en.ending.Done():
		av.reason = declinedLeaving
	case <-ctx.Done():
		av = admitVerdict{reason: reasonCallerGone, retryAfter: goneRetryAfter}
	}
	withdrawn := false
	ad.update(en.cfg.Clock(), func(ga *admit.Gate[chan admitVerdict]) {
		withdrawn = ga.Withdraw(en.cfg.Clock(), we)
	})
	if !withdrawn {
		// The verdict came at the same moment.
		return <-ready
	}
	return av
}

// update changes the gate and sends the verdicts that result.
func (ad *admission) update(now time.Duration, change func(ga *admit.Gate[chan admitVerdict])) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	change(ad.gate)
	for _, gr := range ad.gate.Step(now) {
		// This does not block: each request gets one verdict, and the channel buffers one.
		gr.Waiter <- admitVerdict{start: gr.Start, reason: gr.Reason, retryAfter: gr.RetryAfter}
	}
}

// recordSent records that an admitted request was sent, and how long this VM took for that.
func (fl *flight) recordSent() {
	if fl.admittedAt == 0 {
		return
	}
	fl.en.admission.update(fl.en.cfg.Clock(), func(ga *admit.Gate[chan admitVerdict]) {
		if fl.rt.Idempotent {
			fl.arrived = ga.Sent(fl.firstSentAt, fl.arrived, fl.firstSentAt-fl.admittedAt)
			return
		}
		// A status check waits for servers, not for this VM.
		fl.arrived = ga.Away(fl.firstSentAt, fl.arrived)
	})
}

// recordTimer records how late a timer fired.
func (fl *flight) recordTimer(late time.Duration) {
	if fl.admittedAt == 0 {
		return
	}
	ad := fl.en.admission
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.gate.Late(late)
}

// endAdmission ends an admitted request, so that others may start.
func (fl *flight) endAdmission() {
	now := fl.en.cfg.Clock()
	fl.en.admission.update(now, func(ga *admit.Gate[chan admitVerdict]) {
		ga.Done(now, fl.arrived, now-fl.admittedAt, fl.idle())
	})
}

// idle returns how long the request has waited for shards since its answer had the least coverage.
// A gather waits until its target for a shard that is slow, whatever the load.
func (fl *flight) idle() time.Duration {
	var served []time.Duration
	for _, ar := range fl.results {
		if ar.verdict == fanout.Served {
			served = append(served, ar.at)
		}
	}
	if fl.rt.Gather == nil || len(served) < fl.minParts {
		return 0
	}
	slices.Sort(served)
	return max(0, fl.en.cfg.Clock()-served[fl.minParts-1])
}

// refuseAdmission returns the response to a request that is not admitted, and logs what the
// decision was based on.
func (en *Entry) refuseAdmission(fl *flight, ar admit.Arrival, reason admit.Reason, retryAfter time.Duration) *response {
	rs := refusalResponse(consts.StatusServiceUnavailable, string(reason), "there is no capacity for the request in time")
	rs.add(headerRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	en.unserved.Add(1)
	if fl.rq.forwarded {
		// The VM that the client reached counts it as forwarded.
		en.cfg.Meter.Count(meter.Refusal, string(reason))
	}
	ad, now := en.admission, en.cfg.Clock()
	ad.mu.Lock()
	st, share := ad.gate.State(now), ad.gate.Share(now, ar.Account, ar.Priority)
	ad.mu.Unlock()
	en.cfg.Log.Info().Str("id", fl.rq.id).Str("route", fl.rt.Name).Str("account", ar.Account).
		Int("status", rs.status).Str("reason", string(reason)).Uint64("version", configVersion(fl.vw)).
		Int("priority", ar.Priority).Float64("retryAfterMs", milliseconds(retryAfter)).
		Float64("leftMs", milliseconds(ar.Deadline-now)).Float64("targetMs", milliseconds(ar.Target-now)).
		Float64("serversMs", milliseconds(ar.Servers)).Float64("unloadedMs", milliseconds(ar.Unloaded)).
		Float64("waitMs", milliseconds(st.Wait)).
		Int("waiting", st.Waiting).Int("accounts", st.Accounts).Float64("share", share).
		Float64("inProgress", st.InProgress).Float64("window", st.Window).
		Float64("rate", st.Rate).Float64("work", st.Work).
		Float64("delayMs", milliseconds(st.Delay)).Bool("behind", st.Behind).
		Msg("refused")
	return rs
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
