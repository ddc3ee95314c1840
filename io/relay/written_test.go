package relay_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/origin"
	"laburnumvane/io/relay"
)

// slowWriteConn is a connection whose writes return only after delay, although the other end has
// the bytes by then.
type slowWriteConn struct {
	net.Conn
	delay time.Duration
}

func (sc slowWriteConn) Write(p []byte) (int, error) {
	n, err := sc.Conn.Write(p)
	time.Sleep(sc.delay)
	return n, err
}

// On a busy VM a response can be read before the write of its request has returned. If the
// connection is then closed, a healthy server is left without connections, and the next request
// that may run only once goes to a server that never responds.
func TestConnectionIsKeptIfResponseArrivesBeforeWriteReturns(t *testing.T) {
	is := is.New(t)
	addr := serveConns(t, respondToAll)
	began := time.Now()
	var mu sync.Mutex
	dials := 0
	po := relay.New(relay.Config{
		Clock:    func() time.Duration { return time.Since(began) },
		HeaderID: "Id",
		Dial: func(addr string, timeout time.Duration) (net.Conn, error) {
			mu.Lock()
			dials++
			mu.Unlock()
			nc, err := net.DialTimeout("tcp", addr, timeout)
			return slowWriteConn{Conn: nc, delay: 5 * time.Millisecond}, err
		},
	})
	defer po.Close()
	up := &origin.Upstream{ID: "s1", Service: "s", Addr: addr}
	po.Sync(origin.New([]*origin.Upstream{up}), func(*origin.Upstream) relay.Limits { return relay.Limits{Idle: 1, Max: 1} })
	for _, id := range []string{"a", "b", "c"} {
		result := make(chan relay.Result, 1)
		po.Send(up, relay.Request{ID: id, Method: "GET", Message: message("GET / HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n"), Done: func(rs relay.Result) { result <- rs }})
		rs := <-result
		is.True(rs.Err == nil)
	}
	mu.Lock()
	defer mu.Unlock()
	is.Equal(dials, 1)
}

// respondToAll answers each request of a connection with an empty response that echoes its id.
func respondToAll(nc net.Conn) {
	defer nc.Close()
	buf := make([]byte, 1024)
	for {
		n, err := nc.Read(buf)
		if err != nil {
			return
		}
		id := string(buf[n-5 : n-4])
		if _, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: "+id+"\r\n\r\n"); err != nil {
			return
		}
	}
}

// message returns the Message of a request that is always the same.
func message(text string) func() []byte { return func() []byte { return []byte(text) } }

// serveConns listens on loopback until the test ends, and calls serve for each connection. It
// returns the address.
func serveConns(t *testing.T, serve func(nc net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(nc)
		}
	}()
	return ln.Addr().String()
}
