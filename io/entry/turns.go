package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/plan"
	"laburnumvane/core/poison"
	"laburnumvane/core/route"
	"laburnumvane/io/meter"
)

// Arrivals of a suspect request meet at one VM, its owner, and are taken there one at a
// time: at eight VMs at once it would be tried at eight servers. Who waits goes on as soon
// as the one before has shown what the request does.

// mostOwners is how many VMs are asked to take a suspect request before it is taken here:
// the first may have died just now.
const mostOwners = 2

// turns are taken by arrivals of the same request.
type turns struct {
	mu   sync.Mutex
	held map[poison.Fingerprint]chan struct{}
}

// take takes the turn; if another arrival has it, its end is signalled on the channel.
func (tu *turns) take(fp poison.Fingerprint) (taken bool, ended <-chan struct{}) {
	tu.mu.Lock()
	defer tu.mu.Unlock()
	if ch, ok := tu.held[fp]; ok {
		return false, ch
	}
	if tu.held == nil {
		tu.held = make(map[poison.Fingerprint]chan struct{})
	}
	tu.held[fp] = make(chan struct{})
	return true, nil
}

func (tu *turns) release(fp poison.Fingerprint) {
	tu.mu.Lock()
	defer tu.mu.Unlock()
	close(tu.held[fp])
	delete(tu.held, fp)
}

// meet has the owner of a suspect request take it. It is nil if that is this VM, or none
// did anything.
func (en *Entry) meet(ctx context.Context, rq *request, rt *route.Route, vw *plan.View) *response {
	for _, ow := range vw.Owners(rt, rq.fingerprint().Key(), mostOwners) {
		if rs := en.forward(ctx, []*origin.Upstream{ow}, rq, rt); rs != nil {
			return rs
		}
	}
	return nil
}

// turn waits until a suspect request may be tried, or has its answer: it is blocked by now,
// or its time is over, and it did not run. Release ends its turn.
func (en *Entry) turn(ctx context.Context, rq *request, rt *route.Route) (release func(), rs *response) {
	fp := rq.fingerprint()
	wait := rt.Timeout
	if rq.patience > 0 {
		wait = min(wait, rq.patience)
	}
	tm := time.NewTimer(rq.began + wait - rq.away - en.cfg.Clock())
	defer tm.Stop()
	for {
		taken, ended := en.turns.take(fp)
		if taken {
			return func() { en.turns.release(fp) }, nil
		}
		select {
		case <-ended:
		case <-tm.C:
			return nil, en.awaited(rq)
		case <-ctx.Done():
			return nil, en.awaited(rq)
		case <-en.ending.Done():
			return nil, en.awaited(rq)
		}
		switch en.suspicion(rq) {
		case poison.Blocked:
			return nil, en.block(rq)
		case poison.Clear:
			return func() {}, nil
		}
	}
}

// awaited refuses a request whose time ended while it waited for its turn.
func (en *Entry) awaited(rq *request) *response {
	rs := own(consts.StatusServiceUnavailable, reasonAwaited, "servers crashed under this request, and it was being tried for another caller")
	rs.comeBack(backLater)
	en.cfg.Meter.Count(meter.Refusal, reasonAwaited)
	en.logRefused(rq, rs.status, reasonAwaited)
	return rs
}

// takeSuspect takes a suspect request in its turn.
func (en *Entry) takeSuspect(ctx context.Context, rq *request, rt *route.Route, vw *plan.View) (*response, string) {
	release, rs := en.turn(ctx, rq, rt)
	if rs != nil {
		return rs, fanout.OutcomeNotRun.String()
	}
	defer release()
	return en.run(ctx, rq, rt, vw)
}
