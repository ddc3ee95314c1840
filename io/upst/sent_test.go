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

func slow(dur time.Duration) emul.ServiceTime {
	return func(*rand.Rand) time.Duration { return dur }
}

// What the caller of a failed sub-request is told rests on one bit: whether any
// byte may have left this VM. Each case brings about one failure.
func TestSentFlag(t *testing.T) {
	cases := []struct {
		name string
		up   emul.UpstreamConfig
		conn upst.Config
		// warm lets one search succeed first.
		warm   bool
		before func(ri *rig)
		run    func(ri *rig) error
		kind   upst.Kind
		sent   bool
	}{
		{
			name:   "nobody listens",
			before: func(ri *rig) { ri.up.Crash() },
			run:    func(ri *rig) error { return ri.search("a", patience) },
			kind:   upst.KindDial,
		},
		{
			name: "nobody listened a moment ago",
			before: func(ri *rig) {
				ri.up.Crash()
				failure(ri.is, ri.search("a", patience), upst.KindDial, false)
			},
			run:  func(ri *rig) error { return ri.search("b", patience) },
			kind: upst.KindBackoff,
		},
		{
			name: "the deadline passes before a connection is free",
			up:   emul.UpstreamConfig{Service: slow(time.Minute)},
			before: func(ri *rig) {
				ri.begin("holder", time.Second)
				ri.until("the holder runs", func() bool { return ri.up.Load().InFlight == 1 })
			},
			run:  func(ri *rig) error { return ri.search("a", 20*time.Millisecond) },
			kind: upst.KindNoConn,
		},
		{
			name: "too little time is left",
			warm: true,
			run:  func(ri *rig) error { return ri.search("a", 100*time.Microsecond) },
			kind: upst.KindExpired,
		},
		{
			name:   "no connection is allowed",
			before: func(ri *rig) { ri.sv.SetLimit(0) },
			run:    func(ri *rig) error { return ri.search("a", patience) },
			kind:   upst.KindNoConn,
		},
		{
			name:   "given up",
			before: func(ri *rig) { ri.sv.Close() },
			run:    func(ri *rig) error { return ri.search("a", patience) },
			kind:   upst.KindClosed,
		},
		{
			name: "no reply before the deadline",
			up:   emul.UpstreamConfig{},
			warm: true,
			before: func(ri *rig) {
				ri.up.SetFaults(emul.UpstreamFaults{Mute: true})
			},
			run:  func(ri *rig) error { return ri.search("a", 30*time.Millisecond) },
			kind: upst.KindTimeout,
			sent: true,
		},
		{
			name:   "a status without the server's own word",
			before: func(ri *rig) { ri.up.SetFaults(emul.UpstreamFaults{ErrorShare: 1}) },
			run:    func(ri *rig) error { return ri.search("a", patience) },
			kind:   upst.KindStatus,
			sent:   true,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tc.conn.MaxConns = 1
			ri := newRig(t, tc.up, tc.conn)
			if tc.warm {
				ri.is.NoErr(ri.search("warm", patience))
			}
			if tc.before != nil {
				tc.before(ri)
			}
			failure(ri.is, tc.run(ri), tc.kind, tc.sent)
		})
	}
}

// breaker is a server that answers one ping, reads what comes next once, and
// breaks the connection.
func breaker(t *testing.T) *upst.Server {
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

// The server takes the whole request and dies: it may have run.
func TestResetAfterRequest(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := breaker(t).Search(ctx, request("a"))
	failure(is, err, upst.KindReset, true)
}

// The server dies after the beginning of a request. The rest is larger than what
// the sockets hold, so that the write itself fails with a part of it out.
func TestPartialWrite(t *testing.T) {
	is := is.New(t)
	var err error
	rq := request("large")
	rq.Query, err = json.Marshal(strings.Repeat("x", 16<<20))
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err = breaker(t).Search(ctx, rq)
	failure(is, err, upst.KindWrite, true)
}

// A sub-request waits behind another for the only connection. The server is
// told the time that is left when it is sent, not when the wait began.
func TestDeadlineShrinksWhileWaiting(t *testing.T) {
	is := is.New(t)
	free := make(chan struct{})
	arrived := make(chan wire.ShardRequest, 2)
	hs := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, hr *http.Request) {
		if hr.URL.Path == wire.RouteShardSearch {
			var rq wire.ShardRequest
			_ = json.NewDecoder(hr.Body).Decode(&rq)
			arrived <- rq
			<-free
		}
		_, _ = rw.Write([]byte(`{}`))
	}))
	defer hs.Close()
	sv := upst.New(upst.Config{Addr: hs.Listener.Addr().String(), MaxConns: 1})
	defer sv.Close()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	at, _ := ctx.Deadline()
	done := make(chan error, 2)
	ask := func(id string) {
		_, err := sv.Search(ctx, request(id))
		done <- err
	}
	go ask("first")
	<-arrived
	go ask("second")
	left := time.Until(at)
	close(free)
	second := <-arrived
	is.NoErr(<-done)
	is.NoErr(<-done)
	is.True(second.DeadlineMs <= left.Milliseconds())
	is.True(second.DeadlineMs > 0)
}
