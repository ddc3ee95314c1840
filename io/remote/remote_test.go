package remote_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/twitchtv/twirp"

	"laburnumvane/core/origin"
	"laburnumvane/io/inner"
	"laburnumvane/io/remote"
)

const (
	testTimeout = 20 * time.Second
	usual       = 20 * time.Millisecond
)

// fakeVM answers as configured.
type fakeVM struct {
	delay    time.Duration
	declines bool
	// silent VMs never respond.
	silent   bool
	requests atomic.Int64
}

func (vm *fakeVM) Carry(ctx context.Context, rq *inner.CarryRequest) (*inner.CarryReply, error) {
	if vm.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if rq.GetId() == "" {
		return &inner.CarryReply{Declined: true}, nil
	}
	vm.requests.Add(1)
	if vm.declines {
		return &inner.CarryReply{Declined: true, Reason: "busy"}, nil
	}
	select {
	case <-time.After(vm.delay):
	case <-ctx.Done():
	}
	return &inner.CarryReply{Status: http.StatusOK}, nil
}

func (vm *fakeVM) Allow(context.Context, *inner.AllowRequest) (*inner.AllowReply, error) {
	return &inner.AllowReply{}, nil
}

// A token must not cost more than some hundred bytes: the control work of a VM may use 8 KB/s.
func TestAllowIsSmall(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	counted := &countingListener{Listener: ln}
	srv := &http.Server{Handler: inner.NewHomeServer(&fakeVM{}), ReadHeaderTimeout: testTimeout}
	go func() {
		// Serve returns when the test closes the server.
		_ = srv.Serve(counted)
	}()
	t.Cleanup(func() { _ = srv.Close() })
	cl := newClient(t)
	const calls = 20
	for range calls {
		_, err := cl.Allow(ln.Addr().String(), &inner.AllowRequest{Version: inner.Version, Account: "account-1234", Want: 1000, Borrow: true})
		is.NoErr(err)
	}
	perCall := counted.bytes.Load() / calls
	t.Logf("%d bytes for each call, in both directions", perCall)
	is.True(perCall < 600)
}

// VMs of older builds run in the same fleet and do not know Allow. They must not be taken for dead:
// another holder is then asked at once.
func TestOlderBuildsHoldNothing(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	srv := &http.Server{ReadHeaderTimeout: testTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = twirp.WriteError(w, twirp.NewError(twirp.BadRoute, "no handler for path"))
	})}
	go func() {
		// Serve returns when the test closes the server.
		_ = srv.Serve(ln)
	}()
	t.Cleanup(func() { _ = srv.Close() })
	rp, err := newClient(t).Allow(ln.Addr().String(), &inner.AllowRequest{Account: "a", Want: 1})
	is.NoErr(err)
	is.True(!rp.GetHolds())
	_, err = newClient(t).Allow("127.0.0.1:1", &inner.AllowRequest{Account: "a", Want: 1})
	is.True(err != nil)
}

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (cl *countingListener) Accept() (net.Conn, error) {
	co, err := cl.Listener.Accept()
	return &countingConn{Conn: co, bytes: &cl.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (cc *countingConn) Read(p []byte) (int, error) {
	n, err := cc.Conn.Read(p)
	cc.bytes.Add(int64(n))
	return n, err
}

func (cc *countingConn) Write(p []byte) (int, error) {
	n, err := cc.Conn.Write(p)
	cc.bytes.Add(int64(n))
	return n, err
}

// Join replies that all servers served.
func (vm *fakeVM) Join(ctx context.Context, rq *inner.JoinRequest) (*inner.JoinReply, error) {
	if vm.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	vm.requests.Add(1)
	rp := &inner.JoinReply{Declined: vm.declines}
	for k := range rq.GetServers() {
		rp.Parts = append(rp.Parts, &inner.JoinPart{Verdict: inner.Verdict_SERVED, Server: uint32(k)})
	}
	return rp, nil
}

func serve(t *testing.T, vm *fakeVM) *origin.Upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	srv := &http.Server{Handler: inner.NewHomeServer(vm), ReadHeaderTimeout: testTimeout}
	go func() {
		// Serve returns when the test closes the server.
		_ = srv.Serve(ln)
	}()
	t.Cleanup(func() { _ = srv.Close() })
	addr := ln.Addr().String()
	return &origin.Upstream{ID: addr, Addr: addr, DataCentre: "east"}
}

func newClient(t *testing.T) *remote.Client {
	t.Helper()
	began := time.Now()
	cl := remote.New(remote.Config{Clock: func() time.Duration { return time.Since(began) }, DataCentre: "east"})
	t.Cleanup(cl.Close)
	return cl
}

func carryTo(t *testing.T, cl *remote.Client, vms ...*origin.Upstream) (*inner.CarryReply, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	rp, _, err := cl.Carry(ctx, vms, usual, &inner.CarryRequest{Id: "x"})
	return rp, err
}

func TestDeclinedRequestGoesToNextVM(t *testing.T) {
	is := is.New(t)
	busy, free := &fakeVM{declines: true}, &fakeVM{}
	rp, err := carryTo(t, newClient(t), serve(t, busy), serve(t, free))
	is.NoErr(err)
	is.Equal(rp.GetStatus(), uint32(http.StatusOK))
	is.Equal(free.requests.Load(), int64(1))
}

// No VM is reachable. Nothing was sent, so the request may run on this VM.
func TestNothingRanIfNoVMIsReachable(t *testing.T) {
	is := is.New(t)
	unreachable := &origin.Upstream{ID: "gone", Addr: "127.0.0.1:1", DataCentre: "east"}
	_, err := carryTo(t, newClient(t), unreachable)
	is.True(err != nil)
	is.True(!remote.MayHaveRun(err))
}

// A VM is cut off from most servers, so that each of its gathers takes long. It is alive:
// giving it up would fail requests that it still answers, and send the next ones to VMs that
// are farther away.
func TestSlowVMIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	slow := &fakeVM{delay: 1500 * time.Millisecond}
	rp, err := carryTo(t, newClient(t), serve(t, slow))
	is.NoErr(err)
	is.Equal(rp.GetStatus(), uint32(http.StatusOK))
}

// A VM loses its power after it received a request. The request may have run and is not sent to
// another VM, and the client gets an error within seconds.
func TestSilentVMIsGivenUp(t *testing.T) {
	is := is.New(t)
	silent, other := &fakeVM{silent: true}, &fakeVM{}
	first := serve(t, silent)
	second := serve(t, other)
	second.DataCentre = "west"
	began := time.Now()
	_, err := carryTo(t, newClient(t), first, second)
	is.True(remote.MayHaveRun(err))
	is.Equal(other.requests.Load(), int64(0))
	is.True(time.Since(began) < 5*time.Second)
}
