package entry

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/acct"
	"laburnumvane/core/plan"
	"laburnumvane/core/route"
	"laburnumvane/io/inner"
)

// slowClient is a client whose calls to holders take 60 ms of the test's clock. A call returns when the
// request has ended or, unless silent is set, when a second call has begun.
type slowClient struct {
	allowClient
	silent bool
	now    atomic.Int64
	calls  atomic.Int64
	once   sync.Once
	ended  chan struct{}
}

func (sc *slowClient) end() { sc.once.Do(func() { close(sc.ended) }) }

func (sc *slowClient) Allow(addr string, rq *inner.AllowRequest) (*inner.AllowReply, error) {
	if sc.calls.Add(1) > 1 && !sc.silent {
		sc.end()
	} else {
		sc.now.Add(int64(60 * time.Millisecond))
	}
	<-sc.ended
	return sc.allowClient.Allow(addr, rq)
}

// The holders of a limit are throttled for longer than 20 ms. A request with a target of 150 ms must wait
// for their replies; one with a target of 30 ms is refused when its time is used up.
func TestRequestWaitsForSlowHolder(t *testing.T) {
	for _, tc := range []struct {
		target time.Duration
		status int
	}{{150 * time.Millisecond, 0}, {30 * time.Millisecond, 503}} {
		t.Run(tc.target.String(), func(t *testing.T) {
			is := is.New(t)
			fl := newLimitFleet(t, acct.Account{Name: "a", Rate: 30, Burst: 30}, all)
			small := fl.smallVM()
			en := fl.vms[small]
			sc := &slowClient{allowClient: *en.cfg.HomeClient.(*allowClient), ended: make(chan struct{}), silent: tc.status != 0}
			for _, other := range fl.vms {
				other.cfg.Clock = func() time.Duration { return time.Duration(sc.now.Load()) }
			}
			rt := route.Route{Name: "r", Prefix: "/", Timeout: time.Second, Target: tc.target}
			old := en.cfg.View()
			vw := old.WithRoutes(route.New(route.Config{Accounts: old.Routes().Accounts(), Routes: []route.Route{rt}}))
			en.cfg.View = func() *plan.View { return vw }
			en.cfg.HomeClient = sc
			ac, _ := findAccount(vw, "a")
			rs := en.takeToken(t.Context(), &request{id: "r", account: ac, path: "/x"}, vw)
			sc.end()
			if tc.status == 0 {
				is.Equal(rs, nil)
				return
			}
			is.Equal(rs.status, tc.status)
			is.Equal(rs.refusal.Reason, reasonNoHolder)
		})
	}
}
