package valve_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/fanout"
)

const (
	replaySeeds = 2
	replayUntil = 10 * time.Second
)

func silentToAll(int) bool { return true }

func (sc *scene) add(server int, fa fault) {
	sc.faults[server] = append(sc.faults[server], fa)
}

// lostShard is a scene in which all servers of shard 0 are silent for 3.4 s. A quarter of the
// servers is slow, three shards have a failing server, and two of the six VMs get no response from
// one data centre.
func lostShard(seed uint64) *scene {
	sc := &scene{rate: 215, until: replayUntil, faults: map[int][]fault{}}
	for i := range replayCopies {
		sc.add(i, fault{from: 2900 * ms, until: 6300 * ms, silentTo: silentToAll})
	}
	rnd := rand.New(rand.NewPCG(seed, 3))
	for _, server := range rnd.Perm(replayShards * replayCopies)[:24] {
		sc.add(server, fault{from: 2 * time.Second, until: 8 * time.Second, slow: 7})
	}
	for _, server := range rnd.Perm(replayShards * replayCopies)[:24] {
		sc.add(server, fault{from: 8 * time.Second, until: replayUntil, slow: 7})
	}
	for _, shard := range []int{7, 19, 31} {
		sc.add(shard*replayCopies, fault{from: 2 * time.Second, until: 8 * time.Second, failing: 1})
	}
	for i := range replayShards * replayCopies {
		if i%replayDCs == 1 {
			sc.add(i, fault{from: 2500 * ms, until: 7 * time.Second, silentTo: func(vm int) bool { return vm < 2 }})
		}
	}
	return sc
}

// shortShards is a scene in which each of eight shards has one server left, at half its speed, with
// capacity for 170 of 215 requests per second.
func shortShards(uint64) *scene {
	sc := &scene{rate: 215, until: replayUntil, faults: map[int][]fault{}}
	for shard := 2; shard < 34; shard += 4 {
		for i := range replayCopies - 1 {
			sc.add(shard*replayCopies+i, fault{from: 2 * time.Second, until: 8 * time.Second, silentTo: silentToAll})
		}
		sc.add(shard*replayCopies+replayCopies-1, fault{from: 2 * time.Second, until: 8 * time.Second, slow: 2})
	}
	return sc
}

// scarceTokens is a scene in which shard 0 is lost, and 15% of the requests to four other shards fail
// on any of their servers, one of which is slow: about as many retries as tokens are earned.
func scarceTokens(uint64) *scene {
	sc := &scene{rate: 215, until: replayUntil, faults: map[int][]fault{}}
	for i := range replayCopies {
		sc.add(i, fault{from: 2900 * ms, until: 6300 * ms, silentTo: silentToAll})
	}
	for shard := 1; shard <= 4; shard++ {
		for i := range replayCopies {
			sc.add(shard*replayCopies+i, fault{from: 2 * time.Second, until: 8 * time.Second, failing: 0.15})
		}
		sc.add(shard*replayCopies+shard%replayCopies, fault{from: 2 * time.Second, until: 8 * time.Second, slow: 7})
	}
	return sc
}

// replays runs a scene with some seeds, and logs the results by cause.
func replays(t *testing.T, name string, sceneOf func(seed uint64) *scene, ru rule) (rps []*replay) {
	t.Helper()
	for seed := range uint64(replaySeeds) {
		rp := newReplay(sceneOf(seed+1), ru, seed+1)
		rp.run()
		rp.checkExtra(t)
		rps = append(rps, rp)
	}
	for from := 2; from < 10; from += 2 {
		t.Log(name, "seconds", from, "to", from+2, total(rps, from, from+2))
	}
	t.Log(name, "all", total(rps, 0, 10))
	return rps
}

func total(rps []*replay, from, until int) map[string]int {
	all := map[string]int{}
	for _, rp := range rps {
		for _, results := range rp.results[from:until] {
			for result, n := range results {
				all[result] += n
			}
		}
	}
	return all
}

// A shard is lost, and servers are slow or fail. Requests lack tokens and connections for these
// servers although the others have spare capacity. If the valve counts that as a lack of capacity,
// it refuses up to a quarter of the requests, and continues to do so after the shard has recovered.
func TestLostShardIsNoShortage(t *testing.T) {
	is := is.New(t)
	off := replays(t, "no valve", lostShard, noValve)
	before := replays(t, "any denial", lostShard, anyDenial)
	after := replays(t, "lack of capacity", lostShard, capacityOnly)
	inTime := func(rps []*replay) int { return total(rps, 0, 10)[resultInTime] }
	is.True(inTime(after)*1000 > inTime(before)*1020)
	is.True(inTime(after)*1000 > inTime(off)*990)
	// After the return, while other servers are slow.
	is.True(total(after, 8, 10)[resultRefused]*4 < total(before, 8, 10)[resultRefused])
}

// A shard is lost, so each other one is needed, and retries use up the tokens of some. A gather then
// ended with 34 of the 35 required shards as soon as the last one had no token, although other
// requests earn tokens in time.
func TestNeededRetriesGetTokens(t *testing.T) {
	is := is.New(t)
	before := replays(t, "any denial", scarceTokens, anyDenial)
	after := replays(t, "lack of capacity", scarceTokens, capacityOnly)
	const noToken = "failed " + fanout.ReasonBudget
	is.True(total(before, 2, 8)[noToken] > 20)
	is.True(total(after, 2, 8)[noToken]*5 < total(before, 2, 8)[noToken])
	is.True(total(after, 2, 8)[resultInTime] > total(before, 2, 8)[resultInTime])
	is.True(total(after, 2, 8)[resultRefused]*5 < total(before, 2, 8)[resultRefused])
}

// Many shards lack capacity at once, and each lets other requests wait. Without shedding, most
// requests fail for one of these shards. The valve has to see this as a lack of capacity.
func TestShortShardsAreAShortage(t *testing.T) {
	is := is.New(t)
	off := replays(t, "no valve", shortShards, noValve)
	after := replays(t, "lack of capacity", shortShards, capacityOnly)
	is.True(total(after, 2, 8)[resultRefused] > 200)
	is.True(total(after, 2, 8)[resultInTime] > total(off, 2, 8)[resultInTime])
	// Connections to the servers are open again within 0.3 s, and the valve 0.5 s after that.
	is.Equal(total(after, 9, 10)[resultRefused], 0)
}

// checkExtra checks that over all VMs and in any window, extra attempts stay within their share of
// the requests and the slack, although denied ones are tried again.
func (rp *replay) checkExtra(t *testing.T) {
	t.Helper()
	for shard := range rp.extra {
		extra, primary := rp.extra[shard], rp.primary[shard]
		for i, from := range extra {
			within := countUntil(extra, from+extraWindow) - i
			requests := countUntil(primary, from+extraWindow) - countUntil(primary, from)
			if float64(within) > extraShare*float64(requests)+extraSlack {
				t.Errorf("shard %d, from %v: %d extra attempts for %d requests", shard, from, within, requests)
				return
			}
		}
	}
}

// countUntil returns how many of the times, which ascend, are before another.
func countUntil(times []time.Duration, until time.Duration) int {
	n, _ := slices.BinarySearch(times, until)
	return n
}
