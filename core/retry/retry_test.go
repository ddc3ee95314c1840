package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/retry"
)

func TestWait(t *testing.T) {
	bo := retry.Backoff{First: time.Second, Most: 8 * time.Second, Jitter: 0.5}
	cases := []struct {
		name  string
		fails int
		draw  float64
		wait  time.Duration
	}{
		{"none yet", 0, 0, time.Second},
		{"one", 1, 0, time.Second},
		{"one, spread", 1, 1, 1500 * time.Millisecond},
		{"two", 2, 0, 2 * time.Second},
		{"four", 4, 0, 8 * time.Second},
		{"many", 5000, 0.5, 10 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(bo.Wait(tc.fails, tc.draw), tc.wait)
		})
	}
}

// The store turns 195 VMs away for nine seconds, and each tries to write its entry all
// the while. Every call is paid for, also one that is refused, and none of them can
// succeed: with a second and a half from one to the next there were six of each VM.
func TestFewTriesInALongOutage(t *testing.T) {
	is := is.New(t)
	const vms, outage = 195, 9 * time.Second
	rnd := rand.New(rand.NewPCG(3, 4))
	tries := func(bo retry.Backoff) int {
		n := 0
		for range vms {
			fails := 0
			for at := time.Duration(0); at < outage; at += bo.Wait(fails, rnd.Float64()) {
				n++
				fails++
			}
		}
		return n
	}
	steady := retry.Backoff{First: time.Second, Most: time.Second, Jitter: 1}
	growing := retry.Backoff{First: time.Second, Most: 8 * time.Second, Jitter: 1}
	is.True(2*tries(growing) <= tries(steady))
}
