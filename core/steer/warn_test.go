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
		observe func(ct *clockedTable)
		doubted bool
	}{
		{"no observation", func(*clockedTable) {}, false},
		{"usual latency", func(ct *clockedTable) { ct.serve(usual) }, false},
		{"one slow answer", func(ct *clockedTable) { ct.serve(10 * usual) }, false},
		{"two slow answers", func(ct *clockedTable) { ct.serve(10 * usual); ct.serve(10 * usual) }, true},
		{"recovered", func(ct *clockedTable) { ct.serve(10 * usual); ct.serve(10 * usual); ct.serve(usual) }, false},
		{"silent", func(ct *clockedTable) { ct.tb.Begin(ct.now, usual, process("near")); ct.now += 4 * usual }, true},
		{"not silent yet", func(ct *clockedTable) { ct.tb.Begin(ct.now, usual, process("near")); ct.now += usual }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ct := newClockedTable(t)
			tc.observe(ct)
			is.New(t).Equal(ct.tb.Doubted(ct.now, process("near")), tc.doubted)
		})
	}
}

// After another VM's warning, other servers are preferred for a while. This VM's own observations
// count more: answers in the usual time end it.
func TestWarn(t *testing.T) {
	is := is.New(t)
	ct := newClockedTable(t)
	ct.serve(usual)
	ct.tb.Warn(ct.now, process("near"))
	is.Equal(ct.pick(), "far")
	ct.serve(usual)
	ct.serve(usual)
	is.Equal(ct.pick(), "near")
	ct.tb.Warn(ct.now, process("near"))
	ct.now += 2 * time.Second
	is.Equal(ct.pick(), "near")
}

// A sixth of 126 servers become ten times slower. Their 42 shards are asked by 21 VMs, five
// requests per second each, so that each VM uses a given server once or twice per second and
// needs seconds to find all slow ones; meanwhile nearly every request waits for one. The VMs next
// to a server see its answers to all other VMs.
func TestWarningsReduceSlowAttempts(t *testing.T) {
	is := is.New(t)
	without, with := countSlowAttempts(false), countSlowAttempts(true)
	t.Logf("attempts at slow servers in 2 s: %d without warnings, %d with", without, with)
	is.True(3*with < 2*without)
}

// countSlowAttempts counts the attempts at slow servers in the first two seconds.
func countSlowAttempts(warn bool) int {
	const (
		dataCentres, shards, vms = 7, 42, 21
		perSecond                = 105
		span                     = 2 * time.Second
		took                     = 10 * time.Millisecond
	)
	rnd := rand.New(rand.NewPCG(7, 8))
	var byShard [shards][]*origin.Upstream
	slow := make(map[string]bool)
	for s := range byShard {
		for k, dc := range rnd.Perm(dataCentres)[:3] {
			up := &origin.Upstream{ID: fmt.Sprintf("%d-%d", s, k), Service: fmt.Sprint(s), DataCentre: fmt.Sprint(dc)}
			byShard[s] = append(byShard[s], up)
			slow[up.ID] = rnd.Float64() < 0.16
		}
	}
	tables := make([]*steer.Table, vms)
	for i := range tables {
		tables[i] = steer.New(steer.Config{DataCentre: fmt.Sprint(i % dataCentres)})
	}
	count := 0
	for now := time.Second; now < time.Second+span; now += time.Second / perSecond {
		home := tables[rnd.IntN(vms)]
		for _, ups := range byShard {
			count += attempt(now, took, home, tables, ups, slow, warn, rnd)
		}
	}
	return count
}

// attempt sends one shard's request through a VM in the server's data centre, or to another
// server if that VM warns of it. It returns 1 if the server that answered is slow.
func attempt(now, took time.Duration, home *steer.Table, tables []*steer.Table, ups []*origin.Upstream, slow map[string]bool, warn bool, rnd *rand.Rand) int {
	var tried []*origin.Upstream
	for {
		up, ok := home.Pick(now, steer.RequestKind{UsualLatency: took, Slack: 3 * took}, ups, tried, rnd.Float64)
		if !ok {
			return 0
		}
		var dc int
		_, _ = fmt.Sscan(up.DataCentre, &dc)
		neighbour := tables[dc+7*rnd.IntN(3)]
		if warn && neighbour != home && neighbour.Doubted(now, up.Process()) {
			home.Warn(now, up.Process())
			tried = append(tried, up)
			continue
		}
		rs := steer.Result{Verdict: fanout.Served, Latency: took, UsualLatency: took}
		if slow[up.ID] {
			rs.Latency = 10 * took
		}
		seen := []*steer.Table{home}
		if neighbour != home {
			seen = append(seen, neighbour)
		}
		for _, tb := range seen {
			tb.Begin(now, took, up.Process())
			tb.End(now+rs.Latency, up.Process(), rs)
		}
		if slow[up.ID] {
			return 1
		}
		return 0
	}
}
