package plat_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	_ "laburnumvane/internal/quiet"
	"laburnumvane/io/contr"
	"laburnumvane/io/emul"
	"laburnumvane/io/plat"
	"laburnumvane/io/wire"
)

// testTimeout bounds calls that must succeed, shortTimeout calls that must time out.
const (
	testTimeout  = 30 * time.Second
	shortTimeout = 50 * time.Millisecond
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, contr.LibraryGoroutines()...)
}

func startKV(t *testing.T) *emul.KV {
	t.Helper()
	kv := emul.NewKV(emul.KVConfig{})
	is.New(t).NoErr(kv.Start())
	t.Cleanup(kv.Close)
	return kv
}

func newClient(t *testing.T, timeout time.Duration, addrs ...string) *plat.Client {
	t.Helper()
	cl := plat.New(plat.Config{Addrs: addrs, Timeout: timeout})
	t.Cleanup(cl.Close)
	return cl
}

// unusedAddr returns an address at which nothing listens.
func unusedAddr(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	return ln.Addr().String()
}

// serveConns starts a server that handles each connection with the same function.
func serveConns(t *testing.T, handle func(nc net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			handle(nc)
			nc.Close()
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		<-done
	})
	return ln.Addr().String()
}

func replyWith(text string) func(net.Conn) {
	return func(nc net.Conn) {
		buf := make([]byte, 4096)
		// If the request needs more than one read, the reply comes early, which does not
		// matter here.
		_, _ = nc.Read(buf)
		_, _ = io.WriteString(nc, text)
	}
}

// An operator's change is written by a swap whose reply may get lost. The VM's answer to the
// operator depends on whether the write may have taken effect. A wrong no would give the operator a
// false result, and a wrong yes would leave the result unknown in every outage.
func TestMayHaveApplied(t *testing.T) {
	kv := startKV(t)
	cases := []struct {
		name           string
		addr           func(t *testing.T) string
		faults         emul.KVFaults
		kind           plat.Kind
		mayHaveApplied bool
	}{
		{"connection refused", unusedAddr, emul.KVFaults{}, plat.KindUnreachable, false},
		{"closed before the request was read", func(t *testing.T) string { return serveConns(t, func(net.Conn) {}) }, emul.KVFaults{}, plat.KindUnreachable, true},
		{"closed after the request was read", func(t *testing.T) string { return serveConns(t, replyWith("")) }, emul.KVFaults{}, plat.KindUnreachable, true},
		{"written, reply lost", nil, emul.KVFaults{LoseSwaps: true}, plat.KindUnreachable, true},
		{"slow", nil, emul.KVFaults{Slow: testTimeout}, plat.KindTimeout, true},
		{"status 500", nil, emul.KVFaults{Fail: true}, plat.KindStatus, true},
		{"closes accepted connections", nil, emul.KVFaults{Refuse: true}, plat.KindUnreachable, true},
		{"status 400", func(t *testing.T) string {
			return serveConns(t, replyWith("HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\n{}"))
		}, emul.KVFaults{}, plat.KindStatus, false},
		{"reply truncated", func(t *testing.T) string {
			return serveConns(t, replyWith("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"swapped\":"))
		}, emul.KVFaults{}, plat.KindUnreachable, true},
		{"reply not JSON", func(t *testing.T) string {
			return serveConns(t, replyWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"))
		}, emul.KVFaults{}, plat.KindDecode, true},
		{"reply not HTTP", func(t *testing.T) string { return serveConns(t, replyWith("hello\r\n\r\n")) }, emul.KVFaults{}, plat.KindUnreachable, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			addr, timeout := kv.Addr(), testTimeout
			if tc.addr != nil {
				addr = tc.addr(t)
			}
			if tc.kind == plat.KindTimeout {
				timeout = shortTimeout
			}
			key := strings.ReplaceAll(tc.name, " ", "-")
			kv.SetFaults(tc.faults)
			_, err := newClient(t, timeout, addr).Swap(t.Context(), wire.KVSwapRequest{Key: key, Value: []byte("1")})
			var pe *plat.Error
			is.True(errors.As(err, &pe))
			is.Equal(pe.Kind, tc.kind)
			is.Equal(pe.MayHaveApplied, tc.mayHaveApplied)
			is.Equal(pe.Op, "plat.Swap")
			_, _, err = newClient(t, timeout, addr).Get(t.Context(), key)
			if errors.As(err, &pe) {
				is.Equal(pe.MayHaveApplied, false) // a read has no effect
			}
			kv.SetFaults(emul.KVFaults{})
			_, held, err := newClient(t, testTimeout, kv.Addr()).Get(t.Context(), key)
			is.NoErr(err)
			is.True(!held || tc.mayHaveApplied) // an applied write must be reported as possible
		})
	}
}

