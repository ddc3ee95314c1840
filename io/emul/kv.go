package emul

import (
	"sync"
	"time"
)

// Defaults of a KVConfig.
const (
	DefaultMaxEvents = 4096
	DefaultSweep     = 20 * time.Millisecond
	// MaxValue is the largest value in bytes that the service takes.
	MaxValue = 1 << 20
	// maxWatchWait bounds a long poll whatever the caller asks for.
	maxWatchWait = time.Minute
)

// KVConfig configures a KV. Zero values take the defaults.
type KVConfig struct {
	// Clock is what leases lapse by.
	Clock Clock
	// MaxEvents bounds the events kept for watches; older ones are compacted.
	MaxEvents int
	// Sweep is the real time between looks for lapsed leases.
	Sweep time.Duration
	// Addr is listened on; empty means a free loopback port.
	Addr string
}

// KVFaults are the ways in which the service can fail. The zero value works.
type KVFaults struct {
	// Refuse breaks open connections and closes new ones unread.
	Refuse bool
	// Fail answers every call with status 500 and does nothing.
	Fail bool
	// Slow delays every call before it takes effect.
	Slow time.Duration
	// LoseSwaps lets swaps take effect and then breaks the connection, so that
	// the caller cannot tell whether they did.
	LoseSwaps bool
	// SilentWatches lets no watch be answered: its connection stays open and
	// goes silent for good, also after the fault is lifted.
	SilentWatches bool
	// Past answers reads from the state that Remember took, as a replica does
	// that has fallen behind. Swaps still see the present.
	Past bool
}

// KVCounts counts the calls that reached the service, also those that a fault
// then spoilt. A watch counts once, however long it waits.
type KVCounts struct {
	Get       uint64
	Range     uint64
	Watch     uint64
	Swap      uint64
	Lease     uint64
	KeepAlive uint64
}

// Reads is the number of calls on the service's read rate.
func (kc KVCounts) Reads() uint64 { return kc.Get + kc.Range + kc.Watch }

// Writes is the number of calls on the service's write rate.
func (kc KVCounts) Writes() uint64 { return kc.Swap + kc.Lease + kc.KeepAlive }

// KV stands in for the platform's key-value service.
type KV struct {
	cfg  KVConfig
	host *host

	mu      sync.Mutex
	faults  KVFaults
	counts  KVCounts
	now     kvState
	past    kvState
	log     []kvEvent // oldest first
	changed chan struct{}
	leases  map[uint64]*lease
	leaseID uint64
	sweeper sync.WaitGroup
}

// NewKV makes a service that holds nothing.
func NewKV(cfg KVConfig) *KV {
	cfg.Clock = orRealClock(cfg.Clock)
	if cfg.MaxEvents <= 0 {
		cfg.MaxEvents = DefaultMaxEvents
	}
	if cfg.Sweep <= 0 {
		cfg.Sweep = DefaultSweep
	}
	return &KV{
		cfg:     cfg,
		now:     newKVState(),
		past:    newKVState(),
		changed: make(chan struct{}),
		leases:  map[uint64]*lease{},
	}
}

// Start serves on the configured address.
func (kv *KV) Start() error {
	ho, err := startHost(orLoopback(kv.cfg.Addr), func(*gate) {}, kv.routes())
	if err != nil {
		return newError("KV.Start", KindListen, err)
	}
	kv.host = ho
	kv.sweeper.Add(1)
	go kv.sweep()
	return nil
}

// Addr is the host and port that the service listens on.
func (kv *KV) Addr() string { return kv.host.addr() }

// Close ends the service and all waiting watches.
func (kv *KV) Close() {
	kv.host.close()
	kv.sweeper.Wait()
}

// SetFaults replaces the faults in force.
func (kv *KV) SetFaults(kf KVFaults) {
	kv.mu.Lock()
	kv.faults = kf
	kv.mu.Unlock()
	kv.host.gate.setRefuse(kf.Refuse)
}

// Counts gives the calls so far.
func (kv *KV) Counts() KVCounts {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return kv.counts
}

// Remember keeps the present state for the fault Past.
func (kv *KV) Remember() {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.past = kv.now.clone()
}

// Restore goes back to the state that Remember took, for writes too, as when a
// backup is put in place. All events and leases are forgotten.
func (kv *KV) Restore() {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.now = kv.past.clone()
	kv.now.compacted = kv.now.revision
	kv.log = nil
	kv.leases = map[uint64]*lease{}
	kv.wake()
}

// Compact forgets all events, so that a watch from any earlier revision is told
// to read the range anew.
func (kv *KV) Compact() {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.log = nil
	kv.now.compacted = kv.now.revision
	kv.wake()
}

// Lapse deletes the keys of leases whose time is over by the clock.
func (kv *KV) Lapse() {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.lapse()
}

func (kv *KV) sweep() {
	defer kv.sweeper.Done()
	tk := time.NewTicker(kv.cfg.Sweep)
	defer tk.Stop()
	for {
		select {
		case <-kv.host.ctx.Done():
			return
		case <-tk.C:
			kv.Lapse()
		}
	}
}
