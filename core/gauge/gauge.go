// Package gauge estimates how busy this VM's processor is, for the VMs that forward requests to it
// and for its own choice whether to forward a request.
//
// # Usage
//
//	ga := gauge.New(gauge.Config{Cores: 0.8})
//	defer ga.Begin()() // around each request that this VM runs
//	ga.Observe(now, processorTime) // some times a second
//	rp := ga.Report()
//
// A Gauge may be used from many goroutines.
package gauge

import (
	"math"
	"sync"
	"time"
)

const (
	// initialWork is the processor time of a request before any was measured: a gather over 36
	// shards.
	initialWork = 6 * time.Millisecond
	// minRuns is the least number of requests in an interval from which their work is measured.
	// With fewer, the processor time is mostly that of other tasks.
	minRuns = 4
	// smoothing is the weight of the newest measurement.
	smoothing = 0.5
	// maxLoad bounds the load from which the wait is derived: above it the wait follows from the
	// requests in progress.
	maxLoad = 0.95
	// minInterval is the least time between two observations that are compared.
	minInterval = 20 * time.Millisecond
)

// Config configures a Gauge.
type Config struct {
	// Cores is the processor time that this VM has, in cores; 0 if unknown. Nothing is reported
	// then.
	Cores float64
}

// Report is the state of this VM.
type Report struct {
	// Load is the processor time in use as a share of what this VM has. It is 0 if unknown.
	Load float64
	// Wait is how long a request waits for the processor in addition to its own work.
	Wait time.Duration
	// OwnWork is the time that the processor needs for one more request.
	OwnWork time.Duration
	// Running is the number of requests in progress.
	Running int
}

// Gauge holds the measurements.
type Gauge struct {
	cfg      Config
	mu       sync.Mutex
	running  int
	finished int
	// usual is the usual number of requests in progress.
	usual float64
	// cpuAt and cpu are the last observation, load the smoothed share in use.
	cpuAt, cpu time.Duration
	load       float64
	work       float64
}

// New returns a gauge without measurements.
func New(cfg Config) *Gauge { return &Gauge{cfg: cfg, work: float64(initialWork)} }

// Begin records that this VM runs a request, until the returned function is called.
func (ga *Gauge) Begin() (end func()) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.running++
	return func() {
		ga.mu.Lock()
		defer ga.mu.Unlock()
		ga.running--
		ga.finished++
	}
}

// Observe records the processor time that this process has used since its start.
func (ga *Gauge) Observe(now, cpu time.Duration) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	interval := now - ga.cpuAt
	if ga.cfg.Cores <= 0 || interval < minInterval {
		return
	}
	if used := float64(cpu - ga.cpu); ga.cpuAt > 0 {
		ga.load += smoothing * (used/float64(interval)/ga.cfg.Cores - ga.load)
		if ga.finished >= minRuns {
			ga.work += smoothing * (used/float64(ga.finished) - ga.work)
		}
		ga.usual += smoothing * (float64(ga.running) - ga.usual)
	}
	ga.cpuAt, ga.cpu, ga.finished = now, cpu, 0
}

// Report returns the current state.
//
// The wait is the mean wait in a queue of requests that take the same time, from the load of the
// last observations. Requests in progress beyond the usual number have arrived since, and each adds its work.
func (ga *Gauge) Report() Report {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.cfg.Cores <= 0 {
		return Report{Running: ga.running}
	}
	own := ga.work / ga.cfg.Cores
	load := math.Min(ga.load, maxLoad)
	wait := own * load / (1 - load) / 2
	wait += own * load * math.Max(0, float64(ga.running)-ga.usual)
	return Report{Load: ga.load, Wait: time.Duration(wait), OwnWork: time.Duration(own), Running: ga.running}
}
