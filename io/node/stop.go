package node

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Stop is the planned stop. The health check fails first; the listeners go on
// for as long as the balancer may still send requests; then whatever is in
// flight is finished. ctx bounds the whole.
func (nd *Node) Stop(ctx context.Context) error {
	nd.leaving.Store(true)
	nd.log.Info().Msg("leaving: health fails, listeners go on")
	pause(ctx, nd.set.BalancerLag)
	err := nd.finish(ctx)
	nd.stop()
	if cerr := nd.inner.Shutdown(ctx); err == nil {
		err = cerr
	}
	nd.running.Wait()
	nd.workers.Release()
	nd.kv.Close()
	nd.vms.Close()
	nd.peers.Close()
	for _, sv := range *nd.servers.Load() {
		sv.Close()
	}
	nd.log.Info().Int("inFlight", nd.driver.InFlight()).Msg("stopped")
	nd.lines.Close()
	return err
}

// finish closes the listeners of callers and operators and waits for searches.
func (nd *Node) finish(ctx context.Context) error {
	err := both(
		func() error { return nd.front.Shutdown(ctx) },
		func() error { return nd.oper.Shutdown(ctx) },
	)
	done := make(chan struct{})
	go func() {
		nd.driver.Wait()
		close(done)
	}()
	select {
	case <-done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "node.Stop: searches still in flight")
	}
}

// both runs two things at once and returns the first's error before the
// second's.
func both(first, second func() error) error {
	done := make(chan error, 1)
	go func() { done <- second() }()
	err := first()
	if serr := <-done; err == nil {
		err = serr
	}
	return err
}

func pause(ctx context.Context, d time.Duration) {
	tm := time.NewTimer(d)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-ctx.Done():
	}
}
