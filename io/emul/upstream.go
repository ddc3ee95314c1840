package emul

import (
	"math/rand/v2"
	"sync"
	"time"

	"laburnumvane/io/wire"
)

// Defaults of an UpstreamConfig.
const (
	DefaultSlots      = 3
	DefaultQueue      = 3
	DefaultKeep       = 2
	DefaultRecord     = 1 << 16
	DefaultRetryAfter = 20 * time.Millisecond
)

// ServiceTime draws how long one sub-request takes. It is called by one
// goroutine at a time.
type ServiceTime func(rd *rand.Rand) time.Duration

// UpstreamConfig configures an Upstream. Zero values take the defaults.
type UpstreamConfig struct {
	// Clock ages the status that StatusLag holds back.
	Clock Clock
	// Seed makes service times and faults repeatable.
	Seed uint64
	// Slots is how many sub-requests run at once.
	Slots int
	// Queue is how many wait for a slot; below 0 means none.
	Queue int
	// Connections is how many may be open; 0 means any number.
	Connections int
	// Setup is the time that a new connection costs before it is read.
	Setup time.Duration
	// Service draws service times; nil means none at all.
	Service ServiceTime
	// Keep is how many snapshots are held, the newest ones.
	Keep int
	// Record is how many runs are remembered.
	Record int
	// RetryAfter is what a refusal by shedding advises.
	RetryAfter time.Duration
	// ReportsOnly ignores the snapshot wished for and serves the newest held.
	ReportsOnly bool
	// State is the state at the start; empty means serving.
	State wire.UpstreamState
	// Addr is listened on; empty means a free loopback port.
	Addr string
}

// UpstreamFaults are the ways in which a server can fail. The zero value works.
type UpstreamFaults struct {
	// SlowShare is the fraction of sub-requests that take SlowTimes as long.
	SlowShare float64
	SlowTimes float64
	// ErrorShare is the fraction that fails at once with status 500, unrun.
	ErrorShare float64
	// Mute takes and runs requests but writes no reply at all.
	Mute bool
	// SilentAfter lets each connection opened from now on go silent in both
	// directions once so many bytes are written; 0 means never.
	SilentAfter int64
	// StatusLag lets the load and health endpoints tell what was so long ago.
	StatusLag time.Duration
	// Claim is the state that those endpoints give, with no load, whatever is
	// so; empty means the truth. Replies to sub-requests stay true.
	Claim wire.UpstreamState
}

// Upstream stands in for one server of a service.
type Upstream struct {
	cfg UpstreamConfig

	mu          sync.Mutex
	host        *host // nil while crashed
	addr        string
	rnd         *rand.Rand
	state       wire.UpstreamState
	incarnation uint64
	faults      UpstreamFaults
	held        []holding // oldest snapshot first
	running     int
	queue       []*job
	jobs        map[string]*job
	runs        runRecord
	refusals    map[wire.Refusal]uint64
	told        wire.UpstreamStatus
	toldAt      time.Duration
	toldOnce    bool
}

// holding is the part of a snapshot that a server holds.
type holding struct {
	snap   *Snapshot
	shards []int
}

// NewUpstream makes a server that holds nothing.
func NewUpstream(cfg UpstreamConfig) *Upstream {
	cfg.Clock = orRealClock(cfg.Clock)
	cfg.Slots = orDefault(cfg.Slots, DefaultSlots)
	cfg.Queue = max(orDefault(cfg.Queue, DefaultQueue), 0)
	cfg.Keep = orDefault(cfg.Keep, DefaultKeep)
	cfg.Record = orDefault(cfg.Record, DefaultRecord)
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
		runs:     newRunRecord(cfg.Record),
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

// Restart serves again after a crash: at the same address, in the given state,
// as the next incarnation and with no work left over.
func (up *Upstream) Restart(state wire.UpstreamState) error {
	return up.start("Upstream.Restart", state)
}

func (up *Upstream) start(op string, state wire.UpstreamState) error {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.host != nil {
		return errorf(op, KindState, "already serving on %s", up.addr)
	}
	ho, err := startHost(up.addr, up.setUp, up.routes())
	if err != nil {
		return newError(op, KindListen, err)
	}
	up.host = ho
	up.addr = ho.addr()
	up.incarnation++
	up.state = state
	up.toldOnce = false
	return nil
}

func (up *Upstream) setUp(gt *gate) {
	gt.limit = up.cfg.Connections
	gt.setup = up.cfg.Setup
	gt.silentAt = up.faults.SilentAfter
	gt.mute.Store(up.faults.Mute)
}

// Addr is the host and port of the server; it stays the same over a restart.
func (up *Upstream) Addr() string {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.addr
}

// Crash closes the listener and all connections and gives up all work.
func (up *Upstream) Crash() {
	up.mu.Lock()
	ho := up.host
	up.host = nil
	up.mu.Unlock()
	if ho != nil {
		ho.close()
	}
}

// Close ends the server; it is the same as a crash.
func (up *Upstream) Close() { up.Crash() }

// Silence makes all connections that are open now go silent for good. New ones
// work.
func (up *Upstream) Silence() {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.host != nil {
		up.host.gate.silenceAll()
	}
}

// SetFaults replaces the faults in force.
func (up *Upstream) SetFaults(uf UpstreamFaults) {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.faults = uf
	if up.host != nil {
		up.host.gate.setSilentAfter(uf.SilentAfter)
		up.host.gate.mute.Store(uf.Mute)
	}
}

// SetState makes the server cold, serving or draining. Work that was accepted
// before is finished.
func (up *Upstream) SetState(state wire.UpstreamState) {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.state = state
}

// Hold adds the shards of a newer snapshot, and retires the oldest snapshot if
// more than Keep are held then.
func (up *Upstream) Hold(snap *Snapshot, shards []int) {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.held = append(up.held, holding{snap: snap, shards: shards})
	if over := len(up.held) - up.cfg.Keep; over > 0 {
		up.held = append([]holding(nil), up.held[over:]...)
	}
}

// Retire drops a snapshot at once.
func (up *Upstream) Retire(version uint64) {
	up.mu.Lock()
	defer up.mu.Unlock()
	kept := make([]holding, 0, len(up.held))
	for _, hd := range up.held {
		if hd.snap.Version != version {
			kept = append(kept, hd)
		}
	}
	up.held = kept
}

// Connections is the number open now, and how many were refused by the limit
// since the start of this incarnation.
func (up *Upstream) Connections() (open int, refused uint64) {
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.host == nil {
		return 0, 0
	}
	return up.host.gate.open(), up.host.gate.rejected.Load()
}

// Refused is how often a refusal was given.
func (up *Upstream) Refused(rf wire.Refusal) uint64 {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.refusals[rf]
}

// Load is the true load now.
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
