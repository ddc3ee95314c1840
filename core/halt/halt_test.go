package halt_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/halt"
)

const (
	ms    = time.Millisecond
	grace = 6 * time.Second
	// oldAnswerAt and oldExitAt are when a VM of any size answered the remaining requests, and
	// began to exit, before this package.
	oldAnswerAt = grace - 400*ms
	oldExitAt   = grace - 250*ms
)

// exitAfter replays the end of a stop on a VM: n requests wait for silent servers, are answered at
// answerAt one after the other, and then the process exits, all with a share of the processor. The
// kernel stops the VM once for lack of it. It returns when the process has ended.
func exitAfter(cores float64, n int, answerAt time.Duration) time.Duration {
	const answer, exit, throttled = 3 * ms, 25 * ms, 87 * ms
	work := time.Duration(n)*answer + exit
	return answerAt + throttled + time.Duration(float64(work)/cores)
}

// Servers are silent while all VMs restart, and many requests wait when the grace ends. A VM with
// 0.13 of a core answered them 150 ms before the time that was left for the exit, and was killed.
func TestProcessEndsWithinGrace(t *testing.T) {
	oldLate := 0
	for _, cores := range []float64{0.13, 0.19, 0.4, 0.8, 1, 4} {
		for _, n := range []int{0, 5, 10, 20, 30} {
			t.Run(fmt.Sprintf("%v cores, %d requests", cores, n), func(t *testing.T) {
				is := is.New(t)
				pl := halt.New(halt.Config{Grace: grace, Cores: cores})
				is.True(exitAfter(min(cores, 1), n, pl.AnswerAt(n)) <= grace)
				is.True(pl.AnswerAt(n) >= grace-grace/6)
				if exitAfter(min(cores, 1), n, oldAnswerAt) > grace {
					oldLate++
				}
			})
		}
	}
	is.New(t).True(oldLate > 3)
}

// A large VM must not answer requests earlier than before.
func TestLargeVMsWaitAsBefore(t *testing.T) {
	is := is.New(t)
	pl := halt.New(halt.Config{Grace: grace, Cores: 0.8})
	is.Equal(pl.ExitAt(), oldExitAt)
	is.Equal(pl.AnswerAt(10), oldAnswerAt)
	is.Equal(pl.AcceptUntil(), 4300*ms)
}

// The steps must be in order for any grace period, and never need more than the last sixth of it.
func TestOrderOfSteps(t *testing.T) {
	for _, gr := range []time.Duration{100 * ms, time.Second, 2 * time.Second, grace, time.Minute} {
		for _, cores := range []float64{0, 0.01, 0.13, 0.8, 16} {
			is := is.New(t)
			pl := halt.New(halt.Config{Grace: gr, Cores: cores})
			for _, n := range []int{0, 1, 1000} {
				is.True(pl.AnswerAt(n) >= gr-gr/6)
				is.True(pl.AcceptUntil() <= pl.AnswerAt(n) || n > 0)
				is.True(pl.AnswerAt(n) < pl.ExitAt())
			}
			is.True(pl.ExitAt() < pl.CutAt())
			is.True(pl.CutAt()+pl.FlushTime() < gr)
		}
	}
}
