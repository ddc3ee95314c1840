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
	"laburnumvane/core/probe"
	"laburnumvane/internal/count"
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
	reason   string
	// wait is what the VM reports with its answers.
	wait time.Duration
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
		return &inner.CarryReply{Declined: true, Reason: vm.reason}, nil
	}
	select {
	case <-time.After(vm.delay):
	case <-ctx.Done():
	}
	return &inner.CarryReply{Status: http.StatusOK, Load: 1, WaitUs: uint64(vm.wait.Microseconds())}, nil
}

func (vm *fakeVM) Allow(context.Context, *inner.AllowRequest) (*inner.AllowReply, error) {
	return &inner.AllowReply{}, nil
}

// A token must not cost more than some hundred bytes: the control work of a VM may use 8 KB/s.
func TestAllowIsSmall(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	counted := count.New(ln)
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
	perCall := counted.Bytes() / calls
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
	rp, _, err := cl.Carry(ctx, vms, usual, 0, &inner.CarryRequest{Id: "x"})
	return rp, err
}

// connect opens a connection to a VM. On a busy machine that may take longer than a request waits
// for one, and the client then takes the VM for one that is cut off.
func connect(t *testing.T, cl *remote.Client, vm *origin.Upstream) {
	t.Helper()
	for range 100 {
		if _, err := carryTo(t, cl, vm); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the VM does not accept requests")
}

func TestDeclinedRequestGoesToNextVM(t *testing.T) {
	is := is.New(t)
	busy, free := &fakeVM{declines: true}, &fakeVM{}
	cl, freeVM := newClient(t), serve(t, free)
	connect(t, cl, freeVM)
	before := free.requests.Load()
	rp, err := carryTo(t, cl, serve(t, busy), freeVM)
	is.NoErr(err)
	is.Equal(rp.GetStatus(), uint32(http.StatusOK))
	is.Equal(free.requests.Load(), before+1)
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

// A VM is frozen: its kernel accepts connections, its process reads nothing. The request was not
// sent and must go to another VM within the time of one request. The VM is used again once its
// process continues, without a request that tries it.
func TestFrozenVMGetsNoRequest(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	thawed, other := &fakeVM{}, &fakeVM{}
	frozen := &origin.Upstream{ID: ln.Addr().String(), Addr: ln.Addr().String(), DataCentre: "east"}
	second := serve(t, other)
	second.DataCentre = "west"
	changes := make(chan bool, 8)
	began := time.Now()
	cl := remote.New(remote.Config{
		Clock: func() time.Duration { return time.Since(began) }, DataCentre: "east",
		OnSilent: func(_ string, silent bool) { changes <- silent },
	})
	t.Cleanup(cl.Close)
	for range 3 {
		rp, err := carryTo(t, cl, frozen, second)
		is.NoErr(err)
		is.Equal(rp.GetStatus(), uint32(http.StatusOK))
	}
	is.Equal(other.requests.Load(), int64(3))
	is.True(<-changes)
	srv := &http.Server{Handler: inner.NewHomeServer(thawed), ReadHeaderTimeout: testTimeout}
	go func() {
		// Serve returns when the test closes the server.
		_ = srv.Serve(ln)
	}()
	t.Cleanup(func() { _ = srv.Close() })
	is.True(!<-changes)
	_, err = carryTo(t, cl, frozen, second)
	is.NoErr(err)
	is.Equal(thawed.requests.Load(), int64(1))
	is.Equal(other.requests.Load(), int64(3))
}

// A stopped process, a frozen one and a sound one must be told apart: a frozen one may continue,
// and says nothing about the other VMs of its data centre.
func TestProbeOutcomes(t *testing.T) {
	is := is.New(t)
	cl := newClient(t)
	is.Equal(cl.Probe("127.0.0.1:1", time.Second, time.Second), probe.Refused)
	is.Equal(cl.Probe(serve(t, &fakeVM{silent: true}).Addr, time.Second, 50*time.Millisecond), probe.Frozen)
	is.Equal(cl.Probe(serve(t, &fakeVM{}).Addr, testTimeout, testTimeout), probe.Alive)
}

// A large VM reports that requests wait there. The others must get the next ones; if all are busy
// and this VM is expected to be sooner, nothing is sent.
func TestReportedWaitMovesRequests(t *testing.T) {
	is := is.New(t)
	const wait = 5 * time.Second
	busy, free := &fakeVM{wait: wait}, &fakeVM{}
	cl := newClient(t)
	first, second := serve(t, busy), serve(t, free)
	_, err := carryTo(t, cl, first)
	is.NoErr(err)
	for range 5 {
		_, err := carryTo(t, cl, first, second)
		is.NoErr(err)
	}
	is.Equal(busy.requests.Load(), int64(1))
	is.Equal(free.requests.Load(), int64(5))
	_, _, err = cl.Carry(t.Context(), []*origin.Upstream{first}, usual, time.Second, &inner.CarryRequest{Id: "x"})
	is.True(remote.IsSooner(err))
	is.True(!remote.MayHaveRun(err))
}

// A VM stops and declines. It must get no further requests of a VM that it told.
func TestLeavingVMIsLeftAtOnce(t *testing.T) {
	is := is.New(t)
	leaving, other := &fakeVM{declines: true, reason: remote.ReasonLeaving}, &fakeVM{}
	cl := newClient(t)
	first, second := serve(t, leaving), serve(t, other)
	second.DataCentre = "west"
	for range 5 {
		_, err := carryTo(t, cl, first, second)
		is.NoErr(err)
	}
	is.Equal(leaving.requests.Load(), int64(1))
	is.Equal(other.requests.Load(), int64(5))
}
