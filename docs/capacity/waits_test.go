package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// BenchmarkSpareConns reports the p99 duration of searches on a node that has few connections to each
// of 270 servers, so that sub-requests wait for each other. It simulates, in virtual time, searches at
// random times, exchanges of random duration with a given mean, and servers that allow 25 connections.
// With one connection per node, twice as many nodes share the searches as with two. A search takes as
// long as its slowest shard.
func BenchmarkSpareConns(b *testing.B) {
	two := searchesPerCentre / fanOutNodes(leastConnLimit, connsPerFanOut)
	for _, millis := range []float64{0.5, 1, 2} {
		for _, bc := range []struct {
			name  string
			conns int
			rate  float64
		}{
			{"one", 1, two / connsPerFanOut},
			{"two", 2, two},
			{"three", 3, two / connsPerFanOut * 3},
			{"many", 1000, two},
		} {
			b.Run(fmt.Sprintf("mean=%vms/%s", millis, bc.name), func(b *testing.B) {
				var p99 float64
				for b.Loop() {
					p99 = searchP99(bc.rate, millis/1000, bc.conns)
				}
				b.ReportMetric(1000*p99, "p99-ms")
			})
		}
	}
}

const waitSearches = 5000

// searchP99 returns the p99 duration of a search in seconds, for searches per second, a mean exchange
// in seconds, and connections per server.
func searchP99(rate, mean float64, conns int) float64 {
	rnd := rand.New(rand.NewPCG(1, 1))
	free := make([][]float64, shardsPerSearch)
	for i := range free {
		free[i] = make([]float64, conns)
	}
	took := make([]float64, 0, waitSearches)
	now := 0.0
	for range waitSearches {
		now += rnd.ExpFloat64() / rate
		last := 0.0
		for _, fr := range free {
			next := firstFree(fr, now)
			fr[next] = max(now, fr[next]) + rnd.ExpFloat64()*mean
			last = max(last, fr[next]-now)
		}
		took = append(took, last)
	}
	slices.Sort(took)
	return took[len(took)*99/100]
}

// firstFree returns the index of the connection that is free first.
func firstFree(free []float64, now float64) int {
	best := 0
	for i, at := range free {
		if at <= now {
			return i
		}
		if at < free[best] {
			best = i
		}
	}
	return best
}
