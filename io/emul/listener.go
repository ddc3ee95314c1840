package emul

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// faultListener is a listener that tracks its connections, so that a server can limit them,
// close them all, or make them go silent.
type faultListener struct {
	net.Listener

	mu          sync.Mutex
	conns       map[string]*faultConn // by remote address
	limit       int                   // 0 means no limit
	refuse      bool
	setup       time.Duration
	silentAfter int64 // bytes written before a new connection goes silent; 0 means never
	mute        atomic.Bool

	accepted atomic.Uint64
	rejected atomic.Uint64
}

func openListener(addr string) (*faultListener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &faultListener{Listener: ln, conns: map[string]*faultConn{}}, nil
}

// Accept returns the next connection within the limit and closes the others at once.
func (li *faultListener) Accept() (net.Conn, error) {
	for {
		nc, err := li.Listener.Accept()
		if err != nil {
			return nil, err
		}
		fc := li.admit(nc)
		if fc != nil {
			li.accepted.Add(1)
			return fc, nil
		}
		li.rejected.Add(1)
		_ = nc.Close()
	}
}

func (li *faultListener) admit(nc net.Conn) *faultConn {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.refuse {
		return nil
	}
	if li.limit > 0 && len(li.conns) >= li.limit {
		return nil
	}
	fc := &faultConn{Conn: nc, listener: li, setup: li.setup, remaining: li.silentAfter}
	fc.limited = li.silentAfter > 0
	li.conns[nc.RemoteAddr().String()] = fc
	return fc
}

func (li *faultListener) removeConn(fc *faultConn) {
	li.mu.Lock()
	defer li.mu.Unlock()
	key := fc.RemoteAddr().String()
	if li.conns[key] == fc {
		delete(li.conns, key)
	}
}

func (li *faultListener) countOpen() int {
	li.mu.Lock()
	defer li.mu.Unlock()
	return len(li.conns)
}

func (li *faultListener) openConns() []*faultConn {
	li.mu.Lock()
	defer li.mu.Unlock()
	fcs := make([]*faultConn, 0, len(li.conns))
	for _, fc := range li.conns {
		fcs = append(fcs, fc)
	}
	return fcs
}

func (li *faultListener) findConn(remote net.Addr) *faultConn {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.conns[remote.String()]
}

// setRefuse makes the server look down: open connections are closed, and new ones are closed
// before a byte is read.
func (li *faultListener) setRefuse(on bool) {
	li.mu.Lock()
	li.refuse = on
	li.mu.Unlock()
	if on {
		li.closeAll()
	}
}

func (li *faultListener) setSilentAfter(n int64) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.silentAfter = n
}

func (li *faultListener) silenceAll() {
	for _, fc := range li.openConns() {
		fc.silent.Store(true)
	}
}

func (li *faultListener) closeAll() {
	for _, fc := range li.openConns() {
		_ = fc.Close()
	}
}

// faultConn is a connection that can go silent permanently. A silent connection stays open and
// discards the bytes written and received: the other end sees neither an answer nor an error, as
// behind a middlebox that has lost the connection's state.
type faultConn struct {
	net.Conn
	listener *faultListener

	setup     time.Duration
	setupDone bool // used by the reading goroutine only
	limited   bool
	remaining int64
	silent    atomic.Bool
}

// Read delays the first read by the setup time, and discards what arrives on a silent
// connection.
func (fc *faultConn) Read(p []byte) (int, error) {
	if !fc.setupDone {
		fc.setupDone = true
		time.Sleep(fc.setup)
	}
	for {
		n, err := fc.Conn.Read(p)
		if err != nil {
			return n, err
		}
		if !fc.silent.Load() {
			return n, nil
		}
	}
}

// Write writes the bytes up to the limit of a fault and discards the rest, without an error.
func (fc *faultConn) Write(p []byte) (int, error) {
	if fc.silent.Load() || fc.listener.mute.Load() {
		return len(p), nil
	}
	if !fc.limited || int64(len(p)) < fc.remaining {
		fc.remaining -= int64(len(p))
		return fc.Conn.Write(p)
	}
	head := p[:fc.remaining]
	fc.silent.Store(true)
	if n, err := fc.Conn.Write(head); err != nil {
		return n, err
	}
	return len(p), nil
}

// Close closes the connection, which then no longer counts towards the limit.
func (fc *faultConn) Close() error {
	fc.listener.removeConn(fc)
	return fc.Conn.Close()
}
