package upst_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/io/emul"
	"laburnumvane/io/upst"
	"laburnumvane/io/wire"
)

func fixedServiceTime(dur time.Duration) emul.ServiceTime {
	return func(*rand.Rand) time.Duration { return dur }
}

// The Sent flag of an error says whether any byte of the request may have left this VM, and thus
// whether the sub-request may have run. Each case causes one failure.
func TestSentFlag(t *testing.T) {
	cases := []struct {
		name string
		up   emul.UpstreamConfig
		conn upst.Config
		// warm makes one search succeed first.
		warm   bool
		before func(fx *fixture)
		run    func(fx *fixture) error
		kind   upst.Kind
		sent   bool
	}{
		{
			name:   "port closed",
			before: func(fx *fixture) { fx.up.Crash() },
			run:    func(fx *fixture) error { return fx.search("a", waitTimeout) },
			kind:   upst.KindDial,
		},
		{
			name: "port closed at the previous attempt",
			before: func(fx *fixture) {
				fx.up.Crash()
				checkError(fx.is, fx.search("a", waitTimeout), upst.KindDial, false)
			},
			run:  func(fx *fixture) error { return fx.search("b", waitTimeout) },
			kind: upst.KindBackoff,
		},
		{
			name: "no free connection before the deadline",
			up:   emul.UpstreamConfig{Service: fixedServiceTime(time.Minute)},
			before: func(fx *fixture) {
				fx.searchAsync("holder", time.Second)
				fx.until("the holder runs", func() bool { return fx.up.Load().InFlight == 1 })
			},
			run:  func(fx *fixture) error { return fx.search("a", 20*time.Millisecond) },
			kind: upst.KindNoConn,
		},
		{
			name: "too little time left",
			warm: true,
			run:  func(fx *fixture) error { return fx.search("a", 100*time.Microsecond) },
			kind: upst.KindExpired,
		},
		{
			name:   "no connection allowed",
			before: func(fx *fixture) { fx.sv.SetLimit(0) },
			run:    func(fx *fixture) error { return fx.search("a", waitTimeout) },
			kind:   upst.KindNoConn,
		},
		{
			name:   "server closed",
			before: func(fx *fixture) { fx.sv.Close() },
			run:    func(fx *fixture) error { return fx.search("a", waitTimeout) },
			kind:   upst.KindClosed,
		},
		{
			name: "no reply before the deadline",
			up:   emul.UpstreamConfig{},
			warm: true,
			before: func(fx *fixture) {
				fx.up.SetFaults(emul.UpstreamFaults{Mute: true})
			},
			run:  func(fx *fixture) error { return fx.search("a", 30*time.Millisecond) },
			kind: upst.KindTimeout,
			sent: true,
		},
		{
			name:   "status 500",
			before: func(fx *fixture) { fx.up.SetFaults(emul.UpstreamFaults{ErrorShare: 1}) },
			run:    func(fx *fixture) error { return fx.search("a", waitTimeout) },
			kind:   upst.KindStatus,
			sent:   true,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tc.conn.MaxConns = 1
			fx := newFixture(t, tc.up, tc.conn)
			if tc.warm {
				fx.is.NoErr(fx.search("warm", waitTimeout))
			}
			if tc.before != nil {
				tc.before(fx)
			}
			checkError(fx.is, tc.run(fx), tc.kind, tc.sent)
		})
	}
}

// newResettingServer returns a client of a server that answers one ping, reads once more, and
// resets the connection.
func newResettingServer(t *testing.T) *upst.Server {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		buf := make([]byte, 1024)
		_, _ = nc.Read(buf)
		_, _ = nc.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
		_, _ = nc.Read(buf)
		_ = nc.(*net.TCPConn).SetLinger(0)
		_ = nc.Close()
	}()
	sv := upst.New(upst.Config{Addr: ln.Addr().String(), MaxConns: 1})
	t.Cleanup(sv.Close)
	return sv
}

// The server reads the whole request and resets the connection: the request may have run.
func TestResetAfterRequest(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err := newResettingServer(t).Search(ctx, request("a"))
	checkError(is, err, upst.KindReset, true)
}

// The server resets the connection after the beginning of a request. The rest is larger than the
// socket buffers, so that the write itself fails after a part was sent.
func TestPartialWrite(t *testing.T) {
	is := is.New(t)
	var err error
	rq := request("large")
	rq.Query, err = json.Marshal(strings.Repeat("x", 16<<20))
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err = newResettingServer(t).Search(ctx, rq)
	checkError(is, err, upst.KindWrite, true)
}

// A sub-request waits behind another for the only connection. The deadline sent to the server is
// the time left when the request is sent, not when the wait began.
func TestDeadlineShrinksWhileWaiting(t *testing.T) {
	is := is.New(t)
	unblock := make(chan struct{})
	arrived := make(chan wire.ShardRequest, 2)
	hs := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, hr *http.Request) {
		if hr.URL.Path == wire.RouteShardSearch {
			var rq wire.ShardRequest
			_ = json.NewDecoder(hr.Body).Decode(&rq)
			arrived <- rq
			<-unblock
		}
		_, _ = rw.Write([]byte(`{}`))
	}))
	defer hs.Close()
	sv := upst.New(upst.Config{Addr: hs.Listener.Addr().String(), MaxConns: 1})
	defer sv.Close()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	at, _ := ctx.Deadline()
	done := make(chan error, 2)
	search := func(id string) {
		_, err := sv.Search(ctx, request(id))
		done <- err
	}
	go search("first")
	<-arrived
	go search("second")
	left := time.Until(at)
	close(unblock)
	second := <-arrived
	is.NoErr(<-done)
	is.NoErr(<-done)
	is.True(second.DeadlineMs <= left.Milliseconds())
	is.True(second.DeadlineMs > 0)
}
