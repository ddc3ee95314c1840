package relay_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/origin"
	"laburnumvane/io/relay"
)

// A server closes a connection on which it has answered a status check, which has no id. If that
// is taken for the rejection of a new connection, no other one is opened for 200 ms, and a
// request that may run only once goes to a server that never responds.
func TestConnectionClosedAfterStatusCheckIsNotRejected(t *testing.T) {
	is := is.New(t)
	addr := serveConns(t, func(nc net.Conn) {
		defer nc.Close()
		if _, err := nc.Read(make([]byte, 1024)); err == nil {
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	closed := make(chan struct{}, 2)
	po := relay.New(relay.Config{
		Clock:    func() time.Duration { return time.Second },
		HeaderID: "Id",
		Closed:   func() { closed <- struct{}{} },
	})
	defer po.Close()
	up := &origin.Upstream{ID: "s1", Service: "s", Addr: addr}
	po.Sync(origin.New([]*origin.Upstream{up}), func(*origin.Upstream) relay.Limits { return relay.Limits{Max: 1} })
	for range 2 {
		result := make(chan relay.Result, 1)
		po.Send(up, relay.Request{Method: "GET", Message: message("GET /health HTTP/1.1\r\nHost: h\r\n\r\n"), Done: func(rs relay.Result) { result <- rs }})
		rs := <-result
		is.True(rs.Err == nil)
		<-closed
	}
}
