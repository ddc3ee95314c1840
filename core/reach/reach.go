// Package reach detects whether a VM is cut off from most servers, so that the load balancer
// should send its clients to other VMs.
//
// # Usage
//
//	de := reach.New(reach.Config{})
//	cutOff := de.Update(now, reach.Observation{Silence: silence, Requests: asked, Unserved: unserved})
//
// # Why
//
// The load balancer sends clients to a VM as long as its health check succeeds. Behind a
// network partition the VM still gets clients but cannot serve them, because too few shards
// have a server on its side. A VM that receives nothing from outside its data centre but
// serves its clients stays in rotation. So does a VM that cannot serve its clients but
// receives messages from outside: then the servers are at fault, and no other VM would do
// better.
//
// How long a silence must last to prove a cut depends on what should have been received: a VM
// with many requests expects dozens of answers within a tenth of a second, one with two
// requests a second hardly any. A short silence is therefore enough if answers are overdue
// and VMs in other data centres do not answer probes either. This detects a cut after 0.35 s
// instead of 1.25 s, with which the callers of a cut-off data centre were refused for 1.9 s
// instead of 2.6 s.
//
// Only some VMs of a data centre have overdue answers, but the balancer sends clients to all
// of them as long as one passes its health check. So a VM that has proven a cut reports it to
// the first VM of the data centre, which passes the report on to the others at once; each of
// them then sends probes itself. With 28 VMs of which two had requests, the last VM detected
// the cut after 0.55 s instead of 1.65 s.
//
// All requests that were not served count, whatever the reason. In the first seconds of a
// partition attempts hang until a deadline; then requests seem to be refused for lack of
// capacity; and only when all remote servers are considered down is the reason that there is
// no server.
package reach

import "time"

// Defaults of a Config.
const (
	// DefaultSilence is how long nothing must be received from outside the data centre before
	// a VM with failing requests counts as cut off. While the store sends an update every
	// second, a silence seldom lasts 1 s. After 1 s a VM elsewhere is probed; the rest of the
	// time is for its answer.
	DefaultSilence = 1250 * time.Millisecond
	// DefaultIdleSilence is the same for a VM whose local servers do not suffice, whatever
	// became of its own requests. It may have none; but a balancer that finds half of a data
	// centre's VMs ready sends clients to all of them, and one that finds any VM ready does
	// not send clients elsewhere.
	DefaultIdleSilence = 1600 * time.Millisecond
	// DefaultMinOwed is how many answers from other data centres must be overdue or lost,
	// with none received meanwhile, for the shorter DefaultShortSilence to suffice as silence.
	// DefaultShortSilence exceeds the pauses of a server and of this VM's own processor, and is short
	// compared with the time that the balancer takes to send clients elsewhere. A VM with
	// twenty requests a second over ten shards has that many answers overdue within it. Since
	// faulty servers could be the cause of all of them, VMs in other data centres are probed
	// too.
	DefaultMinOverdue   = 5
	DefaultShortSilence = 150 * time.Millisecond
	// DefaultFailedShare is the share of requests that must fail for clients to be better
	// served by other VMs. DefaultMinRequests is the minimum number of requests for this
	// decision, since a small VM gets one or two a second. DefaultInterval is the minimum
	// time over which requests are counted: half of the balancer's health check interval.
	DefaultFailedShare = 0.25
	DefaultMinRequests = 2
	DefaultInterval    = 500 * time.Millisecond
)

// Config configures a Detector. Fields that are 0 take the defaults; their comments describe the
// fields.
type Config struct {
	Silence      time.Duration
	IdleSilence  time.Duration
	ShortSilence time.Duration
	MinOverdue   int
	// FailedShare is 0 to 1.
	FailedShare float64
	MinRequests int64
	Interval    time.Duration
}

// Observation is what a VM observes at one moment.
type Observation struct {
	// Silence is the time since anything was received from outside the data centre.
	Silence time.Duration
	// Overdue is how many answers from other data centres are overdue or were lost since one was
	// received. ProbesFailed is set if VMs there were probed during the silence and none answered.
	Overdue      int
	ProbesFailed bool
	// CutReported is set if another VM of the data centre has recently reported proof that the data
	// centre is cut off.
	CutReported bool
	// Requests counts all requests since the start, Unserved those of them that were not served.
	Requests, Unserved int64
	// LocalInsufficient is set if the servers of this VM's data centre do not suffice for some route,
	// whether it has requests or not.
	LocalInsufficient bool
}

// Detector decides from successive observations whether a VM is cut off. It is not safe for
// concurrent use.
type Detector struct {
	cfg      Config
	countAt  time.Duration
	baseline Observation
	failing  bool
	cutOff   bool
}

// New returns the Detector of a VM that is not cut off.
func New(cfg Config) *Detector {
	if cfg.Silence == 0 {
		cfg.Silence = DefaultSilence
	}
	if cfg.IdleSilence == 0 {
		cfg.IdleSilence = DefaultIdleSilence
	}
	if cfg.ShortSilence == 0 {
		cfg.ShortSilence = DefaultShortSilence
	}
	if cfg.MinOverdue == 0 {
		cfg.MinOverdue = DefaultMinOverdue
	}
	if cfg.FailedShare == 0 {
		cfg.FailedShare = DefaultFailedShare
	}
	if cfg.MinRequests == 0 {
		cfg.MinRequests = DefaultMinRequests
	}
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	return &Detector{cfg: cfg}
}

// Update evaluates an observation and reports whether the VM is cut off. While it is, it gets few
// requests and its state is kept until something is received from outside the data centre again.
func (de *Detector) Update(now time.Duration, ob Observation) bool {
	requests, failed := ob.Requests-de.baseline.Requests, ob.Unserved-de.baseline.Unserved
	if now >= de.countAt && requests >= de.cfg.MinRequests {
		de.failing = float64(failed) >= de.cfg.FailedShare*float64(requests)
		de.baseline, de.countAt = ob, now+de.cfg.Interval
	}
	proven := ob.ProbesFailed && de.ShouldProbe(ob)
	silent := proven || ob.Silence > de.cfg.Silence || de.cutOff && ob.Silence > de.cfg.ShortSilence
	idle := ob.LocalInsufficient && (proven || ob.Silence > de.cfg.IdleSilence)
	de.cutOff = silent && (de.failing || de.cutOff || idle)
	return de.cutOff
}

// ShouldProbe reports whether VMs of other data centres should be probed: more answers are overdue
// than chance explains, or another VM of this data centre reports a cut. The other VM may be
// at fault itself, so its report alone proves nothing.
func (de *Detector) ShouldProbe(ob Observation) bool {
	return ob.Silence > de.cfg.ShortSilence && (ob.Overdue >= de.cfg.MinOverdue || ob.CutReported)
}

// Failing reports whether too many of the recent requests were not served.
func (de *Detector) Failing() bool { return de.failing }
