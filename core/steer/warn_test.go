package steer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/steer"
)

func TestDoubted(t *testing.T) {
	cases := []struct {
		name    string
		see     func(wo *world)
		doubted bool
	}{
		{"nothing seen", func(*world) {}, false},
		{"usual", func(wo *world) { wo.serve(usual) }, false},
		{"one slow answer", func(wo *world) { wo.serve(10 * usual) }, false},
		{"two slow answers", func(wo *world) { wo.serve(10 * usual); wo.serve(10 * usual) }, true},
		{"recovered", func(wo *world) { wo.serve(10 * usual); wo.serve(10 * usual); wo.serve(usual) }, false},
		{"silent", func(wo *world) { wo.tb.Begin(wo.now, usual, process("near")); wo.now += 4 * usual }, true},
		{"not yet silent", func(wo *world) { wo.tb.Begin(wo.now, usual, process("near")); wo.now += usual }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			wo := newWorld(t)
			tc.see(wo)
			is.New(t).Equal(wo.tb.Doubted(wo.now, process("near")), tc.doubted)
		})
	}
}

// Another VM's word has a server left for a while. What this VM sees itself counts more:
// an answer in the usual time ends it.
func TestWarn(t *testing.T) {
	is := is.New(t)
	wo := newWorld(t)
	wo.serve(usual)
	wo.tb.Warn(wo.now, process("near"))
	is.Equal(wo.pick(), "far")
	wo.serve(usual)
	wo.serve(usual)
	is.Equal(wo.pick(), "near")
	wo.tb.Warn(wo.now, process("near"))
	wo.now += 2 * time.Second
	is.Equal(wo.pick(), "near")
}

// A sixth of 126 servers turns slow by ten. Their 42 shards are asked by 21 VMs, five
// requests a second each, so that each VM meets a given server once or twice a second and
// takes seconds to find all slow ones; meanwhile nearly every request waits for one. The
// VMs that stand beside a server see its answers to all others.
func TestWarningsFindSlowServersSooner(t *testing.T) {
	is := is.New(t)
	alone, warned := meetSlow(false), meetSlow(true)
	t.Logf("slow answers waited for in 2 s: %d alone, %d with warnings", alone, warned)
	is.True(3*warned < 2*alone)
}

// meetSlow counts the attempts at slow servers in the first two seconds.
func meetSlow(warn bool) int {
	const (
		places, shards, vms = 7, 42, 21
		perSecond           = 105
		span                = 2 * time.Second
		took                = 10 * time.Millisecond
	)
	rnd := rand.New(rand.NewPCG(7, 8))
	var byShard [shards][]*origin.Upstream
	slow := make(map[string]bool)
	for s := range byShard {
		for k, place := range rnd.Perm(places)[:3] {
			up := &origin.Upstream{ID: fmt.Sprintf("%d-%d", s, k), Service: fmt.Sprint(s), DataCentre: fmt.Sprint(place)}
			byShard[s] = append(byShard[s], up)
			slow[up.ID] = rnd.Float64() < 0.16
		}
	}
	tables := make([]*steer.Table, vms)
	for i := range tables {
		tables[i] = steer.New(steer.Config{DataCentre: fmt.Sprint(i % places)})
	}
	met := 0
	for now := time.Second; now < time.Second+span; now += time.Second / perSecond {
		home := tables[rnd.IntN(vms)]
		for _, ups := range byShard {
			met += attempt(now, took, home, tables, ups, slow, warn, rnd)
		}
	}
	return met
}

// attempt sends one shard's request through a VM of the server's data centre, to another
// server where that one warns, and counts it if the server is slow.
func attempt(now, took time.Duration, home *steer.Table, tables []*steer.Table, ups []*origin.Upstream, slow map[string]bool, warn bool, rnd *rand.Rand) int {
	var tried []*origin.Upstream
	for {
		up, ok := home.Pick(now, steer.Kind{Usual: took, Slack: 3 * took}, ups, tried, rnd.Float64)
		if !ok {
			return 0
		}
		var place int
		_, _ = fmt.Sscan(up.DataCentre, &place)
		joiner := tables[place+7*rnd.IntN(3)]
		if warn && joiner != home && joiner.Doubted(now, up.Process()) {
			home.Warn(now, up.Process())
			tried = append(tried, up)
			continue
		}
		at := steer.Attempt{Verdict: fanout.Served, Took: took, Usual: took}
		if slow[up.ID] {
			at.Took = 10 * took
		}
		seen := []*steer.Table{home}
		if joiner != home {
			seen = append(seen, joiner)
		}
		for _, tb := range seen {
			tb.Begin(now, took, up.Process())
			tb.End(now+at.Took, up.Process(), at)
		}
		if slow[up.ID] {
			return 1
		}
		return 0
	}
}
