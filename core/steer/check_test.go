package steer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/steer"
)

const (
	checkBrief    = 25 * ms
	checkDeadline = 400 * ms
	checkUsual    = 50 * ms
	// checkLatest is when a check ends at the latest.
	checkLatest = checkDeadline - 2*checkUsual
	never       = time.Hour
)

// statusOf is how a simulated server responds to a status check: when, and with which slowdown;
// 0 is a response that is not valid.
type statusOf struct {
	after    time.Duration
	slowdown float64
}

// simulateCheck runs a check of three servers and returns when it ended, how many servers it
// asked, and the id of the chosen server.
func simulateCheck(tb *steer.Table, began time.Duration, ups []*origin.Upstream, status map[string]statusOf) (took time.Duration, asked int, chosen string) {
	ki := steer.RequestKind{UsualLatency: checkUsual, UseLoadReports: true}
	ck := steer.NewCheck(began, steer.CheckConfig{Table: tb, Asked: ups[:3], Brief: checkBrief, UsualLatency: checkUsual, Deadline: began + checkDeadline})
	sent, ended := map[string]time.Duration{}, map[string]bool{}
	now := began
	for {
		for _, up := range ck.Asked() {
			if _, ok := sent[up.ID]; !ok {
				sent[up.ID] = now
			}
		}
		step, wake := ck.Next(now)
		if step == steer.CheckDone {
			break
		}
		if step == steer.CheckMore {
			ck.Ask(ups[3:])
			continue
		}
		var next *origin.Upstream
		for _, up := range ck.Asked() {
			if at := sent[up.ID] + status[up.ID].after; !ended[up.ID] && (at < wake || at == wake && next == nil) {
				next, wake = up, at
			}
		}
		now = wake
		if next == nil {
			continue
		}
		ended[next.ID] = true
		if st := status[next.ID]; st.slowdown == 0 {
			ck.Failed()
		} else {
			tb.RecordLoad(now, next, steer.Load{Running: 1, Slots: 4, Slowdown: st.slowdown}, 0)
			ck.Answered(now, next)
		}
	}
	for _, group := range ck.Rank(ups) {
		if up, ok := tb.Pick(now, ki, group, nil, half); ok {
			return now - began, len(ck.Asked()), up.ID
		}
	}
	return now - began, len(ck.Asked()), ""
}

// A request that may run only once must not go to a silent or slow server if a healthy one
// responds, however late: on a busy VM no response is read within the brief time. Neither may it
// wait if a server is ready, nor for so long that it misses its target.
func TestCheckAwaitsLateResponses(t *testing.T) {
	fine, slow, silent, invalid := statusOf{2 * ms, 1}, statusOf{2 * ms, 9}, statusOf{never, 1}, statusOf{2 * ms, 0}
	lateFine, lateSlow := statusOf{60 * ms, 1}, statusOf{60 * ms, 9}
	for _, tc := range []struct {
		name          string
		a, b, c, d, e statusOf
		took          time.Duration
		asked         int
		chosen        string
	}{
		{"all ready", fine, fine, fine, fine, fine, 2 * ms, 3, "a"},
		{"the nearest slow", slow, fine, fine, fine, fine, 2 * ms, 3, "b"},
		{"one silent", silent, fine, fine, fine, fine, checkBrief, 3, "b"},
		{"slow, silent, late", slow, silent, lateFine, silent, silent, 60 * ms, 5, "c"},
		{"all late", lateSlow, silent, lateFine, silent, silent, 60 * ms, 5, "c"},
		{"all silent, others not", silent, silent, silent, fine, fine, checkBrief + 2*ms, 5, "d"},
		{"all slow, others not", slow, slow, slow, slow, fine, 4 * ms, 5, "e"},
		{"all slow", slow, slow, slow, slow, slow, 4 * ms, 5, "a"},
		{"invalid responses", invalid, invalid, invalid, fine, invalid, 4 * ms, 5, "d"},
		{"one slow, the rest silent", silent, silent, slow, silent, silent, checkLatest, 5, "c"},
		{"none responds", silent, silent, silent, silent, silent, checkLatest, 5, "a"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var ups []*origin.Upstream
			for _, id := range []string{"a", "b", "c", "d", "e"} {
				ups = append(ups, &origin.Upstream{ID: id, DataCentre: id})
			}
			tb := steer.New(steer.Config{DataCentre: "a"})
			status := map[string]statusOf{"a": tc.a, "b": tc.b, "c": tc.c, "d": tc.d, "e": tc.e}
			took, asked, chosen := simulateCheck(tb, time.Second, ups, status)
			is.Equal(took, tc.took)
			is.Equal(asked, tc.asked)
			is.Equal(chosen, tc.chosen)
		})
	}
}

