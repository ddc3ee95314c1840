package node

import (
	"context"
	"fmt"
	"time"

	"laburnumvane/core/drain"
)

const (
	// stopPollInterval is the interval at which a stop checks what is still in flight.
	stopPollInterval = 10 * time.Millisecond
	// abortTimeout bounds the shutdown of the inner listener after requests were cut off.
	abortTimeout = time.Second
)

// Error is a failure of a VM as a whole.
type Error struct {
	Op   string
	Kind Kind
	Msg  string
}

// Kind is the class of an Error.
type Kind string

// Kinds of errors.
const (
	// KindCut means that the grace period ended while requests were in flight.
	KindCut Kind = "cutOff"
)

// Error returns the operation, kind and message on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Op, e.Kind, e.Msg)
}

// Stop performs a planned stop, whose steps package drain decides. When ctx ends, Stop cuts off
// what is still in flight. The error says how many searches were cut off, if any. Further calls
// wait for the same stop and return its result.
func (nd *Node) Stop(ctx context.Context) error {
	nd.stopOnce.Do(func() { nd.stopErr = nd.runStop(ctx) })
	return nd.stopErr
}

// plannedStop performs the actions of one planned stop.
type plannedStop struct {
	nd       *Node
	machine  *drain.Machine
	closed   chan struct{}
	abort    context.CancelFunc
	closeCtx context.Context
	exit     *drain.Action
}

func (nd *Node) runStop(ctx context.Context) error {
	sr := &plannedStop{
		nd:      nd,
		machine: drain.New(drain.Config{BalancerLag: nd.set.BalancerLag, Grace: nd.set.StopGrace}),
		closed:  make(chan struct{}),
	}
	sr.closeCtx, sr.abort = context.WithCancel(context.Background())
	defer sr.abort()
	sr.begin()
	tk := time.NewTicker(stopPollInterval)
	defer tk.Stop()
	closed, done := sr.closed, ctx.Done()
	for sr.exit == nil {
		select {
		case <-tk.C:
			sr.step(sr.load())
		case <-closed:
			closed = nil
			sr.step(drain.CallersClosed{})
		case <-done:
			done = nil
			sr.step(drain.Expire{})
		}
	}
	nd.release()
	nd.log.Info().Int("cutOff", sr.exit.Cut).Int("code", sr.exit.Code).Msg("stopped")
	nd.logQueue.Close()
	if sr.exit.Code != 0 {
		return &Error{Op: "node.Stop", Kind: KindCut, Msg: fmt.Sprintf("the grace ended with %d searches in flight; they were cut off", sr.exit.Cut)}
	}
	return nil
}

// begin starts the stop. A VM that never accepted a connection counts as still booting: the
// balancer has not seen it healthy, so the stop need not wait for the balancer's lag.
func (sr *plannedStop) begin() {
	sr.step(sr.load())
	if sr.nd.front.Accepted() {
		sr.step(drain.Booted{})
		sr.step(drain.Signal{})
		return
	}
	sr.step(drain.Signal{})
	sr.step(drain.Booted{})
}

func (sr *plannedStop) load() drain.Load {
	return drain.Load{InFlight: sr.nd.driver.InFlight(), TicketsUntil: sr.nd.callerService.ticketsUntil()}
}

func (sr *plannedStop) step(ev drain.Event) {
	for _, ac := range sr.machine.Step(time.Since(sr.nd.started), ev) {
		sr.do(ac)
	}
}

func (sr *plannedStop) do(ac drain.Action) {
	nd := sr.nd
	switch ac.Kind {
	case drain.ActFailHealth:
		nd.callerService.graceEndsAt.Store(int64(time.Since(nd.started) + nd.set.StopGrace))
		nd.leaving.Store(true)
		nd.log.Info().Msg("leaving: health check fails, listeners stay open")
	case drain.ActAnnounce:
		// The other VMs now rank without this one. The VMs next in rank take over its
		// watches and relays while it still runs its own, so ActHandOver needs no
		// action of its own.
		nd.announceLeave()
	case drain.ActCloseCallers:
		go sr.closeCallers()
	case drain.ActAbort:
		sr.abort()
		nd.front.Abort()
		nd.oper.Abort()
	case drain.ActCloseInner:
		sr.closeInner()
	case drain.ActExit:
		sr.exit = &ac
	}
}

func (sr *plannedStop) closeCallers() {
	defer close(sr.closed)
	err := runBoth(
		func() error { return sr.nd.front.Shutdown(sr.closeCtx) },
		func() error { return sr.nd.oper.Shutdown(sr.closeCtx) },
	)
	if err != nil {
		sr.nd.log.Error().Err(err).Msg("closing the caller and operator listeners failed")
	}
}

func (sr *plannedStop) closeInner() {
	nd := sr.nd
	nd.announceQuit()
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	if err := nd.inner.Shutdown(ctx); err != nil {
		nd.log.Warn().Err(err).Msg("inner listener did not shut down in time; cutting off requests of other VMs")
		// The requests had their time. Without Close they would outlive the VM.
		_ = nd.inner.Close()
	}
}

// release stops the VM's goroutines and closes its clients and connections.
func (nd *Node) release() {
	nd.stop()
	nd.running.Wait()
	nd.workers.Release()
	nd.kv.Close()
	nd.vms.Close()
	nd.peers.Close()
	for _, sv := range *nd.pools.Load() {
		sv.Close()
	}
}

// Kill ends the VM without the steps of a planned stop, as if its process was killed: all
// connections break, and the other VMs are not informed.
func (nd *Node) Kill() {
	nd.stopOnce.Do(func() {
		nd.front.Abort()
		nd.oper.Abort()
		nd.inner.Abort()
		nd.release()
		nd.logQueue.Close()
		nd.logQueue.Close()
	})
}

// runBoth runs two functions concurrently and returns the error of first or, if that is nil, of
// second.
func runBoth(first, second func() error) error {
	done := make(chan error, 1)
	go func() { done <- second() }()
	err := first()
	if serr := <-done; err == nil {
		err = serr
	}
	return err
}

func sleep(ctx context.Context, d time.Duration) {
	tm := time.NewTimer(d)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-ctx.Done():
	}
}
