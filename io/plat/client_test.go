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

// patience bounds calls that must succeed; brief those that must not.
const (
	patience = 30 * time.Second
	brief    = 50 * time.Millisecond
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

// closedPort is an address at which nothing listens.
func closedPort(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	return ln.Addr().String()
}

// script is a service that does the same to each connection.
func script(t *testing.T, do func(nc net.Conn)) string {
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
			do(nc)
			nc.Close()
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		<-done
	})
	return ln.Addr().String()
}

func answering(text string) func(net.Conn) {
	return func(nc net.Conn) {
		buf := make([]byte, 4096)
		// The request fits into one read, or the answer comes early; either
		// will do.
		_, _ = nc.Read(buf)
		_, _ = io.WriteString(nc, text)
	}
}

// An operator's change is written by a swap whose answer may get lost. What the
// VM says next depends on one bit: may the write have taken effect? To say no
// where it has is to tell the operator a lie, and to say yes where it cannot
// have is to leave every outage in doubt.
func TestDoubt(t *testing.T) {
	kv := startKV(t)
	cases := []struct {
		name     string
		addr     func(t *testing.T) string
		faults   emul.KVFaults
		kind     plat.Kind
		doubtful bool
	}{
		{"nothing listens", closedPort, emul.KVFaults{}, plat.KindUnreachable, false},
		{"closed before it was read", func(t *testing.T) string { return script(t, func(net.Conn) {}) }, emul.KVFaults{}, plat.KindUnreachable, true},
		{"closed after it was read", func(t *testing.T) string { return script(t, answering("")) }, emul.KVFaults{}, plat.KindUnreachable, true},
		{"written, answer lost", nil, emul.KVFaults{LoseSwaps: true}, plat.KindUnreachable, true},
		{"slow", nil, emul.KVFaults{Slow: patience}, plat.KindTimeout, true},
		{"fails", nil, emul.KVFaults{Fail: true}, plat.KindStatus, true},
		{"refuses connections after accepting", nil, emul.KVFaults{Refuse: true}, plat.KindUnreachable, true},
		{"says it is wrong", func(t *testing.T) string {
			return script(t, answering("HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\n{}"))
		}, emul.KVFaults{}, plat.KindStatus, false},
		{"answer cut short", func(t *testing.T) string {
			return script(t, answering("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"swapped\":"))
		}, emul.KVFaults{}, plat.KindUnreachable, true},
		{"answer is not JSON", func(t *testing.T) string {
			return script(t, answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"))
		}, emul.KVFaults{}, plat.KindDecode, true},
		{"answer is not HTTP", func(t *testing.T) string { return script(t, answering("hello\r\n\r\n")) }, emul.KVFaults{}, plat.KindUnreachable, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			addr, timeout := kv.Addr(), patience
			if tc.addr != nil {
				addr = tc.addr(t)
			}
			if tc.kind == plat.KindTimeout {
				timeout = brief
			}
			key := strings.ReplaceAll(tc.name, " ", "-")
			kv.SetFaults(tc.faults)
			_, err := newClient(t, timeout, addr).Swap(t.Context(), wire.KVSwapRequest{Key: key, Value: []byte("1")})
			var pe *plat.Error
			is.True(errors.As(err, &pe))
			is.Equal(pe.Kind, tc.kind)
			is.Equal(pe.Doubtful, tc.doubtful)
			is.Equal(pe.Op, "plat.Swap")
			_, _, err = newClient(t, timeout, addr).Get(t.Context(), key)
			if errors.As(err, &pe) {
				is.Equal(pe.Doubtful, false) // a read has no effect
			}
			kv.SetFaults(emul.KVFaults{})
			_, held, err := newClient(t, patience, kv.Addr()).Get(t.Context(), key)
			is.NoErr(err)
			is.True(!held || tc.doubtful) // it took effect, and the error denies it
		})
	}
}

