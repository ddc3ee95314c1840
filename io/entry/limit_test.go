package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"laburnumvane/core/acct"
	"laburnumvane/core/gauge"
	"laburnumvane/core/lead"
	"laburnumvane/core/plan"
	"laburnumvane/core/rank"
	"laburnumvane/core/route"
	"laburnumvane/core/steer"
	"laburnumvane/io/inner"
	"laburnumvane/io/meter"
)

// allowClient calls Allow of other entries in the same process; the rest of it is never called.
type allowClient struct {
	HomeClient
	vms map[string]*Entry
}

func (ac *allowClient) Allow(addr string, rq *inner.AllowRequest) (*inner.AllowReply, error) {
	if vm, ok := ac.vms[addr]; ok {
		return vm.Allow(context.Background(), rq)
	}
	return nil, errors.New("unreachable")
}

// limitFleet is a fleet of entries without listeners, of which the first of each data centre are
// large.
type limitFleet struct {
	vms []*Entry
	now time.Duration
	log *lastLine
}

// lastLine keeps the last log line.
type lastLine struct {
	io.Writer
	mu   sync.Mutex
	line []byte
}

func (ll *lastLine) WriteEntry(e *log.Entry) (int, error) {
	ll.mu.Lock()
	defer ll.mu.Unlock()
	ll.line = append(ll.line[:0], e.Value()...)
	return len(ll.line), nil
}

func newLimitFleet(t *testing.T, ac acct.Account, reachable func(addr string) bool) *limitFleet {
	t.Helper()
	tb, err := acct.New(acct.Config{Accounts: []acct.Account{ac}})
	is.New(t).NoErr(err)
	fl := &limitFleet{log: &lastLine{}}
	client := &allowClient{vms: map[string]*Entry{}}
	var vms []rank.VM
	capacity := map[string]float64{}
	for i := range 8 {
		vm := rank.VM{Addr: "vm-" + strconv.Itoa(i), DataCentre: strconv.Itoa(i % 2)}
		vms = append(vms, vm)
		capacity[vm.Addr] = 0.2
		if i < 2 {
			capacity[vm.Addr] = 0.8
		}
	}
	routes := route.New(route.Config{Accounts: tb})
	for _, vm := range vms {
		vw := plan.New(plan.Config{Self: vm, Fleet: vms, Capacity: capacity, Routes: routes})
		en := &Entry{
			cfg: Config{
				Clock: func() time.Duration { return fl.now }, View: func() *plan.View { return vw },
				HomeClient: client, Meter: meter.New(), Log: &log.Logger{Writer: fl.log},
				CopyAge: func() time.Duration { return 1500 * time.Millisecond },
			},
			budgets: newBudgets(), limits: newAccountLimits(acct.Bounds{}, 2),
		}
		fl.vms = append(fl.vms, en)
		if reachable(vm.Addr) {
			client.vms[vm.Addr] = en
		}
	}
	return fl
}

func all(string) bool  { return true }
func none(string) bool { return false }

// take has a VM take a token for a request of the account.
func (fl *limitFleet) take(vm int) (*request, *response) {
	en := fl.vms[vm]
	ac, _ := en.cfg.View().Routes().Accounts().ByName("a")
	rq := &request{id: "r", account: ac}
	return rq, en.takeToken(context.Background(), rq, en.cfg.View())
}

// smallVM returns a VM that has no part of the limit.
func (fl *limitFleet) smallVM() int {
	return slices.IndexFunc(fl.vms, func(en *Entry) bool { return en.cfg.View().Holders("a").Rank < 0 })
}

// Small VMs have no part of a limit: their requests need tokens of a large one, and all VMs together
// must not run more than the limit.
func TestLimitHoldsOverAllVMs(t *testing.T) {
	is := is.New(t)
	fl := newLimitFleet(t, acct.Account{Name: "a", Rate: 30, Burst: 30}, all)
	for i := range fl.vms {
		fl.take(i)
	}
	fl.now = 10 * time.Second
	granted := 0
	var last *response
	for i := range 200 {
		rq, rs := fl.take(i % len(fl.vms))
		if rs == nil {
			is.True(rq.charged)
			granted++
			continue
		}
		last = rs
	}
	is.True(granted >= 30 && granted <= 38) // the burst and a fifth of 0.1 x 180 + 20
	is.Equal(last.status, 429)
	is.Equal(last.refusal.Reason, reasonOverLimit)
	wait, err := strconv.ParseFloat(last.fields[0].value, 64)
	is.NoErr(err)
	is.True(wait > 0 && wait <= 5)
	use := fl.vms[7].AccountUsage("a")
	is.Equal(len(use.Holders), 4) // where the tokens of the whole fleet come from
	is.Equal(use.Largest[0].Limit, 30.0)
	is.Equal(use.VM, "vm-7")
	is.Equal(use.CopyAgeMs, int64(1500))
	is.Equal(fl.vms[7].AccountUsage("").Largest[0].Holders, use.Holders)
	is.True(strings.Contains(fl.vms[7].AccountCounters(), "account.overLimit.a "))
	line := map[string]any{}
	is.NoErr(json.Unmarshal(fl.log.line, &line))
	is.Equal(line["account"], "a")
	is.Equal(line["limit"], 30.0)
}

