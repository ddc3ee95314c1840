// Package remote has other VMs run requests or send sub-requests in place of this one, over the
// inner.Home service.
//
// # Usage
//
//	cl := remote.New(remote.Config{Clock: clock, DataCentre: "east"})
//	rp, addr, err := cl.Carry(ctx, vms, usual, rq)
//	if err != nil && !remote.MayHaveRun(err) {
//		// run it on this VM
//	}
//
// If a VM declines a request, or nothing was sent to it, the request did not run there and the
// next VM is asked. If a VM received the request and does not respond, it may have run it. The
// request is then not sent to another VM, because its shards could run it on more servers than
// the route allows.
package remote

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/steer"
	"laburnumvane/io/inner"
	"laburnumvane/io/stubs"
)

const (
	// maxTries limits the VMs that are asked for one request; each costs a round trip, and a
	// target is some tens of milliseconds.
	maxTries = 3
	// dialTimeout limits the opening of a connection within a region.
	dialTimeout = 200 * time.Millisecond
	// idleConnsPerVM is how many idle connections are kept to each VM.
	idleConnsPerVM = 8
	// silentAfter is how long a VM may send no response to any request of this VM before it is
	// probed. probeTimeout limits the probe, and probeInterval is the wait until the next one.
	// A VM that is cut off from servers is slow with every request, but not dead.
	silentAfter   = 800 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
	probeInterval = 500 * time.Millisecond
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindNone: no VM could be asked, or all declined; the request did not run.
	KindNone Kind = "none"
	// KindLost: a VM received the request and did not respond; it may have run.
	KindLost Kind = "lost"
)

// Error is a request for which no other VM returned a result.
type Error struct {
	Op   string
	Kind Kind
	// Addr is the address of the VM concerned; it may be empty with KindNone.
	Addr string
	Err  error
}

// Error returns operation, kind, VM and cause on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s: %v", e.Op, e.Kind, e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// MayHaveRun reports whether a request that ended with an error may have run.
func MayHaveRun(err error) bool {
	var re *Error
	return errors.As(err, &re) && re.Kind == KindLost
}

// ReasonOtherRoute is the reason with which a VM declines a request if the request's route
// differs in the version of the configuration that it has. It does not mean that the VM is
// busy.
const ReasonOtherRoute = "otherRoute"

var (
	errNoVM   = errors.New("no VM accepted the request")
	errSilent = errors.New("the VM stopped responding")
)

// Config configures a client. All fields are required.
type Config struct {
	Clock      func() time.Duration
	DataCentre string
}

// Client calls other VMs, and chooses among them by their latency.
type Client struct {
	cfg   Config
	table *steer.Table
	stubs *stubs.Pool[inner.Home]
}

// New creates a client without connections.
func New(cfg Config) *Client {
	return &Client{
		cfg:   cfg,
		table: steer.New(steer.Config{DataCentre: cfg.DataCentre}),
		stubs: stubs.New(stubs.Config[inner.Home]{
			NewClient:   func(base string, hc *http.Client) inner.Home { return inner.NewHomeProtobufClient(base, hc) },
			DialTimeout: dialTimeout,
			MaxIdle:     idleConnsPerVM,
		}),
	}
}

// Carry forwards a request to one of the VMs and returns its reply and address. usual is the
// usual latency of such a request.
func (cl *Client) Carry(ctx context.Context, vms []*origin.Upstream, usual time.Duration, rq *inner.CarryRequest) (*inner.CarryReply, string, error) {
	var tried []*origin.Upstream
	for range maxTries {
		vm, ok := cl.table.Pick(cl.cfg.Clock(), steer.RequestKind{UsualLatency: usual}, vms, tried, rand.Float64)
		if !ok {
			break
		}
		tried = append(tried, vm)
		rp, sent, err := cl.call(ctx, vm, usual, rq)
		switch {
		case err == nil && !rp.GetDeclined():
			return rp, vm.Addr, nil
		case err != nil && sent:
			return nil, vm.Addr, &Error{Op: "carry.Carry", Kind: KindLost, Addr: vm.Addr, Err: err}
		}
	}
	return nil, "", &Error{Op: "carry.Carry", Kind: KindNone, Err: errNoVM}
}

// call sends a request to one VM and reports whether any of it may have been sent.
func (cl *Client) call(ctx context.Context, vm *origin.Upstream, usual time.Duration, rq *inner.CarryRequest) (*inner.CarryReply, bool, error) {
	began := cl.cfg.Clock()
	cl.table.Begin(began, usual, vm.Process())
	bounded, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := cl.cancelIfSilent(vm, cancel)
	defer stop()
	sent := false
	traced := httptrace.WithClientTrace(bounded, &httptrace.ClientTrace{
		WroteHeaders: func() { sent = true },
	})
	rp, err := cl.stubs.Client(vm.Addr).Carry(traced, rq)
	now := cl.cfg.Clock()
	switch {
	case err == nil && rp.GetDeclined():
		cl.recordDeclined(now, vm.Process(), rp.GetReason())
	case err == nil:
		cl.table.End(now, vm.Process(), steer.Result{Verdict: fanout.Served, Latency: now - began, UsualLatency: usual})
	case ctx.Err() != nil:
		// The client disconnected.
		cl.table.Withdraw(now, vm.Process(), now-began)
	default:
		cl.table.Withdraw(now, vm.Process(), 0)
		cl.table.RecordConnect(now, vm.Process(), false)
		cl.stubs.Remove(vm.Addr)
	}
	return rp, sent, err
}

// recordDeclined ends the statistics of a request that a VM declined.
func (cl *Client) recordDeclined(now time.Duration, pr origin.Process, reason string) {
	if reason == ReasonOtherRoute {
		cl.table.Withdraw(now, pr, 0)
		return
	}
	cl.table.End(now, pr, steer.Result{Verdict: fanout.Refused})
}

// cancelIfSilent cancels a request if its VM has sent no response for silentAfter and then does
// not respond to a probe.
func (cl *Client) cancelIfSilent(vm *origin.Upstream, cancel context.CancelCauseFunc) (stop func()) {
	done := make(chan struct{})
	tm := time.NewTimer(silentAfter)
	go func() {
		defer tm.Stop()
		for {
			select {
			case <-done:
				return
			case <-tm.C:
			}
			if cl.table.SilentFor(cl.cfg.Clock(), vm.Process()) >= silentAfter && !cl.Alive(vm.Addr, probeTimeout) {
				cancel(errSilent)
				return
			}
			tm.Reset(probeInterval)
		}
	}()
	return func() { close(done) }
}

// Alive probes a VM and reports whether it responds within wait.
func (cl *Client) Alive(addr string, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	// The probe uses its own connection: the existing one may be what no longer works.
	tr := &http.Transport{DialContext: (&net.Dialer{Timeout: wait}).DialContext, DisableKeepAlives: true}
	defer tr.CloseIdleConnections()
	_, err := inner.NewHomeProtobufClient("http://"+addr, &http.Client{Transport: tr}).Carry(ctx, &inner.CarryRequest{})
	return err == nil
}

// Close closes idle connections.
func (cl *Client) Close() { cl.stubs.Close() }