// The caller of Swap is cancelled before it begins, or while the service thinks.
func TestCancelled(t *testing.T) {
	is := is.New(t)
	kv := startKV(t)
	cl := newClient(t, patience, kv.Addr())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := cl.Swap(ctx, wire.KVSwapRequest{Key: "a"})
	var pe *plat.Error
	is.True(errors.As(err, &pe))
	is.Equal(pe.Doubtful, false)

	asked := make(chan struct{})
	slow := script(t, func(nc net.Conn) {
		answering("")(nc)
		close(asked)
		_, _ = nc.Read(make([]byte, 1))
	})
	ctx, cancel = context.WithCancel(t.Context())
	defer cancel()
	go func() {
		<-asked
		cancel()
	}()
	_, err = newClient(t, patience, slow).Swap(ctx, wire.KVSwapRequest{Key: "a"})
	is.True(errors.As(err, &pe))
	is.Equal(pe.Doubtful, true)
}

// One address of the service is dead. Calls must go on at the next one at once,
// stay there, and not send a swap twice where the first may have run.
func TestAddresses(t *testing.T) {
	is := is.New(t)
	kv := startKV(t)
	cl := newClient(t, patience, closedPort(t), kv.Addr())
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
	lost := newClient(t, patience, kv.Addr(), strings.TrimPrefix(other.URL, "http://"))
	kv.SetFaults(emul.KVFaults{LoseSwaps: true})
	_, err = lost.Swap(t.Context(), wire.KVSwapRequest{Key: "b"})
	is.True(err != nil)
	is.Equal(second.Load(), int64(0))

	none := newClient(t, patience, closedPort(t), closedPort(t))
	_, err = none.Range(t.Context(), "")
	var pe *plat.Error
	is.True(errors.As(err, &pe))
	is.Equal(pe.Kind, plat.KindUnreachable)
}

// A watch is answered by nothing at all, as when something between the two ends
// has lost track of the connection. It must end by itself, and the next one must
// work.
func TestSilentWatch(t *testing.T) {
	is := is.New(t)
	kv := startKV(t)
	cl := newClient(t, brief, kv.Addr())
	kv.SetFaults(emul.KVFaults{SilentWatches: true})
	_, err := cl.Watch(t.Context(), "", 0, brief)
	var pe *plat.Error
	is.True(errors.As(err, &pe))
	is.Equal(pe.Kind, plat.KindTimeout)
	is.Equal(pe.Doubtful, false)
	kv.SetFaults(emul.KVFaults{})
	rp, err := newClient(t, patience, kv.Addr()).Watch(t.Context(), "", 0, 0)
	is.NoErr(err)
	is.Equal(len(rp.Events), 0)
}

// A reply that never ends must not fill the VM's memory.
func TestReplyLimit(t *testing.T) {
	is := is.New(t)
	kv := startKV(t)
	cl := plat.New(plat.Config{Addrs: []string{kv.Addr()}, Timeout: patience, MaxReply: 200})
	defer cl.Close()
	_, err := cl.Swap(t.Context(), wire.KVSwapRequest{Key: "a", Value: make([]byte, 10)})
	is.NoErr(err)
	_, err = cl.Range(t.Context(), "")
	is.NoErr(err)
	_, err = cl.Swap(t.Context(), wire.KVSwapRequest{Key: "b", Value: make([]byte, 1000)})
	var pe *plat.Error
	is.True(errors.As(err, &pe)) // the reply shows the pair
	is.Equal(pe.Kind, plat.KindTooLarge)
	is.Equal(pe.Doubtful, true)
	_, err = cl.Range(t.Context(), "")
	is.True(errors.As(err, &pe))
	is.Equal(pe.Kind, plat.KindTooLarge)
}

func TestLeases(t *testing.T) {
	is := is.New(t)
	kv := startKV(t)
	cl := newClient(t, patience, kv.Addr())
	le, err := cl.Lease(t.Context(), time.Hour)
	is.NoErr(err)
	is.True(le.ID != 0)
	ttl, held, err := cl.KeepAlive(t.Context(), le.ID)
	is.NoErr(err)
	is.True(held)
	is.Equal(ttl, time.Hour)
	_, held, err = cl.KeepAlive(t.Context(), le.ID+1)
	is.NoErr(err)
	is.True(!held) // lapsed, or never granted
	_, err = cl.Swap(t.Context(), wire.KVSwapRequest{Key: "a", Lease: le.ID + 1})
	var pe *plat.Error
	is.True(errors.As(err, &pe))
	is.Equal(pe.Doubtful, false) // the service says that the lease is gone
}
