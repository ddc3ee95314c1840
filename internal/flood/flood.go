// Package flood serves replies without end in tests, and counts how much of them is read.
//
// # Usage
//
//	for _, rp := range flood.Replies() {
//		sv := flood.Serve(t, rp)
//		// call sv.Addr(), which has to fail
//		sv.RequireRead(limit)
//	}
package flood

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// chunkBytes is the size of what is written at once.
	chunkBytes = 16 << 10
	// slackBytes is how much more than its limit may be taken from a reply: the kernel buffers up to
	// 32 MiB at the receiver and 4 MiB at the sender, and a reader some KiB.
	slackBytes = 40 << 20
	// writeTimeout ends a reply that is not read any more although its connection is open.
	writeTimeout = 20 * time.Second
)

// Reply is the text of a reply that has no end.
type Reply struct {
	Name string
	// Once is written once, and then Repeated until the connection is closed.
	Once, Repeated string
}

// Replies returns replies without end, in the head and in the body.
func Replies() []Reply {
	const chunked = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := strings.Repeat("x", chunkBytes)
	return []Reply{
		{"status line", "HTTP/1.1 200 ", chunk},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X: " + chunk + "\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nX: " + chunk + "\r\n\r\n"},
		{"body without length", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n", chunk},
		{"error without length", "HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\n\r\n", chunk},
		{"chunks", chunked, "4000\r\n" + chunk + "\r\n"},
		{"trailer", chunked + "0\r\n", "X: " + chunk + "\r\n"},
	}
}

// Server replies to each connection without end.
type Server struct {
	t  *testing.T
	ln net.Listener
	rp Reply
	// written counts the bytes that the clients have taken, open the connections that still take
	// some.
	written, open atomic.Int64
}

// Serve starts a server on loopback, which ends with the test.
func Serve(t *testing.T, rp Reply) *Server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	sv := &Server{t: t, ln: ln, rp: rp}
	t.Cleanup(func() { _ = ln.Close() })
	go sv.accept()
	return sv
}

// Addr returns the listening address.
func (sv *Server) Addr() string { return sv.ln.Addr().String() }

// RequireRead fails the test unless the clients close their connections, and have taken no more than
// limit and some bytes for the buffers.
func (sv *Server) RequireRead(limit int64) {
	sv.t.Helper()
	for end := time.Now().Add(writeTimeout); sv.open.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	sv.t.Logf("%d bytes taken", sv.written.Load())
	is := is.New(sv.t)
	is.Equal(sv.open.Load(), int64(0))
	is.True(sv.written.Load() <= limit+slackBytes)
}

func (sv *Server) accept() {
	for {
		nc, err := sv.ln.Accept()
		if err != nil {
			return
		}
		sv.open.Add(1)
		go sv.reply(nc)
	}
}

func (sv *Server) reply(nc net.Conn) {
	defer sv.open.Add(-1)
	defer nc.Close()
	// The reply follows the first bytes of the request.
	if _, err := nc.Read(make([]byte, 1)); err != nil {
		return
	}
	text := sv.rp.Once
	for {
		if err := nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return
		}
		n, err := io.WriteString(nc, text)
		sv.written.Add(int64(n))
		if err != nil {
			return
		}
		text = sv.rp.Repeated
	}
}
