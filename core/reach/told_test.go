package reach_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/reach"
)

// A data centre of 28 VMs is cut off, and two of them are owed answers by servers
// elsewhere. Its clients are refused until the last of the 28 fails the balancer's check,
// and those without requests have only the long silence to go by. Told by the first VM,
// which was told by one of the two, each asks for a sign of life and finds the cut. The
// first VM passes the word on before it has its own proof, or the others would wait for two
// signs of life in a row.
func TestOneProofIsEnoughForADataCentre(t *testing.T) {
	is := is.New(t)
	alone, told, passed := lastToFind(tellsNobody), lastToFind(tellsProof), lastToFind(passesOn)
	t.Logf("the last VM finds the cut after %v, told after %v, told before the first VM's proof after %v", alone, told, passed)
	is.True(alone > 1600*ms)
	is.True(told <= 800*ms)
	is.True(passed <= told-150*ms)
}

// telling is what the first VM does with another one's word.
type telling int

const (
	tellsNobody telling = iota
	tellsProof
	passesOn
)

// lastToFind plays a cut and returns when the last VM has found it.
func lastToFind(tells telling) time.Duration {
	const (
		vms, busy = 28, 2
		look      = 50 * ms
		probe     = 150 * ms
	)
	judges := make([]*reach.Judge, vms)
	found := make([]time.Duration, vms)
	asked := make([]time.Duration, vms)
	for i := range judges {
		judges[i] = reach.New(reach.Config{})
	}
	for now := look; slices.Contains(found, 0); now += look {
		for i, ju := range judges {
			// VM 0 is the first; it hears from the two that are owed answers, and all
			// others hear from it.
			source := found[0]
			if i == 0 || tells == passesOn {
				source = earliest(found[vms-busy:])
			}
			si := reach.Sight{Silence: now, Lacking: true, Told: tells != tellsNobody && source > 0 && source < now}
			if i >= vms-busy {
				si.Owed = int(now / (20 * ms))
			}
			if ju.Doubts(si) && asked[i] == 0 {
				asked[i] = now
			}
			si.Mute = asked[i] > 0 && now >= asked[i]+probe
			if ju.Look(now, si) && found[i] == 0 {
				found[i] = now
			}
		}
	}
	return slices.Max(found)
}

func earliest(times []time.Duration) time.Duration {
	first := time.Duration(0)
	for _, at := range times {
		if at > 0 && (first == 0 || at < first) {
			first = at
		}
	}
	return first
}

// A VM says that the data centre is cut off, and is at fault itself: it lost its own
// connections. The others hear servers and VMs elsewhere, and must not leave the rotation
// for its word.
func TestAWordAloneProvesNothing(t *testing.T) {
	cases := []struct {
		name    string
		silence time.Duration
		mute    bool
		off     bool
	}{
		{"others are heard", 50 * ms, false, false},
		{"silent, and VMs elsewhere answer", 300 * ms, false, false},
		{"silent, and nobody answers", 300 * ms, true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ju := reach.New(reach.Config{})
			si := reach.Sight{Silence: tc.silence, Lacking: true, Told: true, Mute: tc.mute}
			is.New(t).Equal(ju.Look(time.Second, si), tc.off)
		})
	}
}

// A VM starts in a data centre that is cut off, while all others there are out of the
// rotation. As the only one that is ready it got the clients of all for a second and more,
// until it found the cut itself, and refused them.
func TestEnters(t *testing.T) {
	const uptime = 200 * ms
	cases := []struct {
		name    string
		told    bool
		silence time.Duration
		waited  time.Duration
		enters  bool
	}{
		{"nobody speaks of a cut", false, uptime, 0, true},
		{"a neighbour has proof", true, uptime, 0, false},
		{"and somebody beyond was heard", true, 10 * ms, 0, true},
		{"and the judge had its time", true, uptime, 2 * time.Second, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(reach.Enters(tc.told, tc.silence, uptime, tc.waited), tc.enters)
		})
	}
}
