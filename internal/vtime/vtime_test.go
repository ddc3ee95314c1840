package vtime_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/internal/vtime"
)

func Example() {
	var ag vtime.Agenda[string]
	ag.After(2*time.Second, "reply")
	ag.After(time.Second, "request")
	for ev := range ag.Until(time.Minute) {
		fmt.Println(ag.Now(), ev)
		if ev == "request" {
			ag.After(time.Second, "hedge") // after the reply, which was scheduled first
		}
	}
	fmt.Println(ag.Now())
	// Output:
	// 1s request
	// 2s reply
	// 2s hedge
	// 1m0s
}

func TestAgenda(t *testing.T) {
	is := is.New(t)
	var ag vtime.Agenda[int]
	ag.After(3, 30)
	ag.After(1, 10)
	ag.After(1, 11)
	is.Equal(slices.Collect(ag.Until(2)), []int{10, 11})
	is.Equal(ag.Now(), time.Duration(2)) // advances to the end, although no event was due
	ag.After(-5, 20)
	for ev := range ag.Until(2) {
		is.Equal(ev, 20)
		is.Equal(ag.Now(), time.Duration(2)) // the event does not set the clock back
	}
	_, ok := ag.Next(1)
	is.True(!ok)
	is.Equal(ag.Now(), time.Duration(2)) // neither does an end in the past
	is.Equal(ag.Len(), 1)
	is.Equal(slices.Collect(ag.All()), []int{30})
	ag.After(5, 70)
	for range ag.Until(9) {
		break
	}
	is.Equal(ag.Now(), time.Duration(3)) // the time of the last event
}

func TestLink(t *testing.T) {
	const messages, jitter, distance = 10000, 7, 100
	for _, tt := range []struct {
		loss        float64
		least, most int
	}{{0, 0, 0}, {0.2, messages * 18 / 100, messages * 22 / 100}, {1, messages, messages}} {
		is := is.New(t)
		one := vtime.Link{Rand: rand.New(rand.NewPCG(1, 2)), Loss: tt.loss, Jitter: jitter}
		other := vtime.Link{Rand: rand.New(rand.NewPCG(1, 2)), Loss: tt.loss, Jitter: jitter}
		lost := 0
		seen := map[time.Duration]bool{}
		for range messages {
			isLost, delay := one.Lost(), one.Delay(distance)
			is.Equal(other.Lost(), isLost) // the same seed, the same losses
			is.Equal(other.Delay(distance), delay)
			is.True(delay >= distance && delay <= distance+jitter)
			seen[delay] = true
			if isLost {
				lost++
			}
		}
		is.True(lost >= tt.least && lost <= tt.most)
		is.Equal(len(seen), jitter+1) // both bounds occur
	}
}
