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
	// opensPerTick bounds the connections opened without demand at each tick,
	// over all servers, so that a VM's cold start is no storm. A fleet of 80
	// that starts at once keeps each server busy for a tenth of a second.
	opensPerTick = 72
	// DefaultIdleClose is how long an idle connection is kept where the server
	// does not say; it is below the timeouts common for servers.
	DefaultIdleClose = 20 * time.Second
	// DefaultSpareClose is how long a connection beyond the warm ones is kept.
	DefaultSpareClose = 4 * time.Second
)

// Config sets a pool. Clock and HeaderID are required.
type Config struct {
	// Clock is the monotonic time since the process started.
	Clock func() time.Duration
	// HeaderID names the header in which servers echo a request's id.
	HeaderID string
	// Dial opens a connection; nil takes Dial of this package.
	Dial func(addr string, timeout time.Duration) (net.Conn, error)
	// Go runs a task in the background and never waits for others: it is called
	// with locks held. Nil starts a goroutine for each.
	Go func(task func())
	// Count is told of events of connections; it may be nil.
	Count func(event string)
	// Opened and Closed are told of each connection; they may be nil.
	Opened, Closed func()
	// Reached is told whether a connection to a server could be opened; it may
	// be nil.
	Reached func(pr origin.Process, ok bool)
	// Ended is told when a server has ended: its connections broke under requests, and it
	// refuses to be connected to again. Requests are the ids of some that broke, the first
	// ones. It may be nil.
	Ended func(pr origin.Process, requests []string)
	// OldestFirst starts the oldest of what waits for a server first, in place of the
	// newest.
	OldestFirst bool
	// IdleClose and SpareClose have defaults.
	IdleClose  time.Duration
	SpareClose time.Duration
}

// Pool holds the connections to all servers.
type Pool struct {
	cfg Config

	mu      sync.RWMutex
	servers map[origin.Process]*Server
}

// New makes an empty pool.
func New(cfg Config) *Pool {
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
	if cfg.Reached == nil {
		cfg.Reached = func(origin.Process, bool) {}
	}
	if cfg.Ended == nil {
		cfg.Ended = func(origin.Process, []string) {}
	}
	if cfg.IdleClose <= 0 {
		cfg.IdleClose = DefaultIdleClose
	}
	if cfg.SpareClose <= 0 {
		cfg.SpareClose = DefaultSpareClose
	}
	return &Pool{cfg: cfg, servers: make(map[origin.Process]*Server)}
}

// Sync takes a new directory: servers are keyed by process, so that a connection
// never outlives the process it was opened to into the next one at its address.
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
			sv = &Server{cfg: &po.cfg, process: up.Process(), addr: up.Addr, peak: peak.Peak{Span: peakSpan}}
			sv.waiting.OldestFirst = po.cfg.OldestFirst
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

// Send sends a request to a server; Done is told if it is not known any more.
func (po *Pool) Send(up *origin.Upstream, rq Request) *Call {
	po.mu.RLock()
	sv, ok := po.servers[up.Process()]
	po.mu.RUnlock()
	if !ok {
		sv = &Server{cfg: &po.cfg, process: up.Process(), addr: up.Addr, shut: true}
	}
	return sv.Send(rq)
}

// Allow bounds the requests to a server that are under way at once; the others
// wait here.
func (po *Pool) Allow(up *origin.Upstream, window int) {
	po.mu.RLock()
	sv, ok := po.servers[up.Process()]
	po.mu.RUnlock()
	if ok {
		sv.allow(window)
	}
}

// Tick looks after all connections once; call it a few times a second.
func (po *Pool) Tick() {
	now := po.cfg.Clock()
	po.mu.RLock()
	servers := make([]*Server, 0, len(po.servers))
	for _, sv := range po.servers {
		servers = append(servers, sv)
	}
	po.mu.RUnlock()
	// Another server first each time: the bound must starve none.
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	opens := opensPerTick
	for _, sv := range servers {
		if sv.tick(now, opens > 0) {
			opens--
		}
	}
}

// Cold counts the servers to which no connection is open though the plan keeps some
// warm.
func (po *Pool) Cold() int {
	po.mu.RLock()
	defer po.mu.RUnlock()
	cold := 0
	for _, sv := range po.servers {
		sv.mu.Lock()
		if sv.open-sv.dialing < min(1, sv.limits.Warm) {
			cold++
		}
		sv.mu.Unlock()
	}
	return cold
}

// Close gives all servers up.
func (po *Pool) Close() {
	po.Sync(origin.New(nil), func(*origin.Upstream) Limits { return Limits{} })
}
