package reach_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/reach"
)

// A data centre of 28 VMs is cut off, and only two of them have overdue answers. Its clients
// are refused until the last of the 28 VMs fails its health check, and VMs without requests
// would need the long silence to detect the cut. With the report of the first VM, which gets
// it from one of the two, each sends probes and detects the cut. The first VM relays the
// report before it has its own proof; otherwise the others would wait for two probes in a
// row.
func TestReportsSpeedUpDetection(t *testing.T) {
	is := is.New(t)
	without, proof, relayed := lastDetection(reportsNothing), lastDetection(reportsOwnProof), lastDetection(relaysReports)
	t.Logf("last detection without reports: %v, with the first VM's proof: %v, with relayed reports: %v", without, proof, relayed)
	is.True(without > 1600*ms)
	is.True(proof <= 800*ms)
	is.True(relayed <= proof-150*ms)
}

// reporting is what the first VM does with another VM's report.
type reporting int

const (
	reportsNothing reporting = iota
	reportsOwnProof
	relaysReports
)

// lastDetection simulates a cut and returns when the last VM has detected it.
func lastDetection(mode reporting) time.Duration {
	const (
		vms, overdue = 28, 2
		look         = 50 * ms
		probeTime    = 150 * ms
	)
	detectors := make([]*reach.Detector, vms)
	found := make([]time.Duration, vms)
	probedAt := make([]time.Duration, vms)
	for i := range detectors {
		detectors[i] = reach.New(reach.Config{})
	}
	for now := look; slices.Contains(found, 0); now += look {
		for i, de := range detectors {
			// VM 0 is the first VM. It gets reports from the VMs with overdue answers; all
			// others get them from it.
			source := found[0]
			if i == 0 || mode == relaysReports {
				source = earliestPositive(found[vms-overdue:])
			}
			ob := reach.Observation{Silence: now, LocalInsufficient: true, CutReported: mode != reportsNothing && source > 0 && source < now}
			if i >= vms-overdue {
				ob.Overdue = int(now / (20 * ms))
			}
			if de.ShouldProbe(ob) && probedAt[i] == 0 {
				probedAt[i] = now
			}
			ob.ProbesFailed = probedAt[i] > 0 && now >= probedAt[i]+probeTime
			if de.Update(now, ob) && found[i] == 0 {
				found[i] = now
			}
		}
	}
	return slices.Max(found)
}

func earliestPositive(times []time.Duration) time.Duration {
	first := time.Duration(0)
	for _, at := range times {
		if at > 0 && (first == 0 || at < first) {
			first = at
		}
	}
	return first
}

// A VM reports that the data centre is cut off, but only its own connections are lost. The
// other VMs receive messages from outside, and must not leave the rotation because of its
// report alone.
func TestReportAloneIsNoProof(t *testing.T) {
	cases := []struct {
		name    string
		silence time.Duration
		mute    bool
		off     bool
	}{
		{"no silence", 50 * ms, false, false},
		{"silence, probes answered", 300 * ms, false, false},
		{"silence, no probe answered", 300 * ms, true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			de := reach.New(reach.Config{})
			ob := reach.Observation{Silence: tc.silence, LocalInsufficient: true, CutReported: true, ProbesFailed: tc.mute}
			is.New(t).Equal(de.Update(time.Second, ob), tc.off)
		})
	}
}

// A VM starts in a data centre that is cut off, while all other VMs there are out of the load
// balancer's rotation. As the only VM in rotation it got all clients for more than a second
// until it detected the cut itself, and refused them.
func TestMayEnterRotation(t *testing.T) {
	const uptime = 200 * ms
	cases := []struct {
		name    string
		told    bool
		silence time.Duration
		waited  time.Duration
		enters  bool
	}{
		{"no cut reported", false, uptime, 0, true},
		{"cut reported", true, uptime, 0, false},
		{"cut reported, message received from outside", true, 10 * ms, 0, true},
		{"cut reported, maximum delay passed", true, uptime, 2 * time.Second, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(reach.MayEnterRotation(tc.told, tc.silence, uptime, tc.waited), tc.enters)
		})
	}
}
