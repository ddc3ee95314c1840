package server_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/server"
	"laburnumvane/core/view"
)

func pollsOf(n int) *server.Polls {
	po := server.NewPolls(server.PollsConfig{
		Rand: rand.New(rand.NewPCG(1, 1)), BytesPerSecond: 2048, Burst: 256 << 10, Every: 2 * time.Second,
	})
	for id := range n {
		po.Use(0, view.ServerID(id), true)
	}
	return po
}

// run polls until end, at the given size of each poll, and counts the polls of each server.
func run(po *server.Polls, from, end time.Duration, bytes int) (asked map[view.ServerID]int, sum int) {
	asked = map[view.ServerID]int{}
	for now := from; now <= end; {
		for id, ok := po.Take(now); ok; id, ok = po.Take(now) {
			asked[id]++
			sum += bytes
			po.Done(bytes)
		}
		next, ok := po.Next(now)
		if !ok {
			break
		}
		now = max(next, now+1)
	}
	return asked, sum
}

// The VM's budget of 8 KB/s for control traffic is kept: whatever the number of servers, polls use
// the burst and then 2 KB/s.
func TestPollsStayWithinByteBudget(t *testing.T) {
	for _, n := range []int{10, 75, 648, 32_000} {
		is := is.New(t)
		_, sum := run(pollsOf(n), 0, 10*time.Minute, 900)
		is.True(sum <= 256<<10+600*2048+32*900)
	}
}

// After a boot, each of the few hundred servers that a VM uses is polled within a second, so that
// the first search finds its shards.
func TestPollsAskAllAtBoot(t *testing.T) {
	is := is.New(t)
	asked, _ := run(pollsOf(270), 0, time.Second, 900)
	is.Equal(len(asked), 270)
}

// A new snapshot is detected soon: with 30 servers, each is polled at least every 20 s, and some
// within 3 s.
func TestPollsRounds(t *testing.T) {
	is := is.New(t)
	po := pollsOf(30)
	run(po, 0, time.Minute, 700)
	asked, _ := run(po, time.Minute, 63*time.Second, 700)
	is.True(len(asked) >= 3)
	asked, _ = run(po, 63*time.Second, 83*time.Second, 700)
	is.Equal(len(asked), 30)
}

// A server that lags behind the newest snapshot is polled again within half a second, then after
// twice the pause each time. A server that is no longer used is not polled at all.
func TestPollsRetryLaggingServer(t *testing.T) {
	is := is.New(t)
	po := pollsOf(2)
	run(po, 0, time.Minute, 700)
	at := time.Minute
	for pause := 250 * time.Millisecond; pause <= time.Second; pause *= 2 {
		po.RepeatLagging(at, 0)
		asked, _ := run(po, at, at+pause*3/2, 700)
		is.True(asked[0] >= 1)
		is.True(asked[0] <= 2)
		at += pause * 3 / 2
	}
	po.Use(at, 0, false)
	asked, _ := run(po, at, at+time.Minute, 700)
	is.Equal(asked[0], 0)
	is.True(asked[1] > 0)
}
