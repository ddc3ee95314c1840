package feed_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/feed"
)

// The store refuses everybody for six seconds, and all entries lapse with their
// servers alive. Meanwhile VMs ask each other for news, all equally old: with the
// way between them it seems a few milliseconds younger. When the store is back its
// absence must be known, or every server counts as gone at once and callers get
// nothing until the entries are written again.
func TestAbsence(t *testing.T) {
	const (
		ms = time.Millisecond
		s  = time.Second
	)
	type event struct {
		at     time.Duration
		failed bool
		// heard is when the store was heard, as news that comes at that moment says.
		heard time.Duration
	}
	fails := func(at time.Duration) event { return event{at: at, failed: true} }
	hears := func(at, heard time.Duration) event { return event{at: at, heard: heard} }
	cases := []struct {
		name     string
		events   []event
		returned time.Duration
	}{
		{"heard all the time", []event{hears(s, s), hears(2*s, 2*s), hears(3*s, 3*s)}, 0},
		{"news was late", []event{hears(s, s), hears(4*s, 4*s)}, 0},
		{"a call failed, others heard it", []event{hears(s, s), fails(2 * s), hears(2500*ms, 2400*ms), hears(4900*ms, 4900*ms)}, 0},
		{"was away", []event{hears(s, s), fails(2 * s), fails(4 * s), hears(7*s, 7*s)}, 7 * s},
		{"was away, refused at once", []event{hears(s, s), fails(s + 5*ms), hears(s+30*ms, s+23*ms), hears(7*s, 7*s)}, 7 * s},
		{"was away, with equally old news from others", []event{
			hears(s, s), fails(3 * s), hears(3500*ms, s+10*ms), hears(3600*ms, s+23*ms),
			fails(5 * s), hears(5500*ms, s+60*ms), hears(7*s, 7*s),
		}, 7 * s},
		{"was away, a call that hung ends after its return", []event{
			hears(s, s), fails(3 * s), fails(7200 * ms), hears(7300*ms, 7*s), hears(8*s, 8*s),
		}, 7 * s},
		{"was away before this VM's start", []event{fails(s), hears(4*s, 4*s)}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var ab feed.Absence
			for _, ev := range tc.events {
				if ev.failed {
					ab.Failed(ev.at)
				} else {
					ab.Heard(ev.heard)
				}
			}
			is.Equal(ab.Returned(), tc.returned)
			is.True(ab.Ever())
			ab.Told(time.Minute)
			is.Equal(ab.Returned(), time.Minute)
		})
	}
}
