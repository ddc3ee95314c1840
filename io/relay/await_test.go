package relay_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/origin"
	"laburnumvane/io/relay"
)

// A server closes a new connection, and a request that may run only once has no other server that
// responds. The request must wait for the next connection instead of going to a silent server.
// Other requests must fail at once, since they have other servers.
func TestRequestAwaitsNextConnection(t *testing.T) {
	for _, tc := range []struct {
		name  string
		await bool
	}{{"awaits", true}, {"does not await", false}} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			addr := serveConns(t, respondToAll)
			began := time.Now()
			dials := 0
			closed := make(chan struct{}, 2)
			po := relay.New(relay.Config{
				Clock:    func() time.Duration { return time.Since(began) },
				HeaderID: "Id",
				Dial: func(addr string, timeout time.Duration) (net.Conn, error) {
					if dials++; dials > 1 {
						return net.DialTimeout("tcp", addr, timeout)
					}
					local, remote := net.Pipe()
					// The pool watches a new connection for as long as opening it took.
					time.Sleep(50 * time.Millisecond)
					return local, remote.Close()
				},
				Closed: func() { closed <- struct{}{} },
			})
			defer po.Close()
			up := &origin.Upstream{ID: "s1", Service: "s", Addr: addr}
			po.Sync(origin.New([]*origin.Upstream{up}), func(*origin.Upstream) relay.Limits { return relay.Limits{Max: 1} })
			for _, id := range []string{"a", "b"} {
				result := make(chan relay.Result, 1)
				po.Send(up, relay.Request{ID: id, Method: "GET", AwaitConn: tc.await, Message: message("GET / HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n"), Done: func(rs relay.Result) { result <- rs }})
				rs := <-result
				is.Equal(rs.Err == nil, tc.await)
				if !tc.await {
					is.Equal(rs.Err.Kind, relay.KindBackoff)
					is.True(!rs.Err.Sent)
				}
			}
			<-closed
		})
	}
}

// A request waits for a connection that is being opened. If it has no other server, it must not be
// withdrawn as one that waits too long.
func TestRequestWithoutOtherServerIsNotQueued(t *testing.T) {
	for _, tc := range []struct {
		name  string
		await bool
	}{{"no other server", true}, {"other servers", false}} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			accept := make(chan struct{})
			began := time.Now()
			po := relay.New(relay.Config{
				Clock:    func() time.Duration { return time.Since(began) },
				HeaderID: "Id",
				Dial: func(string, time.Duration) (net.Conn, error) {
					<-accept
					return nil, net.ErrClosed
				},
			})
			defer po.Close()
			up := &origin.Upstream{ID: "s1", Service: "s", Addr: "127.0.0.1:1"}
			po.Sync(origin.New([]*origin.Upstream{up}), func(*origin.Upstream) relay.Limits { return relay.Limits{Max: 1} })
			result := make(chan relay.Result, 1)
			ca := po.Send(up, relay.Request{ID: "a", AwaitConn: tc.await, Message: message(""), Done: func(rs relay.Result) { result <- rs }})
			is.Equal(ca.Queued(), !tc.await)
			close(accept)
			is.Equal((<-result).Err.Kind, relay.KindDial)
			is.True(!ca.Queued())
		})
	}
}
