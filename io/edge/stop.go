package edge

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/core/halt"
)

const (
	// stopPollInterval is how often Stop checks for remaining requests, and answerPollInterval
	// the same after they were ended early.
	stopPollInterval   = 50 * time.Millisecond
	answerPollInterval = 5 * time.Millisecond
	// removeEntryTime limits the removal of this VM's entry after the last answer: a store that is
	// away must not delay the exit.
	removeEntryTime = 300 * time.Millisecond
	// abortTime limits the steps of Abort.
	abortTime = 50 * time.Millisecond
)

var errCut = errors.New("requests were still under way when the grace ended")

// stopPlan returns the times of a planned stop.
func (set *Settings) stopPlan() halt.Plan {
	return halt.New(halt.Config{Grace: set.StopGrace, Cores: set.Capacity})
}

// FlushTime returns how long the last log lines of a stopped VM may take to be written.
func (set *Settings) FlushTime() time.Duration { return set.stopPlan().FlushTime() }

// Stop stops the VM without cutting off requests. The readiness check fails first, and each
// response closes its connection. New requests are served as long as the balancer may send any.
// Idle connections are closed late, because a client may be sending on one.
//
// The entry is removed while the last requests are served, since the store may be slow. No step
// after the last answer outlasts the grace, whatever it waits for.
func (eg *Edge) Stop() error {
	began := time.Now()
	passed := func() time.Duration { return time.Since(began) }
	pl := eg.set.stopPlan()
	eg.leaving.Store(true)
	eg.entry.Leave()
	eg.follow.AnnounceExit()
	eg.cfg.Log.Info().Int("inFlight", eg.entry.InFlight()).Msg("stop begins")
	time.Sleep(pl.AcceptUntil())
	removeCtx, cancel := context.WithTimeout(context.Background(), pl.ExitAt()-passed())
	defer cancel()
	removed := startStep(func() { eg.registration.remove(removeCtx) })
	for inFlight := eg.entry.InFlight(); inFlight > 0 && passed() < pl.AnswerAt(inFlight); inFlight = eg.entry.InFlight() {
		time.Sleep(min(stopPollInterval, pl.AnswerAt(inFlight)-passed()))
	}
	early := eg.entry.InFlight()
	eg.entry.EndRequests()
	for eg.entry.InFlight() > 0 && passed() < pl.CutAt() {
		time.Sleep(answerPollInterval)
	}
	cut, answered := eg.entry.InFlight(), passed()
	removed.await(min(removeEntryTime, pl.ExitAt()-passed()))
	entryGone := passed()
	eg.close(pl.CutAt() - passed())
	eg.cfg.Log.Info().Int("early", early).Int("cut", cut).Int64("answeredMs", answered.Milliseconds()).
		Int64("entryMs", entryGone.Milliseconds()).Int64("ms", passed().Milliseconds()).Msg("stopped")
	if cut > 0 {
		return &Error{Op: "edge.Stop", Kind: KindCut, Err: errCut}
	}
	return nil
}

// Abort stops the VM at once, as if it crashed.
func (eg *Edge) Abort() {
	eg.leaving.Store(true)
	eg.entry.Abort()
	ctx, cancel := context.WithTimeout(context.Background(), abortTime)
	defer cancel()
	eg.registration.remove(ctx)
	eg.close(abortTime)
	eg.tasks.Wait()
}

// step is a part of the stop that runs in the background.
type step chan struct{}

func startStep(run func()) step {
	st := make(step)
	go func() {
		defer close(st)
		run()
	}()
	return st
}

// await waits until the step has ended, at most for the given time.
func (st step) await(wait time.Duration) {
	tm := time.NewTimer(max(0, wait))
	defer tm.Stop()
	select {
	case <-st:
	case <-tm.C:
	}
}

// close stops listeners and goroutines. It returns after the given time even if one of them has
// not stopped: the process ends then.
func (eg *Edge) close(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	startStep(func() {
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
	}).await(timeout)
}
