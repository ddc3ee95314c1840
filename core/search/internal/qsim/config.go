package qsim

import "time"

// Topology describes the upstream servers and the network.
type Topology struct {
	// Shard i is held by service i modulo Services; each service has Servers
	// replicas.
	Services int
	Servers  int
	Slots    int
	// QueueLimit is how many sub-requests wait at a server before it sheds.
	QueueLimit int
	Shards     int
	// The service time is Base plus an exponentially distributed time with mean
	// Mean.
	Base time.Duration
	Mean time.Duration
	// Hop is the minimum one-way network delay. An exponentially distributed
	// time with a quarter of it as mean is added.
	Hop time.Duration
}

// Pettigrew has ten services of three servers with three slots each.
func Pettigrew() Topology {
	return Topology{
		Services: 10, Servers: 3, Slots: 3, QueueLimit: 9, Shards: 10,
		Base: time.Millisecond, Mean: 3 * time.Millisecond, Hop: time.Millisecond,
	}
}

// Kalimba has ten services of three servers with two slots each, and a longer
// network delay than Pettigrew.
func Kalimba() Topology {
	return Topology{
		Services: 10, Servers: 3, Slots: 2, QueueLimit: 6, Shards: 10,
		Base: time.Millisecond, Mean: 3 * time.Millisecond, Hop: 1500 * time.Microsecond,
	}
}

// Wide has 270 services like those of Pettigrew, one for each shard.
func Wide() Topology {
	tp := Pettigrew()
	tp.Services, tp.Shards = 270, 270
	return tp
}

// serviceTime is the mean service time without faults.
func (tp Topology) serviceTime() time.Duration {
	return tp.Base + tp.Mean
}

// rate is the searches per second at which all slots are busy.
func (tp Topology) rate() float64 {
	slots := float64(tp.Services * tp.Servers * tp.Slots)
	return slots / float64(tp.Shards) / tp.serviceTime().Seconds()
}

// Fault is what goes wrong during a run. The zero value is no fault.
type Fault struct {
	Name string
	// SlowShare is the share of sub-requests whose service time is multiplied by
	// SlowFactor.
	SlowShare  float64
	SlowFactor float64
	// SlowServerFactor multiplies the service times of one server of the first
	// service; 0 leaves them as they are.
	SlowServerFactor float64
	// LoseAt is when one server of each service crashes; 0 means never. Its
	// work fails, and it refuses connections; the sender's view excludes it a
	// second later.
	LoseAt time.Duration
	// Silent makes the crashed servers accept requests and never answer. The
	// sender detects the dead connections after silentDetectTime.
	Silent bool
	// Drain makes one server at a time leave and return, service by service.
	Drain bool
	// Change publishes a new snapshot each second. ReportOnly makes servers
	// answer from the newest snapshot that they hold, whichever is requested.
	Change     bool
	ReportOnly bool
}

// Faults lists the faults to be measured.
func Faults() []Fault {
	return []Fault{
		{Name: "none"},
		{Name: "stragglers", SlowShare: 0.01, SlowFactor: 20},
		{Name: "slowServer", SlowServerFactor: 10},
		{Name: "lostReplica", LoseAt: time.Second},
		{Name: "silentReplica", LoseAt: time.Second, Silent: true},
		{Name: "drainWave", Drain: true},
		{Name: "snapshotEachSecond", Change: true},
		{Name: "snapshotReportOnly", Change: true, ReportOnly: true},
	}
}

// Policy configures hedging and retries.
type Policy struct {
	Name string
	// Fixed is a fixed hedge delay. If it is 0, the delay is the latency at
	// Quantile as measured by a hedge.Tracker. If both are 0, hedging is off.
	Fixed    time.Duration
	Quantile float64
	// Share and Burst configure the hedge budget.
	Share float64
	Burst float64
	// LostFactor times the hedge delay is search.Config.LostDelay.
	LostFactor float64
	// RetryShare and RetryBurst configure the retry budget.
	RetryShare float64
	RetryBurst float64
	// HedgeRounds and RetryRounds make the bursts grow with the number of
	// shards (see budget.Config.BurstPerPrimary).
	HedgeRounds float64
	RetryRounds float64
}

const (
	retryShare = 0.04
	retryBurst = 50
	// hedgeRounds and retryRounds are the bursts in searches. For ten shards
	// they equal the fixed bursts of 20 and 50 tokens.
	hedgeRounds     = 2
	retryRounds     = 5
	retriesPerShard = 2
	unlimitedBurst  = 1e6
)

// NoHedge is a baseline without hedging.
func NoHedge() Policy {
	return Policy{Name: "noHedge", RetryShare: retryShare, RetryBurst: retryBurst}
}

// Fixed10 is a baseline that hedges each sub-request after 10 ms, in effect
// without a budget.
func Fixed10() Policy {
	return Policy{
		Name: "fixed10ms", Fixed: 10 * time.Millisecond, Share: 1, Burst: unlimitedBurst,
		RetryShare: retryShare, RetryBurst: retryBurst,
	}
}

// Tracked is the policy that laburnumvane uses: the hedge delay follows the measured
// latencies.
func Tracked() Policy {
	return Policy{
		Name: "tracked", Quantile: 0.98, Share: 0.03, Burst: 20, LostFactor: 3,
		RetryShare: retryShare, RetryBurst: retryBurst, HedgeRounds: hedgeRounds, RetryRounds: retryRounds,
	}
}

// Config configures one run.
type Config struct {
	Topology Topology
	Fault    Fault
	Policy   Policy
	Seed     uint64
	Searches int
	// Load is the arrival rate as a share of the capacity without faults.
	Load float64
	// Soft, Hard and MinCoverage are those of each search.
	Soft        time.Duration
	Hard        time.Duration
	MinCoverage float64
	// MaxInFlight limits the searches in flight: further ones are refused at
	// once, as admission control would; 0 admits all.
	MaxInFlight int
}
