package accept

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener accepts connections that know whether they are idle.
type Listener struct {
	net.Listener
	mu                sync.Mutex
	draining          bool
	conns             map[*Conn]struct{}
	accepted          bool
	bytesIn, bytesOut atomic.Int64
}

// Bytes returns the number of bytes read and written on all connections so far.
func (ln *Listener) Bytes() (in, out int64) {
	return ln.bytesIn.Load(), ln.bytesOut.Load()
}

// New wraps a listener.
func New(ln net.Listener) *Listener {
	return &Listener{Listener: ln, conns: make(map[*Conn]struct{})}
}

// Accept waits for the next connection.
func (ln *Listener) Accept() (net.Conn, error) {
	nc, err := ln.Listener.Accept()
	if err != nil {
		return nil, err
	}
	cn := &Conn{Conn: nc, ln: ln}
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.conns[cn] = struct{}{}
	ln.accepted = true
	return cn, nil
}

// Accepted reports whether there ever was a connection.
func (ln *Listener) Accepted() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.accepted
}

// Drain closes the connections that are idle, and from now on each other one as soon as it
// becomes idle. Call it once no more requests are expected, and then close the listener.
func (ln *Listener) Drain() {
	ln.mu.Lock()
	ln.draining = true
	conns := make([]*Conn, 0, len(ln.conns))
	for cn := range ln.conns {
		conns = append(conns, cn)
	}
	ln.mu.Unlock()
	for _, cn := range conns {
		cn.closeIfIdle()
	}
}

// Abort closes every connection, whatever its state, and the listener, as if the VM crashed.
func (ln *Listener) Abort() {
	// The process is about to end; the error is of no use.
	_ = ln.Close()
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.draining = true
	for cn := range ln.conns {
		_ = cn.Conn.Close()
	}
}

// Len returns the number of open connections.
func (ln *Listener) Len() int {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return len(ln.conns)
}

func (ln *Listener) isDraining() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.draining
}

func (ln *Listener) remove(cn *Conn) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	delete(ln.conns, cn)
}
