package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/core/acct"
	"laburnumvane/core/fanout"
	"laburnumvane/core/plan"
	"laburnumvane/core/quota"
	"laburnumvane/io/inner"
	"laburnumvane/io/meter"
)

// Reasons for refusing a request by its account's limit.
const (
	reasonOverLimit = "overLimit"
	reasonNoHolder  = "noLimitHolder"
)

// loanScale is the number of units in a token of a loan: a holder of a small limit has only
// fractions of a token.
const loanScale = 1000

// accountLimits applies the limits of accounts to the requests that this VM runs.
type accountLimits struct {
	quota *quota.Limiter
	// replies holds, by account, a channel that is closed when the next call for tokens ends.
	mu      sync.Mutex
	replies map[string]chan struct{}
}

func newAccountLimits(bounds acct.Bounds, dataCentres int) *accountLimits {
	return &accountLimits{
		quota:   quota.New(quota.Config{Bounds: bounds, DataCentres: dataCentres}),
		replies: make(map[string]chan struct{}),
	}
}

// nextReply returns a channel that is closed when the next call for an account's tokens ends.
func (al *accountLimits) nextReply(account string) <-chan struct{} {
	al.mu.Lock()
	defer al.mu.Unlock()
	ch, ok := al.replies[account]
	if !ok {
		ch = make(chan struct{})
		al.replies[account] = ch
	}
	return ch
}

func (al *accountLimits) notify(account string) {
	al.mu.Lock()
	defer al.mu.Unlock()
	if ch, ok := al.replies[account]; ok {
		close(ch)
		delete(al.replies, account)
	}
}

// takeToken takes a token of the request's account, or returns the response that refuses the
// request. A request without an account or a limit needs none.
func (en *Entry) takeToken(ctx context.Context, rq *request, vw *plan.View) *response {
	if rq.account == nil || !rq.account.Limited() {
		return nil
	}
	var at quota.Attempt
	de := en.awaitToken(ctx, rq.account, vw, &at, func() time.Duration { return en.tokenDeadline(rq, vw) })
	if de.Kind == quota.Granted {
		rq.charged = true
		return nil
	}
	return en.refuseOverLimit(rq, &de)
}

// tokenDeadline returns until when a request can wait for a token and still meet its target at the usual
// latency; 0 if its route is unknown.
func (en *Entry) tokenDeadline(rq *request, vw *plan.View) time.Duration {
	rt, ok := vw.Routes().Match(rq.host, rq.path)
	if !ok {
		return 0
	}
	wait := rt.Target
	if rq.timeout > 0 {
		wait = min(wait, rq.timeout)
	}
	return rq.began + wait - rq.transitTime - en.latency.forRoute(rt).usualLatency()
}

// awaitToken takes a token and waits for calls to other VMs where that is needed. The first wait can be
// extended until latest, if that is not nil.
func (en *Entry) awaitToken(ctx context.Context, ac *acct.Account, vw *plan.View, at *quota.Attempt, latest func() time.Duration) quota.Decision {
	al := en.limits
	ho := vw.Holders(ac.Name)
	var replied <-chan struct{}
	for {
		de := al.quota.Take(en.cfg.Clock(), ac, ho, at, rand.Float64())
		if de.Call.Peer != "" {
			go en.callHolder(de.Call)
		}
		if de.Kind != quota.Waiting {
			return de
		}
		if latest != nil {
			at.Deadline = max(at.Deadline, latest())
			latest = nil
		}
		if de.Call.Peer != "" {
			continue
		}
		if replied == nil {
			// A call may have ended before there was a channel to wait for.
			replied = al.nextReply(ac.Name)
			continue
		}
		tm := time.NewTimer(de.Until - en.cfg.Clock())
		select {
		case <-replied:
			replied = nil
		case <-tm.C:
		case <-ctx.Done():
			at.Deadline = en.cfg.Clock()
		}
		tm.Stop()
	}
}

// returnToken ends the use of a request's token and gives it back if the request did not run.
func (en *Entry) returnToken(rq *request, outcome string) {
	switch {
	case !rq.charged:
	case outcome == fanout.OutcomeNotRun.String():
		rq.charged = false
		en.limits.quota.Return(en.cfg.Clock(), rq.account.Name)
	default:
		en.limits.quota.Done(rq.account.Name)
	}
}