// No server responds to a check in time, since this VM is slow. A server that has responded a
// moment ago must be preferred to one that never has, although its responses were slow and it
// therefore costs more.
func TestServersThatRespondedArePreferred(t *testing.T) {
	for _, ve := range []fanout.Verdict{fanout.Served, fanout.Failed, fanout.Refused} {
		t.Run(ve.String(), func(t *testing.T) {
			is := is.New(t)
			tb := steer.New(steer.Config{DataCentre: "a"})
			a, b, c := &origin.Upstream{ID: "a", DataCentre: "a"}, &origin.Upstream{ID: "b", DataCentre: "b"}, &origin.Upstream{ID: "c", DataCentre: "c"}
			began := time.Second
			tb.Begin(began, checkUsual, c.Process())
			tb.End(began+300*ms, c.Process(), steer.Result{Verdict: ve, Latency: 300 * ms, UsualLatency: checkUsual})
			status := map[string]statusOf{"a": {never, 1}, "b": {never, 1}, "c": {never, 1}}
			took, _, chosen := simulateCheck(tb, began+360*ms, []*origin.Upstream{a, b, c}, status)
			is.Equal(took, checkLatest)
			is.Equal(chosen, "c")
		})
	}
}

// Servers that responded long ago are not preferred to one that responded a moment ago: they may
// have become silent since.
func TestLastRespondersArePreferred(t *testing.T) {
	is := is.New(t)
	tb := steer.New(steer.Config{DataCentre: "a"})
	var ups []*origin.Upstream
	status := map[string]statusOf{}
	for i, id := range []string{"a", "b", "c"} {
		up := &origin.Upstream{ID: id, DataCentre: id}
		ups, status[id] = append(ups, up), statusOf{never, 1}
		tb.RecordLoad(time.Duration(i+1)*1500*ms, up, steer.Load{Slots: 4, Slowdown: 1}, 0)
	}
	_, _, chosen := simulateCheck(tb, 5*time.Second, ups, status)
	is.Equal(chosen, "c")
}

// The connection to the only server that responds is being opened again. If the request does not
// wait for it, it goes to a server that is silent; if others respond as well, it need not wait.
func TestOnlyChoice(t *testing.T) {
	fine, slow, silent := statusOf{2 * ms, 1}, statusOf{2 * ms, 9}, statusOf{never, 1}
	for _, tc := range []struct {
		name    string
		a, b, c statusOf
		tried   []string
		want    bool
	}{
		{"one responds", fine, silent, silent, nil, true},
		{"another one is slow", fine, slow, silent, nil, false},
		{"another one was tried", fine, fine, silent, []string{"b"}, true},
		{"another one is ready", fine, fine, silent, nil, false},
		{"none responds", silent, silent, silent, nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb := steer.New(steer.Config{DataCentre: "a"})
			var ups, tried []*origin.Upstream
			ck := steer.NewCheck(time.Second, steer.CheckConfig{Table: tb})
			for i := range 3 {
				up := &origin.Upstream{ID: string(rune('a' + i)), DataCentre: "a"}
				ups = append(ups, up)
				if slices.Contains(tc.tried, up.ID) {
					tried = append(tried, up)
				}
			}
			ck.Ask(ups)
			for i, st := range []statusOf{tc.a, tc.b, tc.c} {
				if st.after < never {
					tb.RecordLoad(time.Second, ups[i], steer.Load{Slots: 4, Slowdown: st.slowdown}, 0)
					ck.Answered(time.Second, ups[i])
				}
			}
			is.Equal(ck.OnlyChoice(ups[0], ups, tried), tc.want)
		})
	}
}
