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

// Arrivals of a suspect request are forwarded to one VM, its owner, which runs them one at a
// time: at eight VMs at once the request would be tried at eight servers. A waiting arrival
// continues as soon as the one before it has shown whether the request crashes servers.

// maxOwners is how many VMs are tried as owner of a suspect request before it runs here: the
// first one may have just died.
const maxOwners = 2

// turns serialises the arrivals of the same request.
type turns struct {
	mu   sync.Mutex
	held map[poison.Fingerprint]chan struct{}
}

// take acquires the turn. If another arrival holds it, ended is closed when that one releases
// it.
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

// forwardToOwner forwards a suspect request to its owner. It returns nil if this VM is the
// owner, or no owner started it.
func (en *Entry) forwardToOwner(ctx context.Context, rq *request, rt *route.Route, vw *plan.View) *response {
	for _, owner := range vw.Owners(rt, rq.fingerprint().Key(), maxOwners) {
		if rs := en.forward(ctx, []*origin.Upstream{owner}, rq, rt); rs != nil {
			return rs
		}
	}
	return nil
}

// awaitTurn waits until a suspect request may be tried. rs is set if it is refused instead,
// because it is blocked by now or its time is over. release ends its turn.
func (en *Entry) awaitTurn(ctx context.Context, rq *request, rt *route.Route) (release func(), rs *response) {
	fp := rq.fingerprint()
	wait := rt.Timeout
	if rq.timeout > 0 {
		wait = min(wait, rq.timeout)
	}
	tm := time.NewTimer(rq.began + wait - rq.transitTime - en.cfg.Clock())
	defer tm.Stop()
	for {
		taken, ended := en.turns.take(fp)
		if taken {
			return func() { en.turns.release(fp) }, nil
		}
		select {
		case <-ended:
		case <-tm.C:
			return nil, en.refuseAwaited(rq)
		case <-ctx.Done():
			return nil, en.refuseAwaited(rq)
		case <-en.ending.Done():
			return nil, en.refuseAwaited(rq)
		}
		switch en.checkPoison(rq) {
		case poison.Blocked:
			return nil, en.refuseBlocked(rq)
		case poison.Clear:
			return func() {}, nil
		}
	}
}

// refuseAwaited refuses a request that timed out while it waited for its turn.
func (en *Entry) refuseAwaited(rq *request) *response {
	rs := refusalResponse(consts.StatusServiceUnavailable, reasonAwaitedTrial, "servers crashed under this request, and it was being tried for another caller")
	rs.setRetryAfter(retryAfterNoServer)
	en.cfg.Meter.Count(meter.Refusal, reasonAwaitedTrial)
	en.logRefused(rq, rs.status, reasonAwaitedTrial)
	return rs
}

// handleSuspect runs a suspect request when it is its turn.
func (en *Entry) handleSuspect(ctx context.Context, rq *request, rt *route.Route, vw *plan.View) (*response, string) {
	release, rs := en.awaitTurn(ctx, rq, rt)
	if rs != nil {
		return rs, fanout.OutcomeNotRun.String()
	}
	defer release()
	return en.run(ctx, rq, rt, vw)
}
