package emul

import (
	"math/rand/v2"
	"sync"
	"time"

	"laburnumvane/io/wire"
)

// Defaults of an UpstreamConfig.
const (
	DefaultSlots        = 3
	DefaultQueue        = 3
	DefaultMaxSnapshots = 2
	DefaultMaxRuns      = 1 << 16
	DefaultRetryAfter   = 20 * time.Millisecond
)

// ServiceTime draws the service time of one sub-request. It is called by one goroutine at a
// time.
type ServiceTime func(rd *rand.Rand) time.Duration

// UpstreamConfig configures an Upstream. Zero values take the defaults.
type UpstreamConfig struct {
	// Clock measures the age of the status for StatusLag.
	Clock Clock
	// Seed makes service times and faults repeatable.
	Seed uint64
	// Slots is the number of sub-requests that run at once.
	Slots int
	// Queue is the number of sub-requests that can wait for a slot; below 0 means none.
	Queue int
	// Connections is the limit of open connections; 0 means no limit.
	Connections int
	// ConnSetupTime is the delay before a new connection is read.
	ConnSetupTime time.Duration
	// Service draws service times; nil means that sub-requests take no time.
	Service ServiceTime
	// MaxSnapshots is how many snapshots are held; the oldest is retired beyond that.
	MaxSnapshots int
	// MaxRuns is the number of recent runs kept in the run log.
	MaxRuns int
	// RetryAfter is the delay before a retry that a shed sub-request's refusal advises.
	RetryAfter time.Duration
	// ReportsOnly ignores the requested snapshot and serves the newest one held.
	ReportsOnly bool
	// State is the initial state; empty means serving.
	State wire.UpstreamState
	// Addr is the address to listen on; empty means a free loopback port.
	Addr string
}

// UpstreamFaults are the faults injected into a server. The zero value injects none.
type UpstreamFaults struct {
	// SlowShare is the fraction of sub-requests whose service time is multiplied by
	// SlowTimes.
	SlowShare float64
	SlowTimes float64
	// ErrorShare is the fraction of sub-requests that fail at once with status 500 and are
	// not run.
	ErrorShare float64
	// Mute accepts and runs requests but writes no bytes of a reply.
	Mute bool
	// SilentAfter makes each connection opened from now on go silent in both directions
	// after this many bytes have been written; 0 means never.
	SilentAfter int64
	// StatusLag is how long the load and health endpoints repeat a status before they
	// update it.
	StatusLag time.Duration
	// ClaimedState is a false state that those endpoints report, with no load; empty means the
	// actual state. Replies to sub-requests always report the actual state.
	ClaimedState wire.UpstreamState
}

// Upstream emulates one server of a service.
type Upstream struct {
	cfg UpstreamConfig

	mu          sync.Mutex
	host        *host // nil while crashed
	addr        string
	rnd         *rand.Rand
	state       wire.UpstreamState
	incarnation uint64
	faults      UpstreamFaults
	holdings    []holding // oldest snapshot first
	running     int
	queue       []*job
	jobs        map[string]*job
	runLog      runLog
	refusals    map[wire.Refusal]uint64
	reported    wire.UpstreamStatus
	reportedAt  time.Duration
	hasReported bool
}

// holding is the set of shards of one snapshot that a server holds.
type holding struct {
	snap   *Snapshot
	shards []int
}

// NewUpstream returns a server that holds no shards and is not started.
func NewUpstream(cfg UpstreamConfig) *Upstream {
	cfg.Clock = orRealClock(cfg.Clock)
	cfg.Slots = orDefault(cfg.Slots, DefaultSlots)
	cfg.Queue = max(orDefault(cfg.Queue, DefaultQueue), 0)
	cfg.MaxSnapshots = orDefault(cfg.MaxSnapshots, DefaultMaxSnapshots)
	cfg.MaxRuns = orDefault(cfg.MaxRuns, DefaultMaxRuns)
	cfg.RetryAfter = orDefault(cfg.RetryAfter, DefaultRetryAfter)
	if cfg.Service == nil {
		cfg.Service = func(*rand.Rand) time.Duration { return 0 }
	}
	if cfg.State == "" {
		cfg.State = wire.UpstreamServing
	}
	return &Upstream{
		cfg:      cfg,
		addr:     orLoopback(cfg.Addr),
		rnd:      rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		state:    cfg.State,
		jobs:     map[string]*job{},
		runLog:   newRunLog(cfg.MaxRuns),
		refusals: map[wire.Refusal]uint64{},
	}
}

