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

// interim begins the reply that asks for a request's body; it ends no request.
const interim = "HTTP/1.1 100"

// Conn is a connection that knows whether a request is under way.
type Conn struct {
	net.Conn
	ln *Listener

	mu sync.Mutex
	// begun is set by the first byte of a request.
	begun bool
	// answered is set once a reply is written, until the next request.
	answered bool
	// running counts handlers: a request that came in one packet with the one
	// before needs no further read to begin.
	running int
	// begins counts the handlers that began.
	begins int
	// shut is set when the connection was closed as idle.
	shut bool
}

// Read reads from the connection. A server that reads after it has answered
// waits for the next request.
func (cn *Conn) Read(p []byte) (int, error) {
	if cn.becomesIdle() && cn.ln.isDraining() && !cn.pending() {
		return 0, io.EOF
	}
	n, err := cn.Conn.Read(p)
	if n > 0 {
		cn.ln.in.Add(int64(n))
		cn.mu.Lock()
		cn.begun, cn.answered = true, false
		cn.mu.Unlock()
	}
	if err != nil && cn.wasShut() {
		// To the server this is a client that went away, not a request
		// that it would have to refuse.
		err = io.EOF
	}
	return n, err
}

func (cn *Conn) wasShut() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.shut
}

func (cn *Conn) becomesIdle() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.answered && cn.running == 0 {
		cn.begun = false
	}
	return !cn.begun
}

// Write writes to the connection.
func (cn *Conn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, []byte(interim)) {
		cn.mu.Lock()
		cn.answered = true
		cn.mu.Unlock()
	}
	n, err := cn.Conn.Write(p)
	cn.ln.out.Add(int64(n))
	return n, err
}

// Close closes the connection.
func (cn *Conn) Close() error {
	cn.ln.forget(cn)
	return cn.Conn.Close()
}

func (cn *Conn) closeIfIdle() {
	cn.mu.Lock()
	idle := !cn.begun && cn.running == 0 && !cn.pending()
	cn.shut = cn.shut || idle
	cn.mu.Unlock()
	if idle {
		// The server's read fails and it closes its side too.
		_ = cn.Conn.Close()
	}
}

// roundTrip is that of the connection as the kernel sees it; 0 if it does not tell.
func (cn *Conn) roundTrip() time.Duration {
	sc, ok := bare(cn.Conn).(syscall.Conn)
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

// bare is the connection under those that wrap it and say so, as tls.Conn does.
func bare(nc net.Conn) net.Conn {
	for {
		wr, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nc
		}
		nc = wr.NetConn()
	}
}

// pending tells whether bytes have arrived that the server has not read yet.
// Without this look a request that is in the kernel's buffer at the moment of
// the close would be answered by a reset.
func (cn *Conn) pending() bool {
	sc, ok := bare(cn.Conn).(syscall.Conn)
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