// A small VM that reaches no large one cannot know the use of the limit. It must refuse with 503: a
// 429 would tell the client that it sends too much.
func TestUnreachableHoldersAreNoOverLimit(t *testing.T) {
	is := is.New(t)
	fl := newLimitFleet(t, acct.Account{Name: "a", Rate: 30, Burst: 30}, none)
	small := fl.smallVM()
	_, rs := fl.take(small)
	is.Equal(rs.status, 503)
	is.Equal(rs.refusal.Reason, reasonNoHolder)
	is.Equal(fl.vms[small].cfg.Meter.Value(meter.Refusal, reasonNoHolder), int64(1))
}

// A request that could not be sent to any server has not run: its token must come back.
func TestTokenOfRequestThatDidNotRunIsReturned(t *testing.T) {
	is := is.New(t)
	fl := newLimitFleet(t, acct.Account{Name: "a", Rate: 2, Burst: 2}, none)
	for range 50 {
		rq, rs := fl.take(0)
		is.Equal(rs, nil)
		fl.vms[0].returnToken(rq, "notRun")
		is.True(!rq.charged)
	}
	rq, rs := fl.take(0)
	is.Equal(rs, nil)
	fl.vms[0].returnToken(rq, "failed")
	is.True(rq.charged) // it may have run
}

// Requests that ran have ended: if they counted as running, the tokens of later requests that did not run
// would not come back.
func TestTokensComeBackAfterRequestsThatRan(t *testing.T) {
	is := is.New(t)
	fl := newLimitFleet(t, acct.Account{Name: "a", Rate: 30, Burst: 30}, none)
	fl.vms[0].returnToken(&request{}, "notRun") // has no token
	var rqs []*request
	for _, fl.now = range []time.Duration{0, 10 * time.Second, 20 * time.Second} {
		rq, rs := fl.take(0)
		is.Equal(rs, nil)
		fl.vms[0].returnToken(rq, "failed")
	}
	for range 6 {
		rq, rs := fl.take(0)
		is.Equal(rs, nil)
		rqs = append(rqs, rq)
	}
	for i, rq := range rqs[:3] {
		fl.vms[0].returnToken(rq, []string{"failed", "ok", ""}[i])
	}
	fl.now += 300 * time.Millisecond
	for _, rq := range rqs[3:] {
		fl.vms[0].returnToken(rq, "notRun")
	}
	ac, _ := fl.vms[0].cfg.View().Routes().Accounts().ByName("a")
	is.True(fl.vms[0].limits.quota.UsageOf(fl.now, ac).Level > 7)
}

// Requests of many clients arrive at all VMs at once, and calls end while others begin. None may be lost,
// wait for ever, or be admitted twice.
func TestConcurrentRequestsKeepLimit(t *testing.T) {
	is := is.New(t)
	fl := newLimitFleet(t, acct.Account{Name: "a", Rate: 1, Burst: 100}, all)
	for i := range fl.vms {
		fl.take(i)
	}
	fl.now = time.Minute
	var granted atomic.Int64
	var tasks sync.WaitGroup
	for i := range 400 {
		tasks.Go(func() {
			if _, rs := fl.take(i % len(fl.vms)); rs == nil {
				granted.Add(1)
			}
		})
	}
	tasks.Wait()
	is.True(granted.Load() <= 107) // the burst, a fifth of 0.1 x 105 + 20, and the rate
	is.True(granted.Load() >= 75)  // tokens in buckets that were asked in vain just before are not found
}

// run must return the token of a request for which there was no server, and not send a request whose
// account is above its limit.
func TestRunTakesAndReturnsToken(t *testing.T) {
	is := is.New(t)
	fl := newLimitFleet(t, acct.Account{Name: "a", Rate: 2, Burst: 2}, none)
	en := fl.vms[0]
	en.cfg.Steer = steer.New(steer.Config{DataCentre: "0"})
	en.lead = lead.New(lead.Config{})
	en.cfg.Gauge = gauge.New(gauge.Config{})
	en.admission = newAdmission()
	rt := &route.Route{Name: "r", Timeout: time.Second, Target: time.Second, Split: []route.Share{{Service: "s", Weight: 1}}}
	ac, _ := en.cfg.View().Routes().Accounts().ByName("a")
	for range 20 {
		rq := &request{id: "r", account: ac}
		rs, outcome := en.run(context.Background(), rq, rt, en.cfg.View())
		is.Equal(outcome, "notRun")
		is.Equal(rs.status, 503)
		is.True(!rq.charged)
	}
	for range 20 {
		fl.take(0)
	}
	rs, outcome := en.run(context.Background(), &request{id: "r", account: ac}, rt, en.cfg.View())
	is.Equal(outcome, "notRun")
	is.Equal(rs.status, 429)
}

// Requests without an account or a limit must not be counted, nor wait for another VM.
func TestUnlimitedRequestsNeedNoToken(t *testing.T) {
	is := is.New(t)
	fl := newLimitFleet(t, acct.Account{Name: "a"}, none)
	for range 100 {
		_, rs := fl.take(7)
		is.Equal(rs, nil)
	}
	is.Equal(fl.vms[7].takeToken(context.Background(), &request{}, fl.vms[7].cfg.View()), nil)
	is.Equal(len(fl.vms[7].AccountUsage("").Largest), 0)
	is.Equal(len(fl.vms[7].AccountUsage("a").Largest), 1)
	is.Equal(len(fl.vms[7].AccountUsage("a").Holders), 0) // there is no limit to have a part of
	is.Equal(len(fl.vms[7].AccountUsage("unknown").Largest), 0)
	rp, err := fl.vms[0].Allow(context.Background(), &inner.AllowRequest{Account: "unknown", Want: 1})
	is.NoErr(err)
	is.True(!rp.GetHolds())
}
