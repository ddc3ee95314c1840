// Package boot decides what happens to requests that arrive before this VM knows its first
// configuration.
//
// # Usage
//
//	ho := boot.New(boot.Config{Started: now})
//	wait, ok := ho.Admit(now, boot.Request{Bytes: len(body), Remaining: remaining})
//	if !ok {
//		// refuse, with a Retry-After
//	}
//	defer ho.Release(rq)
//	// wait until the configuration is known, for at most wait
//
// # Why
//
// After all VMs have lost power, their clients are waiting. A VM has its first copy of the store
// 0.05 to 0.5 s after its start. If it refuses what arrives until then, the clients return to
// other VMs that are starting as well, and a client that retries once is lost by its second
// refusal. A request that waits is served as soon as there is a configuration, mostly within its
// target.
//
// A wait that ends with a refusal is only useful if the client has time for another attempt, so
// it takes at most a quarter of the remaining time. A VM whose boot takes longer than usual, or
// that was refused by the store, refuses at once: it does not know when it will have a
// configuration.
package boot

import (
	"sync"
	"time"
)

// Defaults of a Config.
const (
	// DefaultUsualTime is how long a boot usually takes at most. A VM that leaves reading the
	// store to others does so for up to 0.6 s, and then reads it in about 0.1 s.
	DefaultUsualTime = 700 * time.Millisecond
	// DefaultMaxWaiting and DefaultMaxBytes bound the requests that wait. A VM gets a few
	// requests a second, and up to a hundred at once from clients that were waiting for it.
	DefaultMaxWaiting = 256
	DefaultMaxBytes   = 1 << 20
)

const (
	// waitDivisor is the divisor of the remaining time that a request may wait: the rest
	// suffices for another attempt at another VM.
	waitDivisor = 4
	// unknownRemaining applies to clients that do not say how long they wait.
	unknownRemaining = time.Second
)

// Config configures a Hold. Fields that are 0 take the defaults.
type Config struct {
	// Started is when the VM started.
	Started time.Duration
	// UsualTime is how long after the start the first configuration is expected at the latest.
	UsualTime time.Duration
	// MaxWaiting and MaxBytes bound the number of requests that wait and their size.
	MaxWaiting int
	MaxBytes   int
}

// Request is a request that arrived before the first configuration.
type Request struct {
	Bytes int
	// Remaining is how long the client still waits; 0 if it did not say.
	Remaining time.Duration
}

// Hold holds the state of the requests that wait. It is safe for concurrent use.
type Hold struct {
	cfg     Config
	mu      sync.Mutex
	waiting int
	bytes   int
	// refused is set once the store refused to give this VM a copy.
	refused bool
}

// New returns a hold without requests.
func New(cfg Config) *Hold {
	if cfg.UsualTime == 0 {
		cfg.UsualTime = DefaultUsualTime
	}
	if cfg.MaxWaiting == 0 {
		cfg.MaxWaiting = DefaultMaxWaiting
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = DefaultMaxBytes
	}
	return &Hold{cfg: cfg}
}

// Admit returns how long a request may wait for the configuration. If ok is false it is refused at
// once; otherwise Release must be called when its wait ends.
func (ho *Hold) Admit(now time.Duration, rq Request) (wait time.Duration, ok bool) {
	remaining := rq.Remaining
	if remaining == 0 {
		remaining = unknownRemaining
	}
	wait = min(ho.cfg.Started+ho.cfg.UsualTime-now, remaining/waitDivisor)
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if wait <= 0 || ho.refused || ho.waiting >= ho.cfg.MaxWaiting || ho.bytes+rq.Bytes > ho.cfg.MaxBytes {
		return 0, false
	}
	ho.waiting++
	ho.bytes += rq.Bytes
	return wait, true
}

// Release removes a request that was admitted.
func (ho *Hold) Release(rq Request) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.waiting--
	ho.bytes -= rq.Bytes
}

// RecordRefusal records that the store did not give this VM a copy. Requests that wait continue to
// do so, because another VM may send one.
func (ho *Hold) RecordRefusal() {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.refused = true
}
