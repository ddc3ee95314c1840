package emul

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// gate is a listener that keeps hold of its connections, so that a server can
// limit them, drop them all, or make them go silent.
type gate struct {
	net.Listener

	mu       sync.Mutex
	conns    map[string]*gateConn // by remote address
	limit    int                  // 0 means none
	refuse   bool
	setup    time.Duration
	silentAt int64 // bytes written before a new connection goes silent; 0 means never
	mute     atomic.Bool

	accepted atomic.Uint64
	rejected atomic.Uint64
}

func openGate(addr string) (*gate, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &gate{Listener: ln, conns: map[string]*gateConn{}}, nil
}

// Accept gives the next connection that fits under the limit and closes the
// others at once.
func (gt *gate) Accept() (net.Conn, error) {
	for {
		nc, err := gt.Listener.Accept()
		if err != nil {
			return nil, err
		}
		gc := gt.admit(nc)
		if gc != nil {
			gt.accepted.Add(1)
			return gc, nil
		}
		gt.rejected.Add(1)
		_ = nc.Close()
	}
}

func (gt *gate) admit(nc net.Conn) *gateConn {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if gt.refuse {
		return nil
	}
	if gt.limit > 0 && len(gt.conns) >= gt.limit {
		return nil
	}
	gc := &gateConn{Conn: nc, gate: gt, setup: gt.setup, left: gt.silentAt}
	gc.counted = gt.silentAt > 0
	gt.conns[nc.RemoteAddr().String()] = gc
	return gc
}

func (gt *gate) forget(gc *gateConn) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	key := gc.RemoteAddr().String()
	if gt.conns[key] == gc {
		delete(gt.conns, key)
	}
}

func (gt *gate) open() int {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	return len(gt.conns)
}

func (gt *gate) all() []*gateConn {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gcs := make([]*gateConn, 0, len(gt.conns))
	for _, gc := range gt.conns {
		gcs = append(gcs, gc)
	}
	return gcs
}

func (gt *gate) find(remote net.Addr) *gateConn {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	return gt.conns[remote.String()]
}

// setRefuse makes the server look down: open connections break and new ones
// are closed before a byte is read.
func (gt *gate) setRefuse(on bool) {
	gt.mu.Lock()
	gt.refuse = on
	gt.mu.Unlock()
	if on {
		gt.dropAll()
	}
}

func (gt *gate) setSilentAfter(n int64) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.silentAt = n
}

func (gt *gate) silenceAll() {
	for _, gc := range gt.all() {
		gc.silent.Store(true)
	}
}

func (gt *gate) dropAll() {
	for _, gc := range gt.all() {
		_ = gc.Close()
	}
}

// gateConn is a connection that can go silent for good. A silent connection
// stays open, swallows what is written and drops what arrives: the other end
// sees neither an answer nor an error, as behind a middlebox that has lost the
// connection's state.
type gateConn struct {
	net.Conn
	gate *gate

	setup   time.Duration
	ready   bool // of the reading goroutine alone
	counted bool
	left    int64
	silent  atomic.Bool
}

// Read delays the first bytes by the cost of a new connection.
func (gc *gateConn) Read(p []byte) (int, error) {
	if !gc.ready {
		gc.ready = true
		time.Sleep(gc.setup)
	}
	for {
		n, err := gc.Conn.Read(p)
		if err != nil {
			return n, err
		}
		if !gc.silent.Load() {
			return n, nil
		}
	}
}

// Write passes on the bytes that the fault leaves over and swallows the rest.
func (gc *gateConn) Write(p []byte) (int, error) {
	if gc.silent.Load() || gc.gate.mute.Load() {
		return len(p), nil
	}
	if !gc.counted || int64(len(p)) < gc.left {
		gc.left -= int64(len(p))
		return gc.Conn.Write(p)
	}
	head := p[:gc.left]
	gc.silent.Store(true)
	if n, err := gc.Conn.Write(head); err != nil {
		return n, err
	}
	return len(p), nil
}

// Close closes the connection and gives its place back.
func (gc *gateConn) Close() error {
	gc.gate.forget(gc)
	return gc.Conn.Close()
}
