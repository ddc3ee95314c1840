package peer_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"laburnumvane/core/ticket"
	"laburnumvane/io/inner"
	"laburnumvane/io/peer"
	"laburnumvane/io/wire"
)

// testTimeout ends a test that hangs; shortTimeout bounds a call that must time out.
const (
	testTimeout  = 30 * time.Second
	shortTimeout = 50 * time.Millisecond
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakePeer implements the calls that the tests make.
type fakePeer struct {
	inner.Peer
	mu     sync.Mutex
	run    *inner.RunRequest
	answer string
	void   bool
	// twoBeats is closed when two heartbeats have arrived. Heartbeats wait for it.
	beats    atomic.Int64
	twoBeats chan struct{}
}

func (fk *fakePeer) Beat(_ context.Context, rq *inner.BeatRequest) (*inner.BeatReply, error) {
	if fk.beats.Add(1) == 2 {
		close(fk.twoBeats)
	}
	<-fk.twoBeats
	return &inner.BeatReply{Version: inner.Version, Sequence: rq.GetSequence()}, nil
}

func (fk *fakePeer) Run(_ context.Context, rq *inner.RunRequest) (*inner.RunReply, error) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	fk.run = rq
	return &inner.RunReply{Version: inner.Version, Answer: []byte(fk.answer), Void: fk.void}, nil
}

func startPeer(t *testing.T) (*fakePeer, string) {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	fk := &fakePeer{twoBeats: make(chan struct{})}
	sr := peer.NewServer(peer.ServerConfig{Listener: ln, Service: fk})
	ended := make(chan error, 1)
	go func() { ended <- sr.Serve() }()
	t.Cleanup(func() {
		is.NoErr(sr.Close())
		is.NoErr(<-ended)
	})
	return fk, ln.Addr().String()
}

// silentProxy is a TCP proxy that can silence its open connections: they stay open and forward
// nothing any more. New connections work.
type silentProxy struct {
	addr     string
	mu       sync.Mutex
	silenced []*atomic.Bool
	opened   atomic.Int64
}

func startSilentProxy(t *testing.T, to string) *silentProxy {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	sp := &silentProxy{addr: ln.Addr().String()}
	var copying sync.WaitGroup
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			sp.opened.Add(1)
			backend, err := net.Dial("tcp", to)
			if err != nil {
				nc.Close()
				continue
			}
			silenced := &atomic.Bool{}
			sp.mu.Lock()
			sp.silenced = append(sp.silenced, silenced)
			sp.mu.Unlock()
			copying.Add(2)
			go forward(&copying, nc, backend, silenced)
			go forward(&copying, backend, nc, silenced)
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		<-done
		copying.Wait()
	})
	return sp
}

func forward(copying *sync.WaitGroup, to, from net.Conn, silenced *atomic.Bool) {
	defer copying.Done()
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if silenced.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (sp *silentProxy) silenceOpen() {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	for _, silenced := range sp.silenced {
		silenced.Store(true)
	}
}

// All open connections between two VMs become silent. The first call may time out, but the next
// must use a new connection instead of timing out on the other idle connections one by one.
func TestSilentConnections(t *testing.T) {
	is := is.New(t)
	_, addr := startPeer(t)
	sp := startSilentProxy(t, addr)
	cl := peer.NewClient(peer.ClientConfig{Timeout: testTimeout})
	defer cl.Close()
	var wg sync.WaitGroup
	for range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := cl.To(sp.addr).Beat(context.Background(), &inner.BeatRequest{Version: inner.Version})
			is.NoErr(err)
		}()
	}
	wg.Wait()
	is.True(sp.opened.Load() >= 2)

	sp.silenceOpen()
	ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
	defer cancel()
	_, err := cl.To(sp.addr).Beat(ctx, &inner.BeatRequest{Version: inner.Version})
	is.True(err != nil)

	ctx, cancel = context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	rp, err := cl.To(sp.addr).Beat(ctx, &inner.BeatRequest{Version: inner.Version, Sequence: 3})
	is.NoErr(err)
	is.Equal(rp.GetSequence(), uint64(3))
}

// A search is forwarded to the VM that issued its ticket. The issuer must receive the time that is
// left, and a reply that is not an answer must be an error.
func TestRun(t *testing.T) {
	fk, addr := startPeer(t)
	cl := peer.NewClient(peer.ClientConfig{Timeout: testTimeout, Self: &inner.VM{Addr: "me"}})
	defer cl.Close()
	const good = `{"id":"r1","outcome":"complete","hits":[]}`
	cases := []struct {
		name     string
		answer   string
		asked    int64
		left     time.Duration
		ok       bool
		deadline func(got int64) bool
	}{
		{"no deadline", good, 0, 0, true, func(got int64) bool { return got == 0 }},
		{"caller's deadline", good, 250, 0, true, func(got int64) bool { return got == 250 }},
		{"less time left", good, 3_600_000, testTimeout, true, func(got int64) bool { return got > 0 && got <= testTimeout.Milliseconds() }},
		{"no answer", "", 250, 0, false, nil},
		{"answer without an outcome", "{}", 250, 0, false, nil},
		{"not an answer", "[]", 250, 0, false, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			fk.answer = tc.answer
			ctx := context.Background()
			if tc.left > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, tc.left)
				defer cancel()
			}
			an, err := cl.Run(ctx, ticket.Issuer{Addr: addr}, wire.SearchRequest{ID: "r1", Team: "wash", DeadlineMs: tc.asked})
			is.Equal(err == nil, tc.ok)
			is.Equal(fk.run.GetVersion(), uint32(inner.Version))
			is.Equal(fk.run.GetFrom().GetAddr(), "me")
			if !tc.ok {
				is.Equal(an.Outcome, wire.Outcome(""))
				return
			}
			is.Equal(an.Outcome, wire.OutcomeComplete)
			is.True(tc.deadline(fk.run.GetDeadlineMs()))
		})
	}
}

// VMs are replaced all the time, mostly with new addresses. The number of stored peers must be
// bounded, and a dropped peer must still be callable.
func TestPeersAreBounded(t *testing.T) {
	is := is.New(t)
	fk, addr := startPeer(t)
	close(fk.twoBeats)
	fk.beats.Store(10)
	cl := peer.NewClient(peer.ClientConfig{Timeout: testTimeout})
	defer cl.Close()
	first := cl.To(addr)
	for i := range 1024 {
		is.True(cl.To(fmt.Sprintf("10.0.%d.%d:1", i/256, i%256)) != nil)
	}
	is.True(cl.To(addr) != first)
	_, err := first.Beat(context.Background(), &inner.BeatRequest{Version: inner.Version})
	is.NoErr(err)
	_, err = cl.To(addr).Beat(context.Background(), &inner.BeatRequest{Version: inner.Version})
	is.NoErr(err)
}
