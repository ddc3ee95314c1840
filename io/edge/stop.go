package edge

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

const (
	// idleKeep is how much of the grace the listeners and kept connections stay
	// open. The balancer asks once a second and needs two misses, so new clients
	// come for 3 s; one that sends on a kept connection is answered, and closes
	// it then.
	idleKeep = 4300 * time.Millisecond
	// answerTime is how long before that the requests still under way are answered with
	// what there is: those at servers that have fallen silent would outlast the process.
	answerTime = 150 * time.Millisecond
	// lastMargin is what is left of the grace for the process to end.
	lastMargin = 250 * time.Millisecond
	// endTime bounds the taking away of this VM's entry.
	endTime = 300 * time.Millisecond
	// stopPoll is how often a stop looks whether anything is under way, answerPoll the
	// same in its last moments.
	stopPoll   = 50 * time.Millisecond
	answerPoll = 5 * time.Millisecond
)

var errCut = errors.New("requests were still under way when the grace ended")

// Stop ends the VM without cutting off a request. The check fails first and each
// answer closes its connection; new requests are served as long as the balancer
// may send any, and kept connections are closed late, for a client may be
// sending on one.
func (eg *Edge) Stop() error {
	began := time.Now()
	eg.leaving.Store(true)
	eg.entry.Leave()
	eg.follow.Leave()
	eg.cfg.Log.Info().Int("inFlight", eg.entry.InFlight()).Msg("stop begins")
	left := func() time.Duration { return eg.set.StopGrace - lastMargin - time.Since(began) }
	time.Sleep(min(idleKeep, left()-answerTime))
	for eg.entry.InFlight() > 0 && left() > answerTime {
		time.Sleep(min(stopPoll, max(0, left()-answerTime)))
	}
	eg.entry.End()
	for eg.entry.InFlight() > 0 && left() > 0 {
		time.Sleep(answerPoll)
	}
	cut := eg.entry.InFlight()
	eg.close(max(stopPoll, left()))
	eg.cfg.Log.Info().Int("cut", cut).Int64("ms", time.Since(began).Milliseconds()).Msg("stopped")
	if cut > 0 {
		return &Error{Op: "edge.Stop", Kind: KindCut, Err: errCut}
	}
	return nil
}

// Abort ends the VM at once, as when it dies.
func (eg *Edge) Abort() {
	eg.leaving.Store(true)
	eg.entry.Abort()
	eg.close(stopPoll)
	eg.tasks.Wait()
}

// close ends listeners and goroutines.
func (eg *Edge) close(left time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	ended, done := context.WithTimeout(ctx, endTime)
	defer done()
	eg.listing.end(ended)
	// What a listener says at its end changes nothing any more.
	_ = eg.entry.Shutdown(ctx)
	eg.cancel()
	_ = eg.inner.Close()
	eg.homes.Close()
	_ = eg.checks.Close()
	if eg.metrics != nil {
		_ = eg.metrics.Close()
	}
	eg.pool.Close()
	eg.workers.release()
}
