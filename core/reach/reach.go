// Package reach decides whether a VM is cut off from most servers, so that
// clients are better off with another one.
//
// # Usage
//
//	ju := reach.New(reach.Config{})
//	off := ju.Look(now, reach.Sight{Silence: silence, Asked: asked, Unserved: unserved})
//
// # Why
//
// The balancer sends clients to a VM as long as its check succeeds. Behind a
// partition the VM still gets them and cannot serve them, for too few shards have
// a server on its side. A VM that hears nobody from beyond its data centre but
// serves its clients stays, and so does one that cannot serve them but hears the
// others: there the servers are at fault, and no VM would do better.
//
// How long a silence proves anything hangs on what should have been heard: a VM with
// many requests is owed dozens of answers within a tenth of a second, one with two a
// second hardly any. So a short silence is enough where answers are owed and VMs
// elsewhere do not answer either: found after 0.35 s in place of 1.25, with which the
// callers of a cut-off data centre were refused for 1.9 s in place of 2.6.
//
// Of the VMs of a data centre only some are owed answers, but the balancer sends clients to
// all of them as long as one of them passes its check. So whoever has proven the cut tells
// the first VM of the data centre, from which the others hear of it at once; each then asks
// for a sign of life itself. With 28 VMs of which two had requests, the last one found the
// cut after 0.55 s in place of 1.65.
//
// All requests that were not served count, whatever was said of them: in the first
// seconds of a partition attempts hang until a deadline, then there seems to be no
// room, and only when all far servers count as dark there is no server.
package reach

import "time"

// Defaults of a Config.
const (
	// DefaultSilence is how long nothing is heard from beyond the data centre
	// before a VM whose requests fail thinks itself cut off. While the store is
	// heard once a second, silence seldom lasts 1 s; after that a VM there is
	// asked for a sign of life, and the rest is for its answer.
	DefaultSilence = 1250 * time.Millisecond
	// DefaultIdle is the same for a VM that cannot serve alone, whatever became
	// of its own requests. It may have none; but a balancer that finds half of a
	// data centre's VMs ready sends clients to all of them, and one that finds
	// any does not send them elsewhere.
	DefaultIdle = 1600 * time.Millisecond
	// DefaultOwed is how many answers of other data centres must be overdue or lost,
	// with none heard meanwhile, for a shorter silence to prove as much, and
	// DefaultSoon is that silence: above the pauses of a server and of this VM's own
	// processor, and short beside what the balancer takes to send clients elsewhere.
	// A VM with twenty requests a second over ten shards has as many within it.
	// Since all of them may be due to servers at fault, VMs there are asked for a sign
	// of life too.
	DefaultOwed = 5
	DefaultSoon = 150 * time.Millisecond
	// DefaultShare is the share of requests that must fail for clients to be
	// better off elsewhere, DefaultLeast the least number that is judged, for a
	// small VM gets one or two a second, and DefaultEvery the least time over
	// which they are counted: half of what the balancer takes from one check to
	// the next.
	DefaultShare = 0.25
	DefaultLeast = 2
	DefaultEvery = 500 * time.Millisecond
)

// Config sets a judge; fields that are 0 take the defaults.
type Config struct {
	Silence time.Duration
	Idle    time.Duration
	Soon    time.Duration
	Owed    int
	// Share is 0 to 1.
	Share float64
	Least int64
	Every time.Duration
}

// Sight is what a VM sees at one moment.
type Sight struct {
	// Silence is the time since anything was heard from beyond the data centre.
	Silence time.Duration
	// Owed is how many answers of other data centres are overdue, or were lost since
	// one was heard. Mute is set if VMs there were asked for a sign of life within the
	// silence, and gave none.
	Owed int
	Mute bool
	// Told is set if another VM of the data centre has proven lately that it is cut off.
	Told bool
	// Asked counts all requests since the start, Unserved those of them that
	// were not served.
	Asked, Unserved int64
	// Lacking is set if the servers of the own data centre do not suffice for
	// some route, whoever asks.
	Lacking bool
}

// Judge keeps what was seen. It is not safe for concurrent use.
type Judge struct {
	cfg     Config
	dueAt   time.Duration
	before  Sight
	failing bool
	off     bool
}

// New makes the judge of a VM that is not cut off.
func New(cfg Config) *Judge {
	if cfg.Silence == 0 {
		cfg.Silence = DefaultSilence
	}
	if cfg.Idle == 0 {
		cfg.Idle = DefaultIdle
	}
	if cfg.Soon == 0 {
		cfg.Soon = DefaultSoon
	}
	if cfg.Owed == 0 {
		cfg.Owed = DefaultOwed
	}
	if cfg.Share == 0 {
		cfg.Share = DefaultShare
	}
	if cfg.Least == 0 {
		cfg.Least = DefaultLeast
	}
	if cfg.Every == 0 {
		cfg.Every = DefaultEvery
	}
	return &Judge{cfg: cfg}
}

// Look tells whether the VM is cut off. While it is, it has few requests, and is
// until it hears somebody again.
func (ju *Judge) Look(now time.Duration, si Sight) bool {
	asked, failed := si.Asked-ju.before.Asked, si.Unserved-ju.before.Unserved
	if now >= ju.dueAt && asked >= ju.cfg.Least {
		ju.failing = float64(failed) >= ju.cfg.Share*float64(asked)
		ju.before, ju.dueAt = si, now+ju.cfg.Every
	}
	proven := si.Mute && ju.Doubts(si)
	silent := proven || si.Silence > ju.cfg.Silence || ju.off && si.Silence > ju.cfg.Soon
	idle := si.Lacking && (proven || si.Silence > ju.cfg.Idle)
	ju.off = silent && (ju.failing || ju.off || idle)
	return ju.off
}

// Doubts tells whether VMs of other data centres should be asked for a sign of life: more
// answers are owed than chance explains, or another VM here says so. That one may be at
// fault itself, so that its word proves nothing.
func (ju *Judge) Doubts(si Sight) bool {
	return si.Silence > ju.cfg.Soon && (si.Owed >= ju.cfg.Owed || si.Told)
}

// Failing tells whether too many of the requests lately were not served.
func (ju *Judge) Failing() bool { return ju.failing }
