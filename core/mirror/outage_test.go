package mirror_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/mirror"
)

// Guards against an undetected outage. The store refuses all VMs for six seconds, and the
// entries of all servers expire although the servers are alive. Meanwhile VMs fetch equally
// old data from each other, which seems a few milliseconds younger after each network delay.
// If the outage goes unnoticed, all servers count as gone when the store is back, and
// requests fail until the entries are written again.
func TestOutageDetection(t *testing.T) {
	const (
		ms = time.Millisecond
		s  = time.Second
	)
	type event struct {
		at     time.Duration
		failed bool
		// contact is the time of the last contact with the store, as computed at that moment.
		contact time.Duration
	}
	fails := func(at time.Duration) event { return event{at: at, failed: true} }
	contacts := func(at, contact time.Duration) event { return event{at: at, contact: contact} }
	cases := []struct {
		name     string
		events   []event
		returned time.Duration
	}{
		{"continuous contact", []event{contacts(s, s), contacts(2*s, 2*s), contacts(3*s, 3*s)}, 0},
		{"data late", []event{contacts(s, s), contacts(4*s, 4*s)}, 0},
		{"a call failed, other VMs reached the store", []event{contacts(s, s), fails(2 * s), contacts(2500*ms, 2400*ms), contacts(4900*ms, 4900*ms)}, 0},
		{"outage", []event{contacts(s, s), fails(2 * s), fails(4 * s), contacts(7*s, 7*s)}, 7 * s},
		{"outage, call refused at once", []event{contacts(s, s), fails(s + 5*ms), contacts(s+30*ms, s+23*ms), contacts(7*s, 7*s)}, 7 * s},
		{"outage, equally old data from other VMs", []event{
			contacts(s, s), fails(3 * s), contacts(3500*ms, s+10*ms), contacts(3600*ms, s+23*ms),
			fails(5 * s), contacts(5500*ms, s+60*ms), contacts(7*s, 7*s),
		}, 7 * s},
		{"outage, hanging call ends after recovery", []event{
			contacts(s, s), fails(3 * s), fails(7200 * ms), contacts(7300*ms, 7*s), contacts(8*s, 8*s),
		}, 7 * s},
		{"outage began before this VM started", []event{fails(s), contacts(4*s, 4*s)}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var ou mirror.Outage
			for _, ev := range tc.events {
				if ev.failed {
					ou.RecordFailure(ev.at)
				} else {
					ou.RecordContact(ev.contact)
				}
			}
			is.Equal(ou.Recovered(), tc.returned)
			is.True(ou.Contacted())
			ou.RecordRecovery(time.Minute)
			is.Equal(ou.Recovered(), time.Minute)
		})
	}
}
