package relay

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"laburnumvane/core/origin"
	"laburnumvane/core/peak"
)

const (
	// dialsPerTick limits the connections opened without demand at each tick, over all servers,
	// so that the start of many VMs does not overload servers. A fleet of 80 VMs that start at
	// once keeps each server busy for a tenth of a second.
	dialsPerTick = 72
	// DefaultIdleTimeout is how long an idle connection is kept if the server does not say; it
	// is below the usual timeouts of servers.
	DefaultIdleTimeout = 20 * time.Second
	// DefaultSpareTimeout is how long an idle connection beyond the planned number is kept.
	DefaultSpareTimeout = 4 * time.Second
)

// Config configures a pool. Clock and HeaderID are required.
type Config struct {
	// Clock returns the monotonic time since the process started.
	Clock func() time.Duration
	// HeaderID is the header in which servers echo a request's id.
	HeaderID string
	// Dial opens a connection; nil means the Dial of this package.
	Dial func(addr string, timeout time.Duration) (net.Conn, error)
	// Go runs a task in the background. It must not block, because it is called with locks
	// held. Nil starts a goroutine for each task.
	Go func(task func())
	// Count is called for each event of a connection; it may be nil.
	Count func(event string)
	// Opened and Closed are called for each connection; they may be nil.
	Opened, Closed func()
	// Dialled is called with whether a connection to a server could be opened; it may be nil.
	Dialled func(pr origin.Process, ok bool)
	// Ended is called when a server has ended: its connections broke under requests, and it
	// refuses new ones. requests are the ids of the first ones that broke. It may be nil.
	Ended func(pr origin.Process, requests []string)
	// OldestFirst starts queued requests for a server in the order of their arrival instead of
	// newest first.
	OldestFirst bool
	// IdleTimeout and SpareTimeout default to DefaultIdleTimeout and DefaultSpareTimeout.
	IdleTimeout  time.Duration
	SpareTimeout time.Duration

	// bodies is shared by all connections of the pool.
	bodies *bodyReader
}

// Pool holds the connections to all servers.
type Pool struct {
	cfg Config

	mu      sync.RWMutex
	servers map[origin.Process]*Server
}

// New creates an empty pool.
func New(cfg Config) *Pool {
	cfg.bodies = &bodyReader{}
	if cfg.Dial == nil {
		cfg.Dial = Dial
	}
	if cfg.Go == nil {
		cfg.Go = func(task func()) { go task() }
	}
	if cfg.Count == nil {
		cfg.Count = func(string) {}
	}
	if cfg.Opened == nil {
		cfg.Opened = func() {}
	}
	if cfg.Closed == nil {
		cfg.Closed = func() {}
	}
	if cfg.Dialled == nil {
		cfg.Dialled = func(origin.Process, bool) {}
	}
	if cfg.Ended == nil {
		cfg.Ended = func(origin.Process, []string) {}
	}
	if cfg.IdleTimeout <= 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.SpareTimeout <= 0 {
		cfg.SpareTimeout = DefaultSpareTimeout
	}
	return &Pool{cfg: cfg, servers: make(map[origin.Process]*Server)}
}

// Sync applies a new directory and the limits that plan returns for each server. Servers are
// keyed by process, so that a connection to one process is never used for the next process at
// its address.
func (po *Pool) Sync(dir *origin.Directory, plan func(up *origin.Upstream) Limits) {
	po.mu.Lock()
	var gone []*Server
	for pr, sv := range po.servers {
		if !dir.Has(pr) {
			gone = append(gone, sv)
			delete(po.servers, pr)
		}
	}
	var halted []*Call
	dir.All(func(up *origin.Upstream) {
		sv, ok := po.servers[up.Process()]
		if !ok {
			sv = &Server{cfg: &po.cfg, process: up.Process(), addr: up.Addr, peak: peak.Peak{Span: peakWindow}}
			sv.queue.OldestFirst = po.cfg.OldestFirst
			po.servers[up.Process()] = sv
		}
		halted = append(halted, sv.setLimits(plan(up))...)
	})
	po.mu.Unlock()
	for _, ca := range halted {
		ca.fail("relay.Sync", KindClosed, false, nil)
	}
	for _, sv := range gone {
		sv.close()
	}
}

// Send sends a request to a server. If the server is not in the directory, Done gets an error.
func (po *Pool) Send(up *origin.Upstream, rq Request) *Call {
	po.mu.RLock()
	sv, ok := po.servers[up.Process()]
	po.mu.RUnlock()
	if !ok {
		sv = &Server{cfg: &po.cfg, process: up.Process(), addr: up.Addr, closed: true}
	}
	return sv.Send(rq)
}

// SetWindow limits the number of concurrent requests to a server; further ones wait in its
// queue.
func (po *Pool) SetWindow(up *origin.Upstream, window int) {
	po.mu.RLock()
	sv, ok := po.servers[up.Process()]
	po.mu.RUnlock()
	if ok {
		sv.setWindow(window)
	}
}

// Tick maintains all connections once; call it a few times a second.
func (po *Pool) Tick() {
	now := po.cfg.Clock()
	po.mu.RLock()
	servers := make([]*Server, 0, len(po.servers))
	for _, sv := range po.servers {
		servers = append(servers, sv)
	}
	po.mu.RUnlock()
	// Shuffle, so that the limit does not starve the same servers each time.
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	opens := dialsPerTick
	for _, sv := range servers {
		if sv.tick(now, opens > 0) {
			opens--
		}
	}
}

// ColdServers counts the servers that have no open connection although the plan keeps some.
func (po *Pool) ColdServers() int {
	po.mu.RLock()
	defer po.mu.RUnlock()
	cold := 0
	for _, sv := range po.servers {
		sv.mu.Lock()
		if sv.open-sv.dialing < min(1, sv.limits.Idle) {
			cold++
		}
		sv.mu.Unlock()
	}
	return cold
}

// Close removes all servers.
func (po *Pool) Close() {
	po.Sync(origin.New(nil), func(*origin.Upstream) Limits { return Limits{} })
}
