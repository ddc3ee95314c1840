package relay_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/origin"
	"laburnumvane/core/steer"
	"laburnumvane/io/relay"
)

const (
	// patience ends a test that hangs; no verdict depends on it.
	patience = 20 * time.Second
	headerID = "Request-Id"
)

// echo answers each request with its id, one connection after the other.
func echo(t *testing.T) string {
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
			go answer(nc)
		}
	}()
	return ln.Addr().String()
}

func answer(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		rq, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", headerID, rq.Header.Get(headerID))
	}
}

// A server whose queue is too long even for one request of each VM gets a rest after
// each. A request that comes within the rest must wait here, where it can still go to
// another server, and must begin once the rest is over, though nothing else happens
// then.
func TestRest(t *testing.T) {
	is := is.New(t)
	var now atomic.Int64
	po := relay.New(relay.Config{
		Clock:    func() time.Duration { return time.Duration(now.Load()) },
		HeaderID: headerID,
	})
	t.Cleanup(po.Close)
	up := &origin.Upstream{ID: "a", Addr: echo(t)}
	po.Sync(origin.New([]*origin.Upstream{up}), func(*origin.Upstream) relay.Limits { return relay.Limits{Warm: 1, Most: 2} })
	send := func(id string) (*relay.Call, chan relay.Result) {
		done := make(chan relay.Result, 1)
		ca := po.Send(up, relay.Request{
			ID: id, Method: http.MethodGet,
			Wire: []byte("GET / HTTP/1.1\r\nHost: h\r\n" + headerID + ": " + id + "\r\n\r\n"),
			Done: func(rs relay.Result) { done <- rs },
		})
		return ca, done
	}
	wait := func(done chan relay.Result) {
		select {
		case rs := <-done:
			is.True(rs.Reply != nil)
		case <-time.After(patience):
			t.Fatal("never answered")
		}
	}
	_, first := send("first")
	wait(first)
	const rest = 50 * time.Millisecond
	po.Allow(up, steer.Allowance{Window: 1, Rest: rest})
	ca, second := send("second")
	is.True(ca.Waits())
	// The timer of the rest fires, but by the clock it is not over yet.
	time.Sleep(2 * rest)
	is.True(ca.Waits())
	now.Store(int64(rest))
	wait(second)
}
