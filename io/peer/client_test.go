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

// patience ends a test that hangs; brief bounds a call that must fail.
const (
	patience = 30 * time.Second
	brief    = 50 * time.Millisecond
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fake answers what the tests ask; the rest is not implemented.
type fake struct {
	inner.Peer
	mu     sync.Mutex
	run    *inner.RunRequest
	answer string
	void   bool
	// both is closed when two beats are there at once.
	beats atomic.Int64
	both  chan struct{}
}

func (fk *fake) Beat(_ context.Context, rq *inner.BeatRequest) (*inner.BeatReply, error) {
	if fk.beats.Add(1) == 2 {
		close(fk.both)
	}
	<-fk.both
	return &inner.BeatReply{Version: inner.Version, Sequence: rq.GetSequence()}, nil
}

func (fk *fake) Run(_ context.Context, rq *inner.RunRequest) (*inner.RunReply, error) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	fk.run = rq
	return &inner.RunReply{Version: inner.Version, Answer: []byte(fk.answer), Void: fk.void}, nil
}

func startPeer(t *testing.T) (*fake, string) {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	fk := &fake{both: make(chan struct{})}
	sr := peer.NewServer(peer.ServerConfig{Listener: ln, Service: fk})
	ended := make(chan error, 1)
	go func() { ended <- sr.Serve() }()
	t.Cleanup(func() {
		is.NoErr(sr.Close())
		is.NoErr(<-ended)
	})
	return fk, ln.Addr().String()
}

// relay passes bytes on, until it forgets the connections that are open: they
// stay open and nothing comes through any more. New ones work.
type relay struct {
	addr   string
	mu     sync.Mutex
	lost   []*atomic.Bool
	opened atomic.Int64
}

func startRelay(t *testing.T, to string) *relay {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	rl := &relay{addr: ln.Addr().String()}
	var copying sync.WaitGroup
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			rl.opened.Add(1)
			far, err := net.Dial("tcp", to)
			if err != nil {
				nc.Close()
				continue
			}
			lost := &atomic.Bool{}
			rl.mu.Lock()
			rl.lost = append(rl.lost, lost)
			rl.mu.Unlock()
			copying.Add(2)
			go pass(&copying, nc, far, lost)
			go pass(&copying, far, nc, lost)
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		<-done
		copying.Wait()
	})
	return rl
}

func pass(copying *sync.WaitGroup, to, from net.Conn, lost *atomic.Bool) {
	defer copying.Done()
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if lost.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (rl *relay) forget() {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for _, lost := range rl.lost {
		lost.Store(true)
	}
}

// Two VMs have several connections open when something between them loses track
// of all. The first call may run into its timeout; the next must go out on a new
// connection and not wait for the others to prove silent one by one.
func TestSilentConnections(t *testing.T) {
	is := is.New(t)
	_, addr := startPeer(t)
	rl := startRelay(t, addr)
	cl := peer.NewClient(peer.ClientConfig{Timeout: patience})
	defer cl.Close()
	var wg sync.WaitGroup
	for range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := cl.To(rl.addr).Beat(context.Background(), &inner.BeatRequest{Version: inner.Version})
			is.NoErr(err)
		}()
	}
	wg.Wait()
	is.True(rl.opened.Load() >= 2)

	rl.forget()
	ctx, cancel := context.WithTimeout(context.Background(), brief)
	defer cancel()
	_, err := cl.To(rl.addr).Beat(ctx, &inner.BeatRequest{Version: inner.Version})
	is.True(err != nil)

	ctx, cancel = context.WithTimeout(context.Background(), patience)
	defer cancel()
	rp, err := cl.To(rl.addr).Beat(ctx, &inner.BeatRequest{Version: inner.Version, Sequence: 3})
	is.NoErr(err)
	is.Equal(rp.GetSequence(), uint64(3))
}

// A caller comes to a VM with another one's ticket. The issuer must be told how
// much time is left, and whatever is no answer must not be taken for one.
func TestRun(t *testing.T) {
	fk, addr := startPeer(t)
	cl := peer.NewClient(peer.ClientConfig{Timeout: patience, Self: &inner.VM{Addr: "me"}})
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
		{"the caller's deadline", good, 250, 0, true, func(got int64) bool { return got == 250 }},
		{"less is left", good, 3_600_000, patience, true, func(got int64) bool { return got > 0 && got <= patience.Milliseconds() }},
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

// VMs are replaced all day, mostly at new addresses. What a VM remembers of its
// peers must not grow with them, and a forgotten one can be called again.
func TestPeersAreBounded(t *testing.T) {
	is := is.New(t)
	fk, addr := startPeer(t)
	close(fk.both)
	fk.beats.Store(10)
	cl := peer.NewClient(peer.ClientConfig{Timeout: patience})
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