// A swap is cancelled before it starts, or while the service processes it.
func TestCancelled(t *testing.T) {
	is := is.New(t)
	kv := startKV(t)
	cl := newClient(t, testTimeout, kv.Addr())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := cl.Swap(ctx, wire.KVSwapRequest{Key: "a"})
	var pe *plat.Error
	is.True(errors.As(err, &pe))
	is.Equal(pe.MayHaveApplied, false)

	asked := make(chan struct{})
	slow := serveConns(t, func(nc net.Conn) {
		replyWith("")(nc)
		close(asked)
		_, _ = nc.Read(make([]byte, 1))
	})
	ctx, cancel = context.WithCancel(t.Context())
	defer cancel()
	go func() {
		<-asked
		cancel()
	}()
	_, err = newClient(t, testTimeout, slow).Swap(ctx, wire.KVSwapRequest{Key: "a"})
	is.True(errors.As(err, &pe))
	is.Equal(pe.MayHaveApplied, true)
}

// One address of the service is down. Calls must move on to the next address at once and stay
// there, and a swap that may have run must not be sent to a second address.
func TestAddresses(t *testing.T) {
	is := is.New(t)
	kv := startKV(t)
	cl := newClient(t, testTimeout, unusedAddr(t), kv.Addr())
	for range 3 {
		_, err := cl.Range(t.Context(), "")
		is.NoErr(err)
	}
	is.Equal(kv.Counts().Range, uint64(3))
	rp, err := cl.Swap(t.Context(), wire.KVSwapRequest{Key: "a"})
	is.NoErr(err)
	is.True(rp.Swapped)

	var second atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { second.Add(1) }))
	defer other.Close()
	lost := newClient(t, testTimeout, kv.Addr(), strings.TrimPrefix(other.URL, "http://"))
	kv.SetFaults(emul.KVFaults{LoseSwaps: true})
	_, err = lost.Swap(t.Context(), wire.KVSwapRequest{Key: "b"})
	is.True(err != nil)
	is.Equal(second.Load(), int64(0))

	none := newClient(t, testTimeout, unusedAddr(t), unusedAddr(t))
	_, err = none.Range(t.Context(), "")
	var pe *plat.Error
	is.True(errors.As(err, &pe))
	is.Equal(pe.Kind, plat.KindUnreachable)
}

// A watch gets no reply at all, as when a network device has lost the connection. It must time out,
// and the next watch must work.
func TestSilentWatch(t *testing.T) {
	is := is.New(t)
	kv := startKV(t)
	cl := newClient(t, shortTimeout, kv.Addr())
	kv.SetFaults(emul.KVFaults{SilentWatches: true})
	_, err := cl.Watch(t.Context(), "", 0, shortTimeout)
	var pe *plat.Error
	is.True(errors.As(err, &pe))
	is.Equal(pe.Kind, plat.KindTimeout)
	is.Equal(pe.MayHaveApplied, false)
	kv.SetFaults(emul.KVFaults{})
	rp, err := newClient(t, testTimeout, kv.Addr()).Watch(t.Context(), "", 0, 0)
	is.NoErr(err)
	is.Equal(len(rp.Events), 0)
}

// An endless reply must not fill the VM's memory.
func TestReplyLimit(t *testing.T) {
	is := is.New(t)
	kv := startKV(t)
	cl := plat.New(plat.Config{Addrs: []string{kv.Addr()}, Timeout: testTimeout, MaxReply: 200})
	defer cl.Close()
	_, err := cl.Swap(t.Context(), wire.KVSwapRequest{Key: "a", Value: make([]byte, 10)})
	is.NoErr(err)
	_, err = cl.Range(t.Context(), "")
	is.NoErr(err)
	_, err = cl.Swap(t.Context(), wire.KVSwapRequest{Key: "b", Value: make([]byte, 1000)})
	var pe *plat.Error
	is.True(errors.As(err, &pe)) // the reply contains the pair
	is.Equal(pe.Kind, plat.KindTooLarge)
	is.Equal(pe.MayHaveApplied, true)
	_, err = cl.Range(t.Context(), "")
	is.True(errors.As(err, &pe))
	is.Equal(pe.Kind, plat.KindTooLarge)
}

func TestLeases(t *testing.T) {
	is := is.New(t)
	kv := startKV(t)
	cl := newClient(t, testTimeout, kv.Addr())
	le, err := cl.Lease(t.Context(), time.Hour)
	is.NoErr(err)
	is.True(le.ID != 0)
	ttl, held, err := cl.KeepAlive(t.Context(), le.ID)
	is.NoErr(err)
	is.True(held)
	is.Equal(ttl, time.Hour)
	_, held, err = cl.KeepAlive(t.Context(), le.ID+1)
	is.NoErr(err)
	is.True(!held) // expired or never granted
	_, err = cl.Swap(t.Context(), wire.KVSwapRequest{Key: "a", Lease: le.ID + 1})
	var pe *plat.Error
	is.True(errors.As(err, &pe))
	is.Equal(pe.MayHaveApplied, false) // the service refused it for the unknown lease
}
