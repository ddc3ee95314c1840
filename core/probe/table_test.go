package probe_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/probe"
)

const (
	first  = "a:1"
	second = "a:2"
	third  = "b:1"
)

func newTable() *probe.Table {
	tb := probe.New(probe.Config{Limits: probe.DefaultLimits()})
	tb.Want(0, probe.VM{Addr: first, DataCentre: "a"}, probe.VM{Addr: second, DataCentre: "a"}, probe.VM{Addr: third, DataCentre: "b"})
	return tb
}

// tick returns the VMs that are probed and those that are given up, at the time of Next.
func tick(tb *probe.Table) (now time.Duration, probed, givenUp []string) {
	now, ok := tb.Next()
	if !ok {
		return 0, nil, nil
	}
	for _, ac := range tb.Tick(now) {
		if ac.Kind == probe.Probe {
			probed = append(probed, ac.VM.Addr)
		} else {
			givenUp = append(givenUp, ac.VM.Addr)
		}
	}
	return now, probed, givenUp
}

// One lost packet must not make a VM silent: the probe that follows is answered.
func TestOneFailedConnectionIsNotSilence(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	tb.Connect(time.Second, first, probe.Unreachable, 40*ms)
	is.True(tb.Avoid(first))
	now, probed, _ := tick(tb)
	is.Equal(now, time.Second)
	is.Equal(probed, []string{first, second})
	silent, _ := tb.EndProbe(now+ms, first, probe.Alive, ms)
	is.True(!silent)
	is.True(!tb.Avoid(first))
}

// The VMs of a data centre are cut off together. Otherwise each of them would be found by another
// request that waits for it.
func TestNeighboursAreProbed(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	tb.Connect(time.Second, first, probe.Unreachable, 40*ms)
	now, _, _ := tick(tb)
	for _, addr := range []string{first, second} {
		silent, changed := tb.EndProbe(now+40*ms, addr, probe.Unreachable, 40*ms)
		is.True(silent && changed)
	}
	is.True(tb.Avoid(second))
	is.True(!tb.Avoid(third))
}

// A silent VM is probed in the background while requests want it, less and less often, and no
// longer: thousands of VMs would otherwise probe each other for ever.
func TestBackgroundProbes(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	tb.Connect(0, third, probe.Refused, ms)
	var probes []time.Duration
	for range 20 {
		now, probed, _ := tick(tb)
		if len(probed) == 0 {
			break
		}
		probes = append(probes, now)
		tb.EndProbe(now, third, probe.Refused, ms)
	}
	is.True(len(probes) > 4)
	is.True(len(probes) < 20)
	is.True(probes[len(probes)-1] < 6*time.Second)
	tb.Want(time.Minute, probe.VM{Addr: third, DataCentre: "b"})
	_, probed, _ := tick(tb)
	is.Equal(probed, []string{third})
	tb.EndProbe(time.Minute, third, probe.Alive, ms)
	is.True(!tb.Avoid(third))
}

// Requests that a silent VM holds are given up: a cut off VM cannot answer them. A frozen one may
// continue, so its requests wait for longer.
func TestGiveUp(t *testing.T) {
	cases := []struct {
		name    string
		outcome probe.Outcome
		want    time.Duration
	}{
		{"cut off", probe.Unreachable, probe.DefaultLimits().GiveUpUnreachable},
		{"frozen", probe.Frozen, probe.DefaultLimits().GiveUpFrozen},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb := newTable()
			tb.Begin(0, first)
			for {
				now, probed, givenUp := tick(tb)
				if len(givenUp) > 0 {
					is.Equal(givenUp, []string{first})
					is.Equal(now, tc.want)
					return
				}
				is.True(now < 5*time.Second)
				for _, addr := range probed {
					tb.EndProbe(now+40*ms, addr, tc.outcome, 40*ms)
				}
			}
		})
	}
}

// This VM was stopped for lack of processor time, and the answers that arrived meanwhile are not
// read yet. Its VMs must not be taken for silent.
func TestOwnPauseIsNotSilence(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	tb.Begin(0, first)
	due, _ := tb.Next()
	resumed := due + 80*ms
	is.Equal(len(tb.Tick(resumed)), 0)
	again, ok := tb.Next()
	is.True(ok && again > resumed)
	tb.Answer(resumed+ms, first, 90*ms)
	is.Equal(len(tb.Tick(again)), 0)
}

// A VM that usually takes long is not probed after the time that a fast one needs.
func TestOverdueFollowsLatency(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	for k := range 20 {
		tb.Begin(time.Duration(k)*time.Second, first)
		tb.Answer(time.Duration(k)*time.Second+300*ms, first, 300*ms)
	}
	tb.Begin(time.Minute, first)
	due, _ := tb.Next()
	is.True(due >= time.Minute+300*ms)
	is.True(due < time.Minute+700*ms)
}