// callHolder calls another VM for tokens and records its reply, which later requests use if it
// comes too late for those that wait.
func (en *Entry) callHolder(ca quota.Call) {
	defer en.limits.notify(ca.Account)
	rq := &inner.AllowRequest{Version: inner.Version, Account: ca.Account, Want: uint32(ca.Want), Borrow: ca.Borrow}
	unit := 1.0
	if ca.Borrow {
		unit = loanScale
		rq.Want = uint32(ca.Want * loanScale)
	}
	en.cfg.Meter.Count(meter.Limit, "call")
	rp, err := en.cfg.HomeClient.Allow(ca.Peer, rq)
	if err != nil {
		en.cfg.Meter.Count(meter.Limit, "callFailed")
		en.limits.quota.Reply(en.cfg.Clock(), ca, quota.Reply{Failed: true})
		return
	}
	en.limits.quota.Reply(en.cfg.Clock(), ca, quota.Reply{
		Granted: float64(rp.GetGranted()) / unit,
		Wait:    microseconds(rp.GetWaitUs()),
		Holds:   rp.GetHolds(),
		CopyAge: time.Duration(rp.GetCopyAgeMs()) * time.Millisecond,
	})
}

// ObserveStore records the age of this VM's copy of the store, and whether its own entry is there, for the
// parts of limits that this VM has.
func (en *Entry) ObserveStore(now, age time.Duration, listed bool) {
	for _, ca := range en.limits.quota.ObserveStore(now, age, listed) {
		go en.callHolder(ca)
	}
}

// Allow implements inner.Home: it grants tokens out of this VM's part of an account's limit.
func (en *Entry) Allow(ctx context.Context, rq *inner.AllowRequest) (*inner.AllowReply, error) {
	if rq.GetWant() == 0 {
		return &inner.AllowReply{CopyAgeMs: uint64(max(0, en.cfg.CopyAge().Milliseconds())) + 1}, nil
	}
	vw := en.cfg.View()
	ac, ok := findAccount(vw, rq.GetAccount())
	switch {
	case !ok:
		return &inner.AllowReply{}, nil
	case !ac.Limited() && rq.GetBorrow():
		return &inner.AllowReply{}, nil
	case !ac.Limited():
		// The calling VM has a version with a limit, newer or older than this one. With more than
		// it needs now, it could exceed a limit that was just added.
		return &inner.AllowReply{Granted: min(1, rq.GetWant()), Holds: true}, nil
	}
	want, unit := float64(rq.GetWant()), 1.0
	if rq.GetBorrow() {
		unit = loanScale
		want /= loanScale
	}
	now := en.cfg.Clock()
	rp, ca := en.limits.quota.Serve(now, ac, vw.Holders(ac.Name), want, rq.GetBorrow())
	if ca.Peer != "" {
		go en.callHolder(ca)
	}
	if rp.Holds && rp.Granted == 0 && !rq.GetBorrow() {
		at := quota.Attempt{Deadline: now + quota.ServeWait, Served: true}
		if de := en.awaitToken(ctx, ac, vw, &at, nil); de.Kind == quota.Granted {
			rp.Granted = 1
		}
	}
	return &inner.AllowReply{
		Granted: uint32(rp.Granted * unit),
		WaitUs:  uint64(max(0, rp.Wait.Microseconds())),
		Holds:   rp.Holds,
	}, nil
}

func findAccount(vw *plan.View, name string) (*acct.Account, bool) {
	if vw.Routes() == nil || vw.Routes().Accounts() == nil {
		return nil, false
	}
	return vw.Routes().Accounts().ByName(name)
}

// refuseOverLimit refuses a request for which there is no token.
func (en *Entry) refuseOverLimit(rq *request, de *quota.Decision) *response {
	en.unserved.Add(1)
	ac := rq.account
	rs := refusalResponse(consts.StatusTooManyRequests, reasonOverLimit, "the account is above its limit")
	if de.Kind == quota.Unreachable {
		rs = refusalResponse(consts.StatusServiceUnavailable, reasonNoHolder, "this VM reaches no VM that has a part of the account's limit")
	}
	rs.addRetryAfter(de.RetryAfter)
	reason := rs.refusal.Reason
	en.cfg.Meter.Count(meter.Refusal, reason)
	line := en.cfg.Log.Info().Str("id", rq.id).Str("host", rq.host).Str("path", rq.path).
		Int("status", rs.status).Str("reason", reason).Uint64("version", configVersion(en.cfg.View())).
		Str("account", ac.Name).Float64("limit", ac.Rate).Float64("burst", ac.Burst).Float64("rate", de.Rate).
		Bool("holder", de.Holder).Int64("retryAfterMs", de.RetryAfter.Milliseconds())
	if !de.Holder {
		// The decision is that of the holder that refused last.
		line = line.Str("decidedBy", de.DecidedBy).Int64("ageMs", de.Age.Milliseconds())
	}
	line.Msg("refused")
	return rs
}
