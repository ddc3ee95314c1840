package admit_test

import (
	"time"

	"laburnumvane/core/admit"
	"laburnumvane/core/valve"
)

// gatePolicy is the policy under test.
type gatePolicy struct {
	gate *admit.Gate[*replayRequest]
}

func newGatePolicy() *gatePolicy {
	return &gatePolicy{gate: admit.NewGate[*replayRequest](admit.GateConfig{})}
}

func (rq *replayRequest) arrival(rp *replay) admit.Arrival {
	return admit.Arrival{
		Account: rq.account, Priority: rq.priority, Route: "search", Cost: replayCost, Bytes: 1000,
		Servers: rp.expected(), Target: rq.arrived + replayTarget, Deadline: rq.arrived + replayTimeout,
	}
}

func (po *gatePolicy) arrive(rp *replay, rq *replayRequest) {
	rq.offered = rq.arrival(rp)
	vd := po.gate.Offer(rp.Now(), rq.offered, rq)
	switch vd.Kind {
	case admit.Admitted:
		rp.start(rq)
	case admit.Refused:
		rp.refuse(rq, vd.RetryAfter)
	case admit.Queued:
		rp.After(vd.Entry.StartBy()-rp.Now(), func() { po.step(rp) })
		po.step(rp)
	}
}

func (po *gatePolicy) step(rp *replay) {
	for _, gr := range po.gate.Step(rp.Now()) {
		if gr.Start {
			rp.start(gr.Waiter)
		} else {
			rp.refuse(gr.Waiter, gr.RetryAfter)
		}
	}
}

func (po *gatePolicy) sent(rp *replay, rq *replayRequest) {
	rq.sentAt = rp.Now()
	rq.offered = po.gate.Sent(rp.Now(), rq.offered, rp.Now()-rq.startedAt)
	po.step(rp)
}

func (po *gatePolicy) timer(_ *replay, late time.Duration) { po.gate.Late(late) }

func (po *gatePolicy) done(rp *replay, rq *replayRequest, _ bool) {
	po.gate.Done(rp.Now(), rq.offered, rp.Now()-rq.startedAt, rq.idle)
	po.step(rp)
}

// immediately makes clients retry at once, a few times.
func immediately(rq *replayRequest, _ time.Duration) (time.Duration, bool) {
	return 2 * time.Millisecond, rq.retry < 5
}

// honouring makes clients come back once after Retry-After.
func honouring(rq *replayRequest, after time.Duration) (time.Duration, bool) {
	return after, rq.retry < 1
}

// valvePolicy is what is used without accounts.
type valvePolicy struct {
	valve *valve.Valve
}

func newValvePolicy() replayPolicy { return &valvePolicy{valve: valve.New(valve.Config{})} }

func (po *valvePolicy) arrive(rp *replay, rq *replayRequest) {
	if !po.valve.Admit(rq.priority, rp.rnd.Float64()) {
		rp.refuse(rq, replayBusy)
		return
	}
	rp.start(rq)
}

func (po *valvePolicy) sent(*replay, *replayRequest)                    {}
func (po *valvePolicy) timer(*replay, time.Duration)                    {}
func (po *valvePolicy) done(_ *replay, _ *replayRequest, inTarget bool) { po.valve.Record(!inTarget) }

const (
	// replayBusy is the Retry-After of the policies that compute none.
	replayBusy = 150 * time.Millisecond
	// replayInProgress is how many requests the other policies run at once: enough to keep the
	// processor busy.
	replayInProgress = 8
	// codelTarget and codelInterval are the usual parameters of controlled delay.
	codelTarget   = 5 * time.Millisecond
	codelInterval = 100 * time.Millisecond
)

// queuePolicy is one queue in the order of arrival. It refuses what would wait beyond its deadline,
// or with codel set what has waited for longer than codelTarget, once this has lasted for
// codelInterval.
type queuePolicy struct {
	codel      bool
	queue      []*replayRequest
	inProgress int
	tookAvg    time.Duration
	aboveSince time.Duration
}

func (po *queuePolicy) arrive(rp *replay, rq *replayRequest) {
	wait := po.tookAvg * time.Duration(len(po.queue)) / replayInProgress
	if !po.codel && rp.Now()+wait+po.tookAvg > rq.arrived+replayTimeout {
		rp.refuse(rq, max(wait, replayBusy))
		return
	}
	po.queue = append(po.queue, rq)
	po.step(rp)
}

func (po *queuePolicy) step(rp *replay) {
	for len(po.queue) > 0 && po.inProgress < replayInProgress {
		rq := po.queue[0]
		po.queue = po.queue[1:]
		waited := rp.Now() - rq.arrived
		if waited < codelTarget {
			po.aboveSince = rp.Now()
		}
		if po.codel && rp.Now()-po.aboveSince > codelInterval && waited > codelTarget {
			rp.refuse(rq, replayBusy)
			continue
		}
		po.inProgress++
		rp.start(rq)
	}
}

func (po *queuePolicy) sent(*replay, *replayRequest) {}
func (po *queuePolicy) timer(*replay, time.Duration) {}

func (po *queuePolicy) done(rp *replay, rq *replayRequest, _ bool) {
	po.inProgress--
	po.tookAvg += (rp.Now() - rq.startedAt - po.tookAvg) / 16
	po.step(rp)
}
