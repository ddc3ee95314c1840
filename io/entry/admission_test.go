package entry

import (
	"context"
	"io"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"laburnumvane/core/acct"
	"laburnumvane/core/admit"
	"laburnumvane/core/lead"
	"laburnumvane/core/plan"
	"laburnumvane/core/route"
	"laburnumvane/core/steer"
	"laburnumvane/core/toggle"
	"laburnumvane/io/meter"
)

// admissionEntry returns a listener whose clock stands still and whose gate is full, and a function
// that makes flights.
func admissionEntry(t *testing.T) (*Entry, func(id string) *flight) {
	t.Helper()
	en := &Entry{
		cfg: Config{
			Names: HeaderNames{RequestID: "Id"},
			Clock: func() time.Duration { return time.Second },
			Steer: steer.New(steer.Config{}),
			Meter: meter.New(),
			Log:   &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
		},
		budgets:   newBudgets(),
		lead:      lead.New(lead.Config{}),
		admission: newAdmission(),
	}
	en.ending, en.end = context.WithCancel(context.Background())
	vw := plan.New(plan.Config{})
	en.cfg.View = func() *plan.View { return vw }
	rt := &route.Route{Name: "all", Timeout: time.Second, Target: 80 * time.Millisecond, Gather: &route.Gather{Shards: []string{"s"}}}
	flightOf := func(id string) *flight {
		return en.newFlight(&request{id: id, began: time.Second, account: &acct.Account{Name: "a"}}, rt, vw)
	}
	for st := en.admission.gate.State(time.Second); st.InProgress == 0 || st.InProgress < st.Window; st = en.admission.gate.State(time.Second) {
		is.New(t).Equal(en.admit(t.Context(), flightOf("filler")), nil)
	}
	return en, flightOf
}

// A waiting request must end when its client disconnects, when the VM ends, and when another
// request makes room. Otherwise its goroutine and its place are held until its deadline.
func TestWaitingRequestEnds(t *testing.T) {
	cases := []struct {
		name   string
		event  func(en *Entry, filler *flight, disconnect func())
		reason string
	}{
		{"the client disconnects", func(_ *Entry, _ *flight, disconnect func()) { disconnect() }, reasonCallerGone},
		{"the VM ends", func(en *Entry, _ *flight, _ func()) { en.end() }, declinedLeaving},
		{"there is room", func(_ *Entry, filler *flight, _ func()) { filler.endAdmission() }, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			en, flightOf := admissionEntry(t)
			filler := flightOf("filler")
			filler.admittedAt, filler.arrived = time.Second, filler.arrival(time.Second)
			ctx, disconnect := context.WithCancel(t.Context())
			defer disconnect()
			ended := make(chan *response, 1)
			go func() { ended <- en.admit(ctx, flightOf("waiting")) }()
			waiting := func() int {
				en.admission.mu.Lock()
				defer en.admission.mu.Unlock()
				return en.admission.gate.State(time.Second).Waiting
			}
			for waiting() == 0 {
				runtime.Gosched()
			}
			tc.event(en, filler, disconnect)
			rs := <-ended
			is.Equal(waiting(), 0)
			if tc.reason == "" {
				is.Equal(rs, nil)
				return
			}
			is.Equal(rs.status, 503) // it did not run
			is.Equal(rs.refusal.Reason, tc.reason)
		})
	}
}

// A refused request must get a Retry-After, be counted as not served, and by its reason if another
// VM forwarded it.
func TestRefusedByAdmission(t *testing.T) {
	is := is.New(t)
	en, flightOf := admissionEntry(t)
	fl := flightOf("late")
	fl.rq.forwarded = true
	fl.hardDeadline = time.Second
	rs := en.admit(t.Context(), fl)
	is.Equal(rs.refusal.Reason, string(admit.ReasonDeadlineTooClose))
	is.Equal(rs.fields[0].name, headerRetryAfter)
	seconds, err := strconv.ParseFloat(rs.fields[0].value, 64)
	is.NoErr(err)
	is.True(seconds > 0)
	is.Equal(en.unserved.Load(), int64(1))
	is.Equal(en.cfg.Meter.Value(meter.Refusal, string(admit.ReasonDeadlineTooClose)), int64(1))
}

// A new version of the configuration has other routes. The gate must forget those of the old one,
// whose last requests are still admitted.
func TestAdmissionForgetsRoutes(t *testing.T) {
	is := is.New(t)
	en, flightOf := admissionEntry(t)
	old := flightOf("old")
	old.rt = &route.Route{Name: "gone", Timeout: time.Second, Target: 80 * time.Millisecond}
	vw := plan.New(plan.Config{Routes: route.New(route.Config{Version: 2, Routes: []route.Route{{Name: "all"}, {Name: "other", Prefix: "/other"}}})})
	en.cfg.View = func() *plan.View { return vw }
	ctx, disconnect := context.WithCancel(t.Context())
	disconnect()
	en.admit(ctx, old)
	is.Equal(en.admission.gate.State(time.Second).Routes, 2)
}

// Without accounts, and with the mechanism off, the valves decide as before.
func TestUsesAdmission(t *testing.T) {
	is := is.New(t)
	accounts, err := acct.New(acct.Config{Accounts: []acct.Account{{Name: "a", Keys: []string{"k"}}}})
	is.NoErr(err)
	cases := []struct {
		name     string
		accounts *acct.Table
		off      toggle.Set
		want     bool
	}{
		{"no accounts", nil, toggle.Set{}, false},
		{"accounts", accounts, toggle.Set{}, true},
		{"accounts, switched off", accounts, toggle.Set{}.With(toggle.Admission), false},
	}
	for _, tc := range cases {
		en := &Entry{cfg: Config{Off: tc.off}}
		vw := plan.New(plan.Config{Routes: route.New(route.Config{Accounts: tc.accounts})})
		is.Equal(en.usesAdmission(vw), tc.want) // tc.name
	}
}

func TestPriority(t *testing.T) {
	is := is.New(t)
	rt := &route.Route{Priority: 2}
	is.Equal((&request{}).priority(rt), 2)
	is.Equal((&request{account: &acct.Account{Priority: 0}}).priority(rt), 2)
	is.Equal((&request{account: &acct.Account{Priority: 0, HasPriority: true}}).priority(rt), 0)
}
