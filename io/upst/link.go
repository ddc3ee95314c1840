package upst

import (
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// errShort tells that more bytes were taken than are buffered.
var errShort = errors.New("fewer bytes are buffered")

// linkBuffer is the size of a new connection's buffers; they grow to what
// passes through and are kept.
const linkBuffer = 2 << 10

// link is a TCP connection with the buffers that the HTTP library's reader and
// writer ask for. The library's own connection hides how many bytes were
// written, without which a failed write could not be told from one that may
// have reached the server.
type link struct {
	nc net.Conn
	// in holds what was read; in[from:] is still to be taken.
	in   []byte
	from int
	out  []byte
	// written counts the bytes that the kernel has accepted.
	written int64
	// raw and peek look at the socket for alive, which leaves its finding in
	// quiet. Both are made once: alive is called before each request.
	raw   syscall.RawConn
	peek  func(fd uintptr)
	quiet bool
}

func newLink(nc net.Conn) *link {
	li := &link{nc: nc, in: make([]byte, 0, linkBuffer), out: make([]byte, 0, linkBuffer)}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return li
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return li
	}
	li.raw = raw
	one := make([]byte, 1)
	li.peek = func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), one, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		li.quiet = err == syscall.EAGAIN || err == syscall.EINTR
	}
	return li
}

// Peek returns the next n bytes; they stay valid until the next Peek.
func (li *link) Peek(n int) ([]byte, error) {
	for len(li.in)-li.from < n {
		if err := li.fill(n); err != nil {
			return nil, err
		}
	}
	return li.in[li.from : li.from+n], nil
}

func (li *link) fill(n int) error {
	if li.from == len(li.in) {
		li.in, li.from = li.in[:0], 0
	}
	if li.from+n > cap(li.in) {
		grown := make([]byte, len(li.in)-li.from, max(2*cap(li.in), n))
		copy(grown, li.in[li.from:])
		li.in, li.from = grown, 0
	}
	got, err := li.nc.Read(li.in[len(li.in):cap(li.in)])
	li.in = li.in[:len(li.in)+got]
	if got > 0 {
		// An error that came with bytes comes again with the next read.
		return nil
	}
	return err
}

// Skip takes n bytes.
func (li *link) Skip(n int) error {
	if n > li.Len() {
		return errShort
	}
	li.from += n
	return nil
}

// ReadByte takes one byte.
func (li *link) ReadByte() (byte, error) {
	b, err := li.Peek(1)
	if err != nil {
		return 0, err
	}
	li.from++
	return b[0], nil
}

// ReadBinary takes n bytes into a slice of their own.
func (li *link) ReadBinary(n int) ([]byte, error) {
	b, err := li.Peek(n)
	if err != nil {
		return nil, err
	}
	li.from += n
	return append([]byte(nil), b...), nil
}

// Len is the number of bytes buffered.
func (li *link) Len() int {
	return len(li.in) - li.from
}

// Release is a no-op: the buffer is kept for the next exchange.
func (li *link) Release() error {
	return nil
}

// Malloc returns room for n bytes of output.
func (li *link) Malloc(n int) ([]byte, error) {
	at := len(li.out)
	li.out = append(li.out, make([]byte, n)...)
	return li.out[at:], nil
}

// WriteBinary buffers output.
func (li *link) WriteBinary(b []byte) (int, error) {
	li.out = append(li.out, b...)
	return len(b), nil
}

// Flush writes what is buffered.
func (li *link) Flush() error {
	n, err := li.nc.Write(li.out)
	li.written += int64(n)
	li.out = li.out[:0]
	return err
}

// alive tells whether an idle connection may still be used: nothing is waiting
// to be read, neither an end nor bytes that nobody asked for. A server that
// crashed or closed it shows here, before a request is lost on it.
func (li *link) alive() bool {
	if li.Len() > 0 {
		return false
	}
	if li.raw == nil {
		return true
	}
	li.quiet = false
	err := li.raw.Control(li.peek)
	return err == nil && li.quiet
}

func (li *link) setDeadline(at time.Time) error {
	return li.nc.SetDeadline(at)
}

func (li *link) close() {
	// The connection is given up; there is nothing to do about an error.
	_ = li.nc.Close()
}
