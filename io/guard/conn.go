package guard

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// listener returns connections that limit the time in which requests must arrive.
type listener struct {
	net.Listener
	cfg Config
}

func (ln *listener) Accept() (net.Conn, error) {
	nc, err := ln.Listener.Accept()
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: nc, cfg: ln.cfg}
	cn.startIdle()
	return cn, nil
}

// state is what the server is doing with a connection. It is inferred from the read deadlines that
// the library sets: none while a handler runs, because the library then reads to detect a
// disconnect, and a future one while it waits for a request.
type state uint8

const (
	// waiting for the first byte of a request.
	waiting state = iota
	// reading the rest of a request.
	reading
	// serving: a handler runs, or its answer is being written.
	serving
	// refused: the library's own error was replaced, and the connection will be closed.
	refused
)

// Limits of what a refused client may still send before its connection is closed.
const (
	lingerTime  = time.Second
	lingerBytes = 16 << 20
)

// errRequestTooLarge means that a request exceeds its limits as it is encoded.
var errRequestTooLarge = errors.New("the request is too large")

// chunkOverhead is how much larger a body in chunks may be than the body itself: 2 allows for chunks
// of five bytes.
const chunkOverhead = 2

// maxRequest returns the maximum size of a request as it is encoded, with room for a trailer.
func (cfg *Config) maxRequest() int { return 2*cfg.MaxHeader + chunkOverhead*cfg.MaxBody }

// conn limits the time in which a whole request must arrive, and replaces the errors that the
// library writes itself by error replies in JSON.
type conn struct {
	net.Conn
	cfg Config

	mu    sync.Mutex
	state state
	// libraryDeadline is the read deadline that the library set last.
	libraryDeadline time.Time
	// ownDeadline is when the next request must have begun, or the present one must be
	// complete; zero means no limit.
	ownDeadline time.Time
	// requestBytes counts what has been read of the present request.
	requestBytes int
}

// NetConn returns the underlying connection, for checks whether it has unread bytes.
func (cn *conn) NetConn() net.Conn { return cn.Conn }

// startIdle limits the wait for the first request, which the library does not.
func (cn *conn) startIdle() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.ownDeadline = time.Now().Add(cn.cfg.Times().Idle)
	// If this fails, the first read fails too.
	_ = cn.Conn.SetReadDeadline(cn.ownDeadline)
}

// Read sets the deadline of a request when its first byte arrives, and limits the request's size. The
// library limits headers and body, but not trailers and the white space between chunks.
func (cn *conn) Read(p []byte) (int, error) {
	n, err := cn.Conn.Read(p)
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if n > 0 && cn.state == waiting {
		cn.state = reading
		cn.requestBytes = 0
		cn.ownDeadline = time.Now().Add(cn.cfg.Times().Request)
		if deadlineErr := cn.applyDeadline(); err == nil {
			err = deadlineErr
		}
	}
	if cn.state == reading {
		cn.requestBytes += n
		if err == nil && cn.requestBytes > cn.cfg.maxRequest() {
			err = errRequestTooLarge
		}
	}
	return n, err
}

// SetReadDeadline sets the library's read deadline. It can shorten the time of a request, but not
// extend it.
func (cn *conn) SetReadDeadline(at time.Time) error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.libraryDeadline = at
	switch {
	case at.IsZero():
		cn.state = serving
		cn.ownDeadline = time.Time{}
	case cn.state == serving && time.Until(at) > 0:
		cn.state = waiting
		cn.ownDeadline = time.Now().Add(cn.cfg.Times().Idle)
	}
	return cn.applyDeadline()
}

// applyDeadline applies the earlier of the two deadlines. The caller holds the lock.
func (cn *conn) applyDeadline() error {
	at := cn.libraryDeadline
	if !cn.ownDeadline.IsZero() && (at.IsZero() || cn.ownDeadline.Before(at)) {
		at = cn.ownDeadline
	}
	return cn.Conn.SetReadDeadline(at)
}

// Write limits the time of each write, and replaces what was not written by a handler.
func (cn *conn) Write(p []byte) (int, error) {
	cn.mu.Lock()
	was := cn.state
	libraryError := was != serving && !isContinue(p)
	if libraryError {
		cn.state = refused
	}
	cn.mu.Unlock()
	if err := cn.SetWriteDeadline(time.Now().Add(cn.cfg.WriteTime)); err != nil {
		return 0, err
	}
	if !libraryError {
		return cn.Conn.Write(p)
	}
	if was != refused {
		answer, reason := replacementAnswer(p)
		cn.cfg.Refused(reason)
		if _, err := cn.Conn.Write(answer); err != nil {
			return 0, err
		}
	}
	return len(p), nil
}

// Close lets a refused client finish sending, within limits. Closing a connection with unread
// bytes resets it, and a client that is still sending a too large body would see the reset instead
// of the error reply.
func (cn *conn) Close() error {
	cn.mu.Lock()
	linger := cn.state == refused
	cn.state = serving
	cn.mu.Unlock()
	if half, ok := cn.Conn.(interface{ CloseWrite() error }); ok && linger && half.CloseWrite() == nil {
		if cn.Conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
			// The connection is closed next, so an error has no consequence.
			_, _ = io.CopyN(io.Discard, cn.Conn, lingerBytes)
		}
	}
	return cn.Conn.Close()
}
