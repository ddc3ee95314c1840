package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/retry"
)

func TestWait(t *testing.T) {
	bo := retry.Backoff{Initial: time.Second, Max: 8 * time.Second, Jitter: 0.5}
	cases := []struct {
		name  string
		fails int
		draw  float64
		wait  time.Duration
	}{
		{"no failure yet", 0, 0, time.Second},
		{"one failure", 1, 0, time.Second},
		{"one failure, full jitter", 1, 1, 1500 * time.Millisecond},
		{"two failures", 2, 0, 2 * time.Second},
		{"four failures", 4, 0, 8 * time.Second},
		{"many failures", 5000, 0.5, 10 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(bo.Wait(tc.fails, tc.draw), tc.wait)
		})
	}
}

// The store rejects 195 VMs for nine seconds, and each keeps trying to write its entry. Every
// call is paid for, also a rejected one, and none of them can succeed: at an average interval of
// 1.5 s there were six calls per VM.
func TestFewAttemptsInLongOutage(t *testing.T) {
	is := is.New(t)
	const vms, outage = 195, 9 * time.Second
	rnd := rand.New(rand.NewPCG(3, 4))
	countAttempts := func(bo retry.Backoff) int {
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
	constant := retry.Backoff{Initial: time.Second, Max: time.Second, Jitter: 1}
	exponential := retry.Backoff{Initial: time.Second, Max: 8 * time.Second, Jitter: 1}
	is.True(2*countAttempts(exponential) <= countAttempts(constant))
}
