package follow

import (
	"context"
	"sync"
	"time"

	"laburnumvane/core/mirror"
)

// storeCall is a call to the store that runs in the background, so that this VM can ask other VMs
// meanwhile. Only Run's goroutine uses its methods.
type storeCall struct {
	fo *Follower
	// running is set while a call is in progress; done gets its result.
	running bool
	done    chan storeResult

	mu sync.Mutex
	// interrupt ends a wait in the meantime; nil if there is none.
	interrupt context.CancelFunc
}

// storeResult is the result of a call to the store, which ended at the given time.
type storeResult struct {
	update mirror.Update
	err    error
	at     time.Duration
}

func newStoreCall(fo *Follower) *storeCall {
	return &storeCall{fo: fo, done: make(chan storeResult, 1)}
}

// start calls the store unless a call is in progress.
func (ca *storeCall) start(ctx context.Context) {
	if ca.running {
		return
	}
	ca.running = true
	wait := max(0, ca.fo.storeCalledAt+storeInterval-ca.fo.cfg.Clock())
	ca.fo.noteStoreCall(wait)
	ca.fo.calls.Go(func() {
		sleep(ctx, wait)
		up, err := ca.fo.callStore(ctx)
		ca.mu.Lock()
		defer ca.mu.Unlock()
		ca.done <- storeResult{update: up, err: err, at: ca.fo.cfg.Clock()}
		if ca.interrupt != nil {
			ca.interrupt()
		}
	})
}

// waitContext returns a context that ends when the store has answered. The caller must call
// stop.
func (ca *storeCall) waitContext(ctx context.Context) (waiting context.Context, stop func()) {
	waiting, cancel := context.WithCancel(ctx)
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if len(ca.done) > 0 {
		cancel()
	}
	ca.interrupt = cancel
	return waiting, func() {
		ca.mu.Lock()
		defer ca.mu.Unlock()
		ca.interrupt = nil
		cancel()
	}
}

// finished returns the result of a call that has ended, if one has.
func (ca *storeCall) finished() (storeResult, bool) {
	select {
	case re := <-ca.done:
		ca.running = false
		return re, true
	default:
		return storeResult{}, false
	}
}

// awaitFresh waits until the call has ended or the copy is stale. Other VMs may have newer data
// only in the second case.
func (ca *storeCall) awaitFresh(ctx context.Context) {
	waiting, stop := ca.waitContext(ctx)
	defer stop()
	sleep(waiting, mirror.StaleAfter-ca.fo.Age())
}
