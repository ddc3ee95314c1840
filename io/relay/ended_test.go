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

// A server ends a connection under a request. A request that crashed it must not be sent on;
// one that only lost its connection must. Both look the same on that connection: only
// whether the server takes a new one tells them apart.
func TestServerEndIsToldFromLostConnection(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	silent := &net.OpError{Op: "dial", Err: syscall.ETIMEDOUT}
	for _, tc := range []struct {
		name  string
		conns int
		after error
		ended int64
	}{
		{"it refuses the next connection", 1, refused, 1},
		{"its other connections ended too", 3, refused, 1},
		{"it takes the next connection", 1, nil, 0},
		{"nothing is heard of it", 1, silent, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			sv := &breaking{after: tc.after}
			up := &origin.Upstream{ID: "a", Service: "s", Addr: "127.0.0.1:1"}
			var ended atomic.Int64
			po := New(Config{
				Clock: func() time.Duration { return time.Second },
				Dial:  sv.dial,
				Ended: func(_ origin.Process, requests []string) { ended.Add(int64(len(requests)) / int64(tc.conns)) },
			})
			po.Sync(origin.New([]*origin.Upstream{up}), func(*origin.Upstream) Limits { return Limits{Most: 4} })
			results := make(chan Result, tc.conns)
			for k := range tc.conns {
				po.Send(up, Request{ID: strconv.Itoa(k), Wire: []byte("x"), Done: func(rs Result) { results <- rs }})
			}
			waitFor(t, func() bool { return sv.reads.Load() == int64(tc.conns) })
			sv.crash()
			for range tc.conns {
				rs := <-results
				is.True(rs.Err != nil && rs.Err.Broken())
			}
			// The opening after it is the proof.
			waitFor(t, func() bool { return sv.proofs.Load() > 0 })
			waitFor(t, func() bool { return ended.Load() >= tc.ended })
			is.Equal(ended.Load(), tc.ended)
		})
	}
}

// breaking stands in for a server that ends its connections at once, and then answers
// openings with an error, or not.
type breaking struct {
	after  error
	reads  atomic.Int64
	proofs atomic.Int64

	mu      sync.Mutex
	crashed bool
	peers   []net.Conn
}

func (br *breaking) dial(string, time.Duration) (net.Conn, error) {
	br.mu.Lock()
	defer br.mu.Unlock()
	if br.crashed {
		br.proofs.Add(1)
		if br.after != nil {
			return nil, br.after
		}
	}
	here, there := net.Pipe()
	br.peers = append(br.peers, there)
	go func() {
		buf := make([]byte, 1)
		for {
			if _, err := there.Read(buf); err != nil {
				return
			}
			br.reads.Add(1)
		}
	}()
	return here, nil
}

func (br *breaking) crash() {
	br.mu.Lock()
	defer br.mu.Unlock()
	br.crashed = true
	for _, peer := range br.peers {
		_ = peer.Close()
	}
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never came about")
		}
	}
}
