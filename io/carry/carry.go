// Package carry has other VMs take gathers in place of this one.
//
// # Usage
//
//	cl := carry.New(carry.Config{Clock: clock, DataCentre: "east"})
//	rp, err := cl.Carry(ctx, homes, usual, rq)
//	if err != nil && !carry.MayHaveRun(err) {
//		// take it here
//	}
//
// A VM that declines, or to which nothing was sent, did nothing, and the next
// one is asked. One that was asked and then says nothing may have run the
// request: it is not sent to another, or its shards could run it on more servers
// than the route allows.
package carry

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
	// mostTries bounds the VMs that are asked for one request; each costs a
	// round trip, and a target is some tens of milliseconds.
	mostTries = 3
	// dialTime bounds the opening of a connection within a region.
	dialTime = 200 * time.Millisecond
	// idlePerHome is how many connections are kept to each.
	idlePerHome = 8
	// doubtAfter is how long a VM may say nothing at all, to any request of this
	// one, before it is asked whether it lives; probeTime is how long it may
	// take to say so, and doubtAgain the wait until it is asked again. A VM that
	// is cut off from servers is slow with every request, and is not dead.
	doubtAfter = 800 * time.Millisecond
	probeTime  = 300 * time.Millisecond
	doubtAgain = 500 * time.Millisecond
)

// Kind says what went wrong.
type Kind string

// Kinds of errors.
const (
	// KindNone: no VM could be asked, or all declined; nothing ran.
	KindNone Kind = "none"
	// KindLost: a VM was asked and gave no answer; it may have run.
	KindLost Kind = "lost"
)

// Error is a request that no other VM took to its end.
type Error struct {
	Op   string
	Kind Kind
	// Addr is the VM that was lost.
	Addr string
	Err  error
}

// Error gives operation, kind and VM on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s: %v", e.Op, e.Kind, e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// MayHaveRun tells whether a request that ended with an error may have run.
func MayHaveRun(err error) bool {
	var ce *Error
	return errors.As(err, &ce) && ce.Kind == KindLost
}

// ReasonOtherRoute is why a VM declines a request whose route is not the same in
// the version of the configuration that it knows. It has room all the same.
const ReasonOtherRoute = "otherRoute"

var (
	errNobody = errors.New("no VM takes it")
	errSilent = errors.New("it says nothing any more")
)

// Config sets a client.
type Config struct {
	Clock      func() time.Duration
	DataCentre string
}

// Client asks other VMs.
type Client struct {
	cfg   Config
	table *steer.Table
	to    *stubs.Pool[inner.Home]
}

// New makes a client without connections.
func New(cfg Config) *Client {
	return &Client{
		cfg:   cfg,
		table: steer.New(steer.Config{DataCentre: cfg.DataCentre}),
		to: stubs.New(stubs.Config[inner.Home]{
			Make:     func(base string, hc *http.Client) inner.Home { return inner.NewHomeProtobufClient(base, hc) },
			DialTime: dialTime,
			Idle:     idlePerHome,
		}),
	}
}

// Carry has one of the VMs take a request. Usual is what such a request takes.
func (cl *Client) Carry(ctx context.Context, homes []*origin.Upstream, usual time.Duration, rq *inner.CarryRequest) (*inner.CarryReply, string, error) {
	var tried []*origin.Upstream
	for range mostTries {
		ho, ok := cl.table.Pick(cl.cfg.Clock(), steer.Kind{Usual: usual}, homes, tried, rand.Float64)
		if !ok {
			break
		}
		tried = append(tried, ho)
		rp, sent, err := cl.ask(ctx, ho, usual, rq)
		switch {
		case err == nil && !rp.GetDeclined():
			return rp, ho.Addr, nil
		case err != nil && sent:
			return nil, ho.Addr, &Error{Op: "carry.Carry", Kind: KindLost, Addr: ho.Addr, Err: err}
		}
	}
	return nil, "", &Error{Op: "carry.Carry", Kind: KindNone, Err: errNobody}
}

// ask sends a request to one VM and tells whether any of it may have left.
func (cl *Client) ask(ctx context.Context, ho *origin.Upstream, usual time.Duration, rq *inner.CarryRequest) (*inner.CarryReply, bool, error) {
	began := cl.cfg.Clock()
	cl.table.Begin(began, usual, ho.Process())
	bounded, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := cl.watch(ho, cancel)
	defer stop()
	sent := false
	traced := httptrace.WithClientTrace(bounded, &httptrace.ClientTrace{
		WroteHeaders: func() { sent = true },
	})
	rp, err := cl.to.At(ho.Addr).Carry(traced, rq)
	now := cl.cfg.Clock()
	switch {
	case err == nil && rp.GetDeclined():
		cl.declined(now, ho.Process(), rp.GetReason())
	case err == nil:
		cl.table.End(now, ho.Process(), steer.Attempt{Verdict: fanout.Served, Took: now - began, Usual: usual})
	case ctx.Err() != nil:
		// The client left.
		cl.table.Withdraw(now, ho.Process(), now-began)
	default:
		cl.table.Withdraw(now, ho.Process(), 0)
		cl.table.Reached(now, ho.Process(), false)
		cl.to.Drop(ho.Addr)
	}
	return rp, sent, err
}

// declined settles a request that a VM did not take.
func (cl *Client) declined(now time.Duration, pr origin.Process, reason string) {
	if reason == ReasonOtherRoute {
		cl.table.Withdraw(now, pr, 0)
		return
	}
	cl.table.End(now, pr, steer.Attempt{Verdict: fanout.Refused})
}

// watch ends a request whose VM has said nothing for long and does not say that it
// lives.
func (cl *Client) watch(ho *origin.Upstream, cancel context.CancelCauseFunc) (stop func()) {
	done := make(chan struct{})
	tm := time.NewTimer(doubtAfter)
	go func() {
		defer tm.Stop()
		for {
			select {
			case <-done:
				return
			case <-tm.C:
			}
			if cl.table.Quiet(cl.cfg.Clock(), ho.Process()) >= doubtAfter && !cl.Lives(ho.Addr, probeTime) {
				cancel(errSilent)
				return
			}
			tm.Reset(doubtAgain)
		}
	}()
	return func() { close(done) }
}

// Lives asks a VM for a sign of life and waits so long for it at most.
func (cl *Client) Lives(addr string, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	// A connection of its own: the one in use may be what has gone silent.
	tr := &http.Transport{DialContext: (&net.Dialer{Timeout: wait}).DialContext, DisableKeepAlives: true}
	defer tr.CloseIdleConnections()
	_, err := inner.NewHomeProtobufClient("http://"+addr, &http.Client{Transport: tr}).Carry(ctx, &inner.CarryRequest{})
	return err == nil
}

// Close closes idle connections.
func (cl *Client) Close() { cl.to.Close() }
