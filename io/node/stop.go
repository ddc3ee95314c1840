package node

import (
	"context"
	"fmt"
	"time"

	"laburnumvane/core/drain"
)

const (
	// stopPoll is how often a stop looks at what is still in flight.
	stopPoll = 10 * time.Millisecond
	// abortPatience bounds what is left to do once requests were cut off.
	abortPatience = time.Second
)

// Error is a failure of a VM as a whole.
type Error struct {
	Op   string
	Kind Kind
	Msg  string
}

// Kind says what went wrong.
type Kind string

// Kinds of errors.
const (
	// KindCut: the grace ended while requests were in flight.
	KindCut Kind = "cutOff"
)

// Error gives operation, kind and message on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Op, e.Kind, e.Msg)
}

// Stop is the planned stop; core/drain tells its course. It ends with ctx at the
// latest. The error tells how many searches were cut off, if any. Calls after
// the first wait for the same end.
func (nd *Node) Stop(ctx context.Context) error {
	nd.stopOnce.Do(func() { nd.stopErr = nd.stopNow(ctx) })
	return nd.stopErr
}

// stopRun performs one planned stop.
type stopRun struct {
	nd     *Node
	ma     *drain.Machine
	closed chan struct{}
	abort  context.CancelFunc
	closes context.Context
	exit   *drain.Action
}

func (nd *Node) stopNow(ctx context.Context) error {
	sr := &stopRun{
		nd:     nd,
		ma:     drain.New(drain.Config{BalancerLag: nd.set.BalancerLag, Grace: nd.set.StopGrace}),
		closed: make(chan struct{}),
	}
	sr.closes, sr.abort = context.WithCancel(context.Background())
	defer sr.abort()
	sr.begin()
	tk := time.NewTicker(stopPoll)
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
	nd.lines.Close()
	if sr.exit.Code != 0 {
		return &Error{Op: "node.Stop", Kind: KindCut, Msg: fmt.Sprintf("the grace ended with %d searches in flight; they were cut off", sr.exit.Cut)}
	}
	return nil
}

// begin takes a VM that nobody ever connected to for one that still boots: the
// balancer has not seen it healthy, so there is no lag to wait for.
func (sr *stopRun) begin() {
	sr.step(sr.load())
	if sr.nd.front.Accepted() {
		sr.step(drain.Booted{})
		sr.step(drain.Signal{})
		return
	}
	sr.step(drain.Signal{})
	sr.step(drain.Booted{})
}

func (sr *stopRun) load() drain.Load {
	return drain.Load{InFlight: sr.nd.driver.InFlight(), TicketsUntil: sr.nd.desk.ticketsUntil()}
}

func (sr *stopRun) step(ev drain.Event) {
	for _, ac := range sr.ma.Step(time.Since(sr.nd.started), ev) {
		sr.do(ac)
	}
}

func (sr *stopRun) do(ac drain.Action) {
	nd := sr.nd
	switch ac.Kind {
	case drain.ActFailHealth:
		nd.desk.ends.Store(int64(time.Since(nd.started) + nd.set.StopGrace))
		nd.leaving.Store(true)
		nd.log.Info().Msg("leaving: health fails, listeners go on")
	case drain.ActAnnounce:
		// The others rank without this VM from now on, so its watches and
		// relays pass to those that rank next while it still has its own:
		// ActHandOver needs nothing more.
		nd.leave()
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

func (sr *stopRun) closeCallers() {
	defer close(sr.closed)
	err := both(
		func() error { return sr.nd.front.Shutdown(sr.closes) },
		func() error { return sr.nd.oper.Shutdown(sr.closes) },
	)
	if err != nil {
		sr.nd.log.Error().Err(err).Msg("listeners closed with an error")
	}
}

func (sr *stopRun) closeInner() {
	nd := sr.nd
	nd.quit()
	ctx, cancel := context.WithTimeout(context.Background(), abortPatience)
	defer cancel()
	if err := nd.inner.Shutdown(ctx); err != nil {
		nd.log.Warn().Err(err).Msg("peers' requests cut off")
		// They were given their time; what is left would outlive the VM.
		_ = nd.inner.Close()
	}
}

// release ends what runs beside the listeners.
func (nd *Node) release() {
	nd.stop()
	nd.running.Wait()
	nd.workers.Release()
	nd.kv.Close()
	nd.vms.Close()
	nd.peers.Close()
	for _, sv := range *nd.servers.Load() {
		sv.Close()
	}
}

// Kill ends the VM without any of the steps of a planned stop, as when its
// process is killed: all connections break, nobody is told.
func (nd *Node) Kill() {
	nd.stopOnce.Do(func() {
		nd.front.Abort()
		nd.oper.Abort()
		nd.inner.Abort()
		nd.release()
		nd.lines.Close()
		nd.lines.Close()
	})
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
