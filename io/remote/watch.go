package remote

import (
	"context"
	"sync"
	"time"

	"laburnumvane/core/probe"
)

// maxProbes limits the probes that are under way at once.
const maxProbes = 64

// watcher calls the table of peers when it is due, with one timer and no goroutine of its own.
type watcher struct {
	mu     sync.Mutex
	timer  *time.Timer
	closed bool
	// waiting holds, by address, what ends the requests that wait for an answer.
	waiting map[string]map[*context.CancelCauseFunc]struct{}
	probes  chan struct{}
}

func newWatcher() *watcher {
	return &watcher{
		waiting: make(map[string]map[*context.CancelCauseFunc]struct{}),
		probes:  make(chan struct{}, maxProbes),
	}
}

// watch sets the timer to the next time at which something may have to be done.
func (cl *Client) watch() {
	wa := cl.watcher
	wa.mu.Lock()
	defer wa.mu.Unlock()
	at, ok := cl.peers.Next()
	if !ok || wa.closed {
		return
	}
	wait := max(0, at-cl.cfg.Clock())
	if wa.timer == nil {
		wa.timer = time.AfterFunc(wait, cl.tick)
		return
	}
	wa.timer.Reset(wait)
}

// tick runs the probes that are due, and ends requests that are given up.
func (cl *Client) tick() {
	for _, ac := range cl.peers.Tick(cl.cfg.Clock()) {
		if ac.Kind == probe.GiveUp {
			cl.count("vmGivenUp")
			cl.watcher.giveUp(ac.VM.Addr)
			continue
		}
		go cl.runProbe(ac)
	}
	cl.watch()
}

func (cl *Client) runProbe(ac probe.Action) {
	cl.watcher.probes <- struct{}{}
	defer func() { <-cl.watcher.probes }()
	began := cl.cfg.Clock()
	oc := cl.Probe(ac.VM.Addr, ac.Connect, ac.Reply)
	now := cl.cfg.Clock()
	cl.count("vmProbe")
	silent, changed := cl.peers.EndProbe(now, ac.VM.Addr, oc, now-began)
	if changed && cl.cfg.OnSilent != nil {
		cl.cfg.OnSilent(ac.VM.Addr, silent)
	}
	if oc != probe.Alive {
		cl.count("vmProbeFailed")
		// Connections that were open before may not work again when the VM returns.
		cl.stubs.CloseIdle(ac.VM.Addr)
	}
	cl.watch()
}

// await registers a request that waits for an answer; the returned function removes it.
func (wa *watcher) await(addr string, cancel *context.CancelCauseFunc) (remove func()) {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	if wa.waiting[addr] == nil {
		wa.waiting[addr] = make(map[*context.CancelCauseFunc]struct{})
	}
	wa.waiting[addr][cancel] = struct{}{}
	return func() {
		wa.mu.Lock()
		defer wa.mu.Unlock()
		delete(wa.waiting[addr], cancel)
		if len(wa.waiting[addr]) == 0 {
			delete(wa.waiting, addr)
		}
	}
}

// giveUp ends the requests that wait for an answer of a VM.
func (wa *watcher) giveUp(addr string) {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	for cancel := range wa.waiting[addr] {
		(*cancel)(errSilent)
	}
}

// close stops the timer.
func (wa *watcher) close() {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	wa.closed = true
	if wa.timer != nil {
		wa.timer.Stop()
	}
}

func (cl *Client) count(event string) {
	if cl.cfg.Count != nil {
		cl.cfg.Count(event)
	}
}
