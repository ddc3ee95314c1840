package accept

import (
	"bytes"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// interimPrefix begins the interim reply that asks for a request's body; it does not end the
// request.
const interimPrefix = "HTTP/1.1 100"

// Conn is a connection that knows whether it is idle.
type Conn struct {
	net.Conn
	ln *Listener

	mu sync.Mutex
	// inRequest is set by the first byte of a request.
	inRequest bool
	// answered is set once a reply is written, until the next request.
	answered bool
	// handlers counts running handlers. It is needed because a request that came in one packet
	// with the previous one starts without a further read.
	handlers int
	// requests counts the handlers that have started.
	requests int
	// closedIdle is set if the connection was closed while idle.
	closedIdle bool
}

// Read reads from the connection. A read after a reply means that the server waits for the next
// request; while the listener drains, it then returns io.EOF.
func (cn *Conn) Read(p []byte) (int, error) {
	if cn.updateIdle() && cn.ln.isDraining() && !cn.hasUnread() {
		return 0, io.EOF
	}
	n, err := cn.Conn.Read(p)
	if n > 0 {
		cn.ln.bytesIn.Add(int64(n))
		cn.mu.Lock()
		cn.inRequest, cn.answered = true, false
		cn.mu.Unlock()
	}
	if err != nil && cn.wasClosedIdle() {
		// To the server this is a client that disconnected, not a malformed request that it
		// would have to refuse.
		err = io.EOF
	}
	return n, err
}

func (cn *Conn) wasClosedIdle() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.closedIdle
}

func (cn *Conn) updateIdle() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.answered && cn.handlers == 0 {
		cn.inRequest = false
	}
	return !cn.inRequest
}

// Write writes to the connection. Any reply but an interim one marks the request as answered.
func (cn *Conn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, []byte(interimPrefix)) {
		cn.mu.Lock()
		cn.answered = true
		cn.mu.Unlock()
	}
	n, err := cn.Conn.Write(p)
	cn.ln.bytesOut.Add(int64(n))
	return n, err
}

// Close closes the connection and removes it from its listener.
func (cn *Conn) Close() error {
	cn.ln.remove(cn)
	return cn.Conn.Close()
}

func (cn *Conn) closeIfIdle() {
	cn.mu.Lock()
	idle := !cn.inRequest && cn.handlers == 0 && !cn.hasUnread()
	cn.closedIdle = cn.closedIdle || idle
	cn.mu.Unlock()
	if idle {
		// The server's read fails, and it then closes its side too.
		_ = cn.Conn.Close()
	}
}

// roundTrip returns the kernel's estimate of the connection's round-trip time; 0 if it is not
// known.
func (cn *Conn) roundTrip() time.Duration {
	sc, ok := unwrap(cn.Conn).(syscall.Conn)
	if !ok {
		return 0
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	var ti *unix.TCPInfo
	if rc.Control(func(fd uintptr) { ti, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }) != nil || err != nil {
		return 0
	}
	return time.Duration(ti.Rtt) * time.Microsecond
}

// unwrap returns the innermost connection of those that wrap another one and expose it with
// NetConn, as tls.Conn does.
func unwrap(nc net.Conn) net.Conn {
	for {
		wr, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nc
		}
		nc = wr.NetConn()
	}
}

// hasUnread reports whether bytes have arrived that the server has not read yet. Without this
// check a request that is in the kernel's buffer when the connection is closed would be
// answered by a reset.
func (cn *Conn) hasUnread() bool {
	sc, ok := unwrap(cn.Conn).(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = rc.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}
