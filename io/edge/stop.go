package edge

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

const (
	// acceptTime is how much of the grace the listeners and idle connections stay open. The
	// balancer checks once a second and needs two failed checks, so new clients arrive for 3 s;
	// a client that sends on an idle connection still gets a response, which closes the
	// connection.
	acceptTime = 4300 * time.Millisecond
	// earlyAnswerTime is how long before exitMargin begins the remaining requests are answered
	// with the results that exist. Those that wait for silent servers would outlast the
	// process.
	earlyAnswerTime = 150 * time.Millisecond
	// exitMargin is the part of the grace that is left for the process to exit.
	exitMargin = 250 * time.Millisecond
	// removeEntryTime limits the removal of this VM's entry.
	removeEntryTime = 300 * time.Millisecond
	// stopPollInterval is how often Stop checks for remaining requests, and answerPollInterval
	// the same after they were ended early.
	stopPollInterval   = 50 * time.Millisecond
	answerPollInterval = 5 * time.Millisecond
)

var errCut = errors.New("requests were still under way when the grace ended")

// Stop stops the VM without cutting off requests. The readiness check fails first, and each
// response closes its connection. New requests are served as long as the balancer may send any.
// Idle connections are closed late, because a client may be sending on one.
func (eg *Edge) Stop() error {
	began := time.Now()
	eg.leaving.Store(true)
	eg.entry.Leave()
	eg.follow.AnnounceExit()
	eg.cfg.Log.Info().Int("inFlight", eg.entry.InFlight()).Msg("stop begins")
	remaining := func() time.Duration { return eg.set.StopGrace - exitMargin - time.Since(began) }
	time.Sleep(min(acceptTime, remaining()-earlyAnswerTime))
	for eg.entry.InFlight() > 0 && remaining() > earlyAnswerTime {
		time.Sleep(min(stopPollInterval, max(0, remaining()-earlyAnswerTime)))
	}
	eg.entry.EndRequests()
	for eg.entry.InFlight() > 0 && remaining() > 0 {
		time.Sleep(answerPollInterval)
	}
	cut := eg.entry.InFlight()
	eg.close(max(stopPollInterval, remaining()))
	eg.cfg.Log.Info().Int("cut", cut).Int64("ms", time.Since(began).Milliseconds()).Msg("stopped")
	if cut > 0 {
		return &Error{Op: "edge.Stop", Kind: KindCut, Err: errCut}
	}
	return nil
}

// Abort stops the VM at once, as if it crashed.
func (eg *Edge) Abort() {
	eg.leaving.Store(true)
	eg.entry.Abort()
	eg.close(stopPollInterval)
	eg.tasks.Wait()
}

// close stops listeners and goroutines.
func (eg *Edge) close(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	removeCtx, stopRemove := context.WithTimeout(ctx, removeEntryTime)
	defer stopRemove()
	eg.registration.remove(removeCtx)
	// The process stops anyway; errors of the listeners change nothing.
	_ = eg.entry.Shutdown(ctx)
	eg.cancel()
	_ = eg.inner.Close()
	eg.homeClient.Close()
	_ = eg.checks.Close()
	if eg.metrics != nil {
		_ = eg.metrics.Close()
	}
	eg.pool.Close()
	eg.workers.release()
}
