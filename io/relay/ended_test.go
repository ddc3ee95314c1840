package relay

import (
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/origin"
)

// A server closes a connection under a request. A request that crashed the server must not be
// sent to another one; a request that only lost its connection must be. Both look the same on
// that connection: only whether the server accepts a new one distinguishes them.
func TestServerEndIsDistinguishedFromLostConnection(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	timeout := &net.OpError{Op: "dial", Err: syscall.ETIMEDOUT}
	for _, tc := range []struct {
		name    string
		conns   int
		dialErr error
		ended   int64
	}{
		{"it refuses the next connection", 1, refused, 1},
		{"it had several connections and refuses the next one", 3, refused, 1},
		{"it accepts the next connection", 1, nil, 0},
		{"the next dial times out", 1, timeout, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			sv := &crashingServer{dialErr: tc.dialErr}
			up := &origin.Upstream{ID: "a", Service: "s", Addr: "127.0.0.1:1"}
			var ended atomic.Int64
			po := New(Config{
				Clock: func() time.Duration { return time.Second },
				Dial:  sv.dial,
				Ended: func(_ origin.Process, requests []string) { ended.Add(int64(len(requests)) / int64(tc.conns)) },
			})
			po.Sync(origin.New([]*origin.Upstream{up}), func(*origin.Upstream) Limits { return Limits{Max: 4} })
			results := make(chan Result, tc.conns)
			for k := range tc.conns {
				po.Send(up, Request{ID: strconv.Itoa(k), Message: func() []byte { return []byte("x") }, Done: func(rs Result) { results <- rs }})
			}
			waitFor(t, func() bool { return sv.reads.Load() == int64(tc.conns) })
			sv.crash()
			for range tc.conns {
				rs := <-results
				is.True(rs.Err != nil && rs.Err.Broken())
			}
			// The dial after the crash shows which of the two it was.
			waitFor(t, func() bool { return sv.dials.Load() > 0 })
			waitFor(t, func() bool { return ended.Load() >= tc.ended })
			is.Equal(ended.Load(), tc.ended)
		})
	}
}

// crashingServer is a fake server that closes all its connections at once, and then lets dials
// fail or succeed.
type crashingServer struct {
	dialErr error
	reads   atomic.Int64
	dials   atomic.Int64

	mu      sync.Mutex
	crashed bool
	peers   []net.Conn
}

func (cs *crashingServer) dial(string, time.Duration) (net.Conn, error) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.crashed {
		cs.dials.Add(1)
		if cs.dialErr != nil {
			return nil, cs.dialErr
		}
	}
	local, remote := net.Pipe()
	cs.peers = append(cs.peers, remote)
	go func() {
		buf := make([]byte, 1)
		for {
			if _, err := remote.Read(buf); err != nil {
				return
			}
			cs.reads.Add(1)
		}
	}()
	return local, nil
}

func (cs *crashingServer) crash() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.crashed = true
	for _, peer := range cs.peers {
		_ = peer.Close()
	}
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within 10 s")
		}
	}
}
