package upst

import (
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// errTooLarge means that the head, the body or the trailer of a reply exceeds its limit.
var errTooLarge = errors.New("the reply is too large")

// errSkipTooFar means that more bytes were skipped than are buffered.
var errSkipTooFar = errors.New("skip exceeds the buffered bytes")

// initialBufferBytes is the size of a new connection's buffers. They grow as needed and are kept.
const initialBufferBytes = 2 << 10

// bufConn is a TCP connection with the buffering that the HTTP library's reader and writer need.
// The library's own connection does not tell how many bytes were written, so a write of which
// nothing was sent could not be distinguished from one that may have reached the server.
type bufConn struct {
	nc net.Conn
	// in holds the bytes read; in[from:] is not consumed yet.
	in   []byte
	from int
	// maxUnread limits the unconsumed bytes, maxRead those still to be read; 0 is no limit.
	maxUnread, maxRead int
	out                []byte
	// written counts the bytes that the kernel has accepted.
	written int64
	// alive uses raw and peekSocket to check the socket for input; the result is in noInput.
	// They are created once because alive is called before each request.
	raw        syscall.RawConn
	peekSocket func(fd uintptr)
	noInput    bool
}

func newBufConn(nc net.Conn) *bufConn {
	bc := &bufConn{nc: nc, in: make([]byte, 0, initialBufferBytes), out: make([]byte, 0, initialBufferBytes)}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return bc
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return bc
	}
	bc.raw = raw
	one := make([]byte, 1)
	bc.peekSocket = func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), one, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		bc.noInput = err == syscall.EAGAIN || err == syscall.EINTR
	}
	return bc
}

// Peek returns the next n bytes; they stay valid until the next Peek.
func (bc *bufConn) Peek(n int) ([]byte, error) {
	for len(bc.in)-bc.from < n {
		if bc.maxUnread > 0 && n > bc.maxUnread {
			return nil, errTooLarge
		}
		if err := bc.fill(n); err != nil {
			return nil, err
		}
	}
	return bc.in[bc.from : bc.from+n], nil
}

func (bc *bufConn) fill(n int) error {
	if bc.from == len(bc.in) {
		bc.in, bc.from = bc.in[:0], 0
	}
	if bc.from+n > cap(bc.in) {
		grown := make([]byte, len(bc.in)-bc.from, max(2*cap(bc.in), n))
		copy(grown, bc.in[bc.from:])
		bc.in, bc.from = grown, 0
	}
	got, err := bc.nc.Read(bc.in[len(bc.in):cap(bc.in)])
	bc.in = bc.in[:len(bc.in)+got]
	if bc.maxRead > 0 {
		if bc.maxRead -= got; bc.maxRead <= 0 {
			return errTooLarge
		}
	}
	if got > 0 {
		// An error returned together with bytes is returned again by the next read.
		return nil
	}
	return err
}

// setLimits limits the unconsumed bytes and those still to be read; 0 is no limit.
func (bc *bufConn) setLimits(maxUnread, maxRead int) { bc.maxUnread, bc.maxRead = maxUnread, maxRead }

// Skip consumes n buffered bytes; it returns an error if fewer are buffered.
func (bc *bufConn) Skip(n int) error {
	if n > bc.Len() {
		return errSkipTooFar
	}
	bc.from += n
	return nil
}

// ReadByte consumes one byte.
func (bc *bufConn) ReadByte() (byte, error) {
	b, err := bc.Peek(1)
	if err != nil {
		return 0, err
	}
	bc.from++
	return b[0], nil
}

// ReadBinary consumes n bytes and returns a copy of them.
func (bc *bufConn) ReadBinary(n int) ([]byte, error) {
	b, err := bc.Peek(n)
	if err != nil {
		return nil, err
	}
	bc.from += n
	return append([]byte(nil), b...), nil
}

// Len returns the number of unconsumed bytes in the input buffer.
func (bc *bufConn) Len() int {
	return len(bc.in) - bc.from
}

// Release does nothing: the buffer is kept for the next exchange.
func (bc *bufConn) Release() error {
	return nil
}

// Malloc appends n bytes to the output buffer and returns them for writing.
func (bc *bufConn) Malloc(n int) ([]byte, error) {
	start := len(bc.out)
	bc.out = append(bc.out, make([]byte, n)...)
	return bc.out[start:], nil
}

// WriteBinary appends b to the output buffer.
func (bc *bufConn) WriteBinary(b []byte) (int, error) {
	bc.out = append(bc.out, b...)
	return len(b), nil
}

// Flush writes the output buffer to the connection and empties it.
func (bc *bufConn) Flush() error {
	n, err := bc.nc.Write(bc.out)
	bc.written += int64(n)
	bc.out = bc.out[:0]
	return err
}

// alive reports whether an idle connection can still be used: there is nothing to read, neither
// the end of the stream nor unexpected bytes. This detects a server that has crashed or closed
// the connection before a request is lost on it.
func (bc *bufConn) alive() bool {
	if bc.Len() > 0 {
		return false
	}
	if bc.raw == nil {
		return true
	}
	bc.noInput = false
	err := bc.raw.Control(bc.peekSocket)
	return err == nil && bc.noInput
}

func (bc *bufConn) setDeadline(at time.Time) error {
	return bc.nc.SetDeadline(at)
}

func (bc *bufConn) close() {
	// The connection is no longer used; an error to close it has no consequence.
	_ = bc.nc.Close()
}