func orDefault[T int | time.Duration](val, def T) T {
	if val == 0 {
		return def
	}
	return val
}

// Start serves on the configured address as incarnation 1.
func (up *Upstream) Start() error {
	return up.start("Upstream.Start", up.cfg.State)
}

// Restart serves again after a crash, at the same address and in the given state, as the next
// incarnation. Sub-requests from before the crash are lost.
func (up *Upstream) Restart(state wire.UpstreamState) error {
	return up.start("Upstream.Restart", state)
}

func (up *Upstream) start(op string, state wire.UpstreamState) error {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.host != nil {
		return errorf(op, KindState, "already serving on %s", up.addr)
	}
	ho, err := startHost(up.addr, up.configureListener, up.routes())
	if err != nil {
		return newError(op, KindListen, err)
	}
	up.host = ho
	up.addr = ho.addr()
	up.incarnation++
	up.state = state
	up.hasReported = false
	return nil
}

func (up *Upstream) configureListener(li *faultListener) {
	li.limit = up.cfg.Connections
	li.setup = up.cfg.ConnSetupTime
	li.silentAfter = up.faults.SilentAfter
	li.mute.Store(up.faults.Mute)
}

// Addr returns the host and port of the server; a restart does not change it.
func (up *Upstream) Addr() string {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.addr
}

// Crash closes the listener and all connections and aborts all sub-requests.
func (up *Upstream) Crash() {
	up.mu.Lock()
	ho := up.host
	up.host = nil
	up.mu.Unlock()
	if ho != nil {
		ho.close()
	}
}

// Close stops the server. It is the same as Crash.
func (up *Upstream) Close() { up.Crash() }

// Silence makes all open connections go silent permanently. New ones work.
func (up *Upstream) Silence() {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.host != nil {
		up.host.listener.silenceAll()
	}
}

// SetFaults replaces the injected faults.
func (up *Upstream) SetFaults(uf UpstreamFaults) {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.faults = uf
	if up.host != nil {
		up.host.listener.setSilentAfter(uf.SilentAfter)
		up.host.listener.mute.Store(uf.Mute)
	}
}

// SetState makes the server cold, serving or draining. Sub-requests accepted before are
// completed.
func (up *Upstream) SetState(state wire.UpstreamState) {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.state = state
}

// Hold adds the shards of a newer snapshot, and retires the oldest snapshot if more than
// MaxSnapshots are held then.
func (up *Upstream) Hold(snap *Snapshot, shards []int) {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.holdings = append(up.holdings, holding{snap: snap, shards: shards})
	if over := len(up.holdings) - up.cfg.MaxSnapshots; over > 0 {
		up.holdings = append([]holding(nil), up.holdings[over:]...)
	}
}

// Retire drops a snapshot at once.
func (up *Upstream) Retire(version uint64) {
	up.mu.Lock()
	defer up.mu.Unlock()
	kept := make([]holding, 0, len(up.holdings))
	for _, hd := range up.holdings {
		if hd.snap.Version != version {
			kept = append(kept, hd)
		}
	}
	up.holdings = kept
}

// Connections returns the number of open connections, and how many were refused because of the
// limit since the start of this incarnation.
func (up *Upstream) Connections() (open int, refused uint64) {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.host == nil {
		return 0, 0
	}
	return up.host.listener.countOpen(), up.host.listener.rejected.Load()
}

// Refused returns how often a refusal was given.
func (up *Upstream) Refused(rf wire.Refusal) uint64 {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.refusals[rf]
}

// Load returns the actual present load.
func (up *Upstream) Load() wire.UpstreamLoad {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.load()
}

func (up *Upstream) load() wire.UpstreamLoad {
	return wire.UpstreamLoad{
		Incarnation: up.incarnation,
		State:       up.state,
		InFlight:    up.running,
		Queued:      len(up.queue),
	}
}
