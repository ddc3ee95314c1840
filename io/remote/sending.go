package remote

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"laburnumvane/core/probe"
)

// continueTimeout exceeds every limit of this package: net/http would otherwise send the body of a
// request although the VM did not say that it is ready.
const continueTimeout = time.Hour

// errNotReady: the VM did not say in time that it is ready to receive the request.
var errNotReady = errors.New("the VM did not say that it is ready")

// States of a call.
const (
	// stateUnsent: no byte of the body may have been sent.
	stateUnsent uint32 = iota
	// stateSent: the VM may run the request; the table of peers counts it.
	stateSent
	// stateEnded: the call has returned, and net/http has closed its connection if it failed.
	stateEnded
)

// sending follows one call to the point from which the VM may have run the request.
//
// If asks is set, the body is sent only after the process of the VM has answered the headers with
// 100 Continue. A VM that was cut off or has frozen does not answer, and cannot run a request that
// it never gets. The connection is closed if the call ends before.
type sending struct {
	cl     *Client
	addr   string
	cancel context.CancelCauseFunc
	asks   bool
	// state is changed to stateSent before the body may be sent. GotFirstResponseByte runs in another
	// goroutine, and may do so after the call has ended.
	state atomic.Uint32
	began time.Duration
	timer *time.Timer
}

// trace returns the context for the call.
func (se *sending) trace(ctx context.Context) context.Context {
	if se.asks {
		// No header of the name exists yet, and the value is valid: there is no error.
		ctx, _ = twirp.WithHTTPRequestHeaders(ctx, http.Header{"Expect": {"100-continue"}})
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) {
			if se.state.CompareAndSwap(stateSent, stateUnsent) {
				// The connection closed before anything was written, and another one is used.
				se.cl.peers.Drop(se.addr)
			}
		},
		GotConn: func(httptrace.GotConnInfo) {
			began := se.cl.cfg.Clock()
			se.began = began
			if !se.asks {
				se.begin()
				return
			}
			if se.timer != nil {
				se.timer.Stop()
			}
			limit := se.cl.peers.ContinueLimit(se.addr)
			due := time.Now().Add(limit)
			se.timer = time.AfterFunc(limit, func() { se.expire(began, time.Since(due)) })
		},
		// Any answer makes net/http send the body, not only 100 Continue.
		GotFirstResponseByte: func() {
			now := se.cl.cfg.Clock()
			if se.asks && se.state.Load() == stateUnsent {
				se.cl.peers.Continue(now, se.addr, now-se.began)
			}
			se.begin()
		},
	})
}

// begin records that the body is sent.
func (se *sending) begin() {
	if se.state.CompareAndSwap(stateUnsent, stateSent) {
		se.cl.peers.Begin(se.cl.cfg.Clock(), se.addr)
		se.cl.watch()
	}
}

// end ends the call, and reports whether any of the body may have been sent.
func (se *sending) end() (sent bool) {
	if se.timer != nil {
		se.timer.Stop()
	}
	return se.state.Swap(stateEnded) == stateSent
}

// expire ends the call if the VM is not ready. If this VM was stopped meanwhile, and its timer was
// late, the answer may still have to be read.
func (se *sending) expire(began, late time.Duration) {
	if se.state.Load() != stateUnsent {
		return
	}
	time.Sleep(grace(late))
	if se.state.Load() != stateUnsent {
		return
	}
	now := se.cl.cfg.Clock()
	se.cl.peers.Connect(now, se.addr, probe.Frozen, now-began)
	se.cl.watch()
	se.cancel(errNotReady)
}
