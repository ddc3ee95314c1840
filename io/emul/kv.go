package emul

import (
	"sync"
	"time"
)

// Defaults of a KVConfig.
const (
	DefaultMaxEvents     = 4096
	DefaultSweepInterval = 20 * time.Millisecond
	// MaxValue is the largest value in bytes that the service accepts.
	MaxValue = 1 << 20
	// maxWatchWait limits a long poll, whatever wait the caller requests.
	maxWatchWait = time.Minute
)

// KVConfig configures a KV. Zero values take the defaults.
type KVConfig struct {
	// Clock measures the time to live of leases.
	Clock Clock
	// MaxEvents limits the events kept for watches; older ones are compacted.
	MaxEvents int
	// SweepInterval is the interval, in real time, of the search for expired leases.
	SweepInterval time.Duration
	// Addr is the address to listen on; empty means a free loopback port.
	Addr string
}

// KVFaults are the faults injected into the service. The zero value injects none.
type KVFaults struct {
	// Refuse closes all connections, and new ones before anything is read.
	Refuse bool
	// Fail answers every call with status 500 and does nothing else.
	Fail bool
	// Slow delays every call before it takes effect.
	Slow time.Duration
	// LoseSwaps closes the connection after a swap has taken effect, so that the caller
	// cannot know whether it did.
	LoseSwaps bool
	// SilentWatches leaves all watches unanswered: the connection of each stays open but
	// goes silent permanently, also after the fault is removed.
	SilentWatches bool
	// StaleReads answers reads from the state that SaveState saved, as a lagging replica does.
	// Swaps use the current state.
	StaleReads bool
}

// KVCounts counts the calls that reached the service, including those affected by a fault. A
// watch counts once, however long it waits.
type KVCounts struct {
	Get       uint64
	Range     uint64
	Watch     uint64
	Swap      uint64
	Lease     uint64
	KeepAlive uint64
}

// Reads returns the number of calls that count towards the service's read rate.
func (kc KVCounts) Reads() uint64 { return kc.Get + kc.Range + kc.Watch }

// Writes returns the number of calls that count towards the service's write rate.
func (kc KVCounts) Writes() uint64 { return kc.Swap + kc.Lease + kc.KeepAlive }

// KV emulates the platform's key-value service.
type KV struct {
	cfg  KVConfig
	host *host

	mu         sync.Mutex
	faults     KVFaults
	counts     KVCounts
	current    kvState
	savedState kvState
	log        []kvEvent // oldest first
	changed    chan struct{}
	leases     map[uint64]*lease
	leaseID    uint64
	sweeper    sync.WaitGroup
}

// NewKV returns an empty service that is not started.
func NewKV(cfg KVConfig) *KV {
	cfg.Clock = orRealClock(cfg.Clock)
	if cfg.MaxEvents <= 0 {
		cfg.MaxEvents = DefaultMaxEvents
	}
	if cfg.SweepInterval <= 0 {
		cfg.SweepInterval = DefaultSweepInterval
	}
	return &KV{
		cfg:        cfg,
		current:    newKVState(),
		savedState: newKVState(),
		changed:    make(chan struct{}),
		leases:     map[uint64]*lease{},
	}
}

// Start serves on the configured address.
func (kv *KV) Start() error {
	ho, err := startHost(orLoopback(kv.cfg.Addr), func(*faultListener) {}, kv.routes())
	if err != nil {
		return newError("KV.Start", KindListen, err)
	}
	kv.host = ho
	kv.sweeper.Add(1)
	go kv.sweepLeases()
	return nil
}

// Addr returns the host and port that the service listens on. Start must have succeeded.
func (kv *KV) Addr() string { return kv.host.addr() }

// Close stops the service and all waiting watches.
func (kv *KV) Close() {
	kv.host.close()
	kv.sweeper.Wait()
}

// SetFaults replaces the injected faults.
func (kv *KV) SetFaults(kf KVFaults) {
	kv.mu.Lock()
	kv.faults = kf
	kv.mu.Unlock()
	kv.host.listener.setRefuse(kf.Refuse)
}

// Counts returns the number of calls so far.
func (kv *KV) Counts() KVCounts {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return kv.counts
}

// SaveState saves the current state for the fault StaleReads and for Restore.
func (kv *KV) SaveState() {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.savedState = kv.current.clone()
}

// Restore replaces the current state by the one that SaveState saved, as a restored backup
// does. All events and leases are lost.
func (kv *KV) Restore() {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.current = kv.savedState.clone()
	kv.current.compacted = kv.current.revision
	kv.log = nil
	kv.leases = map[uint64]*lease{}
	kv.notifyWatches()
}

// Compact discards all events, so that a watch from any earlier revision is answered as
// compacted and its caller has to read the range again.
func (kv *KV) Compact() {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.log = nil
	kv.current.compacted = kv.current.revision
	kv.notifyWatches()
}

// ExpireLeases deletes the leases that have expired by the Clock, with their keys.
func (kv *KV) ExpireLeases() {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.expireLeases()
}

func (kv *KV) sweepLeases() {
	defer kv.sweeper.Done()
	tk := time.NewTicker(kv.cfg.SweepInterval)
	defer tk.Stop()
	for {
		select {
		case <-kv.host.ctx.Done():
			return
		case <-tk.C:
			kv.ExpireLeases()
		}
	}
}
