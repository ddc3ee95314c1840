// Package remote has other VMs run requests or send sub-requests in place of this one, over the
// inner.Home service.
//
// # Usage
//
//	cl := remote.New(remote.Config{Clock: clock, DataCentre: "east"})
//	rp, addr, err := cl.Carry(ctx, vms, usual, own, rq)
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
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/place"
	"laburnumvane/core/probe"
	"laburnumvane/core/steer"
	"laburnumvane/core/toggle"
	"laburnumvane/io/inner"
	"laburnumvane/io/stubs"
)

const (
	// maxTries limits the VMs that are asked for one request; each costs a round trip, and a
	// target is some tens of milliseconds.
	maxTries = 3
	// maxSearchTime is the time after which no further VM is asked for a request: VMs that are all
	// overloaded would otherwise each be waited for, and this VM has to run the request in the rest
	// of its time. One VM that does not say that it is ready takes less.
	maxSearchTime = 150 * time.Millisecond
	// idleConnsPerVM is how many idle connections are kept to each VM.
	idleConnsPerVM = 8
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindNone: no VM could be asked, or all declined; the request did not run.
	KindNone Kind = "none"
	// KindSelf: this VM is expected to answer sooner than any other; nothing was sent.
	KindSelf Kind = "self"
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

// IsSooner reports whether a request was not forwarded because this VM should answer it sooner.
func IsSooner(err error) bool {
	var re *Error
	return errors.As(err, &re) && re.Kind == KindSelf
}

// MayHaveRun reports whether a request that ended with an error may have run.
func MayHaveRun(err error) bool {
	var re *Error
	return errors.As(err, &re) && re.Kind == KindLost
}

// ReasonOtherRoute is the reason with which a VM declines a request if the request's route
// differs in the version of the configuration that it has. It does not mean that the VM is
// busy.
const ReasonOtherRoute = "otherRoute"

// ReasonLeaving is the reason with which a VM declines a request while it stops.
const ReasonLeaving = "leaving"

var (
	errNoVM   = errors.New("no VM accepted the request")
	errSilent = errors.New("the VM stopped responding")
	errSooner = errors.New("this VM is expected to answer sooner")
)

// Config configures a client. Clock and DataCentre are required.
type Config struct {
	Clock      func() time.Duration
	DataCentre string
	// Count counts probes of VMs, and VMs whose requests were given up.
	Count func(event string)
	// OnSilent is called when a VM was found silent, and when it answers again.
	OnSilent func(addr string, silent bool)
	// Off lists the mechanisms that are switched off.
	Off toggle.Set
}

// Client calls other VMs, and chooses among them by their latency.
type Client struct {
	cfg   Config
	table *steer.Table
	peers *probe.Table
	place *place.Table
	stubs *stubs.Pool[inner.Home]
	// watcher runs the probes that peers asks for.
	watcher *watcher
	// transport returns what sends requests in place of the given transport; tests change it.
	transport func(http.RoundTripper) http.RoundTripper
}

// New creates a client without connections.
func New(cfg Config) *Client {
	cl := &Client{
		cfg:     cfg,
		table:   steer.New(steer.Config{DataCentre: cfg.DataCentre}),
		peers:   probe.New(probe.Config{Limits: probe.DefaultLimits()}),
		place:   place.New(place.Config{}),
		watcher: newWatcher(),

		transport: func(rt http.RoundTripper) http.RoundTripper { return rt },
	}
	cl.stubs = stubs.New(stubs.Config[inner.Home]{
		NewClient: func(base string, hc *http.Client) inner.Home {
			hc.Transport = &stamper{next: cl.transport(hc.Transport), clock: cfg.Clock}
			return inner.NewHomeProtobufClient(base, hc)
		},
		Dial:            cl.dial,
		ContinueTimeout: continueTimeout,
		MaxIdle:         idleConnsPerVM,
	})
	return cl
}

// Carry forwards a request to one of the VMs and returns its reply and address. usual is the
// usual latency of such a request, and own the time that it is expected to take on this VM; 0 if
// this VM should not run it unless no other does. The times in the request are as of the call; the
// time that passes until it is sent is added to it.
func (cl *Client) Carry(ctx context.Context, vms []*origin.Upstream, usual, own time.Duration, rq *inner.CarryRequest) (*inner.CarryReply, string, error) {
	var tried []*origin.Upstream
	began := cl.cfg.Clock()
	ctx = withStamp(ctx, carryWaitedField, began)
	for len(tried) < maxTries && cl.cfg.Clock()-began < maxSearchTime {
		vm, sooner := cl.choose(vms, tried, usual, own)
		if sooner {
			return nil, "", &Error{Op: "carry.Carry", Kind: KindSelf, Err: errSooner}
		}
		if vm == nil {
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
	defer cl.watcher.await(vm.Addr, &cancel)()
	se := &sending{cl: cl, addr: vm.Addr, cancel: cancel}
	// Between data centres this is done only during a disturbance: it costs traffic.
	se.asks = (vm.DataCentre == cl.cfg.DataCentre || cl.peers.AnySilent()) && !cl.peers.Fresh(began, vm.Addr)
	if se.asks {
		// On an existing connection the request would be lost if the VM has been cut off.
		cl.stubs.CloseIdle(vm.Addr)
	}
	rp, err := cl.stubs.Client(vm.Addr).Carry(se.trace(bounded), rq)
	sent := se.end()
	now := cl.cfg.Clock()
	switch {
	case err == nil && rp.GetDeclined():
		cl.peers.Answer(now, vm.Addr, now-began)
		cl.recordDeclined(now, vm.Process(), rp.GetReason())
	case err == nil:
		cl.peers.Answer(now, vm.Addr, now-began)
		cl.table.End(now, vm.Process(), steer.Result{Verdict: fanout.Served, Latency: now - began, UsualLatency: usual})
		if rp.GetLoad() > 0 {
			cl.place.Report(now, vm.Addr, place.Load{Wait: time.Duration(rp.GetWaitUs()) * time.Microsecond})
		}
	case ctx.Err() != nil:
		// The client disconnected.
		cl.table.Withdraw(now, vm.Process(), now-began)
		if sent {
			cl.peers.Drop(vm.Addr)
		}
	default:
		cl.table.Withdraw(now, vm.Process(), 0)
		if sent {
			cl.peers.Doubt(now, vm.Addr)
			cl.watch()
		}
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
	cl.place.Decline(now, pr.Addr, reason == ReasonLeaving)
}

// Close closes idle connections and ends the background probes.
func (cl *Client) Close() {
	cl.watcher.close()
	cl.stubs.Close()
}
