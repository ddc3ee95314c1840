package qsim

import "time"

// Plant is the upstreams.
type Plant struct {
	// Services hold the shards in turn; each has Servers replicas.
	Services int
	Servers  int
	Slots    int
	// Queue is how many sub-requests wait at a server before it sheds.
	Queue  int
	Shards int
	// Base and Mean make the service time: Base plus an exponential of Mean.
	Base time.Duration
	Mean time.Duration
	// Hop is the least time one way; an exponential of a quarter is added.
	Hop time.Duration
}

// Pettigrew is ten services of three servers of three slots.
func Pettigrew() Plant {
	return Plant{
		Services: 10, Servers: 3, Slots: 3, Queue: 9, Shards: 10,
		Base: time.Millisecond, Mean: 3 * time.Millisecond, Hop: time.Millisecond,
	}
}

// Kalimba is ten services of three servers of two slots, a little farther away.
func Kalimba() Plant {
	return Plant{
		Services: 10, Servers: 3, Slots: 2, Queue: 6, Shards: 10,
		Base: time.Millisecond, Mean: 3 * time.Millisecond, Hop: 1500 * time.Microsecond,
	}
}

// Wide is 270 services of the same shape as Pettigrew's, one for each shard.
func Wide() Plant {
	pl := Pettigrew()
	pl.Services, pl.Shards = 270, 270
	return pl
}

// serviceTime is the mean without faults.
func (pl Plant) serviceTime() time.Duration {
	return pl.Base + pl.Mean
}

// rate is the searches per second that use up all slots.
func (pl Plant) rate() float64 {
	slots := float64(pl.Services * pl.Servers * pl.Slots)
	return slots / float64(pl.Shards) / pl.serviceTime().Seconds()
}

// Fault is what goes wrong.
type Fault struct {
	Name string
	// SlowShare of all sub-requests take SlowTimes as long.
	SlowShare float64
	SlowTimes float64
	// SlowServer makes one server of the first service that much slower.
	SlowServer float64
	// LoseAt is when one server of each service is lost; 0 means never. Its
	// work is cut off, and it refuses connections; the sender's view leaves it
	// out a second later.
	LoseAt time.Duration
	// Silent makes the lost servers swallow requests instead. The connections
	// are found dead after silentFor.
	Silent bool
	// Drain makes servers leave and come back, one service after another.
	Drain bool
	// Change brings a new snapshot each second; ReportOnly makes servers
	// answer the newest that they hold, whatever is asked for.
	Change     bool
	ReportOnly bool
}

// Faults lists what the issue asks to be measured.
func Faults() []Fault {
	return []Fault{
		{Name: "none"},
		{Name: "stragglers", SlowShare: 0.01, SlowTimes: 20},
		{Name: "slowServer", SlowServer: 10},
		{Name: "lostReplica", LoseAt: time.Second},
		{Name: "silentReplica", LoseAt: time.Second, Silent: true},
		{Name: "drainWave", Drain: true},
		{Name: "snapshotEachSecond", Change: true},
		{Name: "snapshotReportOnly", Change: true, ReportOnly: true},
	}
}

// Policy is what a search may do about stragglers.
type Policy struct {
	Name string
	// Fixed is a fixed delay; 0 takes that of the tracker at Quantile, and
	// both 0 turn hedging off.
	Fixed    time.Duration
	Quantile float64
	// Share and Burst make the budget of hedges.
	Share float64
	Burst float64
	// LostTimes the delay, an attempt counts as lost.
	LostTimes float64
	// RetryShare and RetryBurst make the budget of retries.
	RetryShare float64
	RetryBurst float64
	// HedgeRounds and RetryRounds let the bursts grow with the shards.
	HedgeRounds float64
	RetryRounds float64
}

const (
	retryShare = 0.04
	retryBurst = 50
	// hedgeRounds and retryRounds are the same bursts for ten shards, counted
	// in searches.
	hedgeRounds = 2
	retryRounds = 5
	perShard    = 2
	unbounded   = 1e6
)

// NoHedge is a baseline: no hedging at all.
func NoHedge() Policy {
	return Policy{Name: "noHedge", RetryShare: retryShare, RetryBurst: retryBurst}
}

// Fixed10 is a baseline: each sub-request is hedged after 10 ms, whatever that
// costs.
func Fixed10() Policy {
	return Policy{
		Name: "fixed10ms", Fixed: 10 * time.Millisecond, Share: 1, Burst: unbounded,
		RetryShare: retryShare, RetryBurst: retryBurst,
	}
}

// Tracked is the product's own policy.
func Tracked() Policy {
	return Policy{
		Name: "tracked", Quantile: 0.98, Share: 0.03, Burst: 20, LostTimes: 3,
		RetryShare: retryShare, RetryBurst: retryBurst, HedgeRounds: hedgeRounds, RetryRounds: retryRounds,
	}
}

// Config is one run.
type Config struct {
	Plant    Plant
	Fault    Fault
	Policy   Policy
	Seed     uint64
	Searches int
	// Load is the share of the capacity without faults that arrives.
	Load float64
	// Soft, Hard and MinCoverage are those of each search.
	Soft        time.Duration
	Hard        time.Duration
	MinCoverage float64
	// MaxInFlight refuses searches beyond it at once, as admission would; 0
	// admits all.
	MaxInFlight int
}
