package emul

import "laburnumvane/io/wire"

// Routes of the administration of a Stage.
const (
	RouteAdminStage    = "/admin/stage"
	RouteAdminKV       = "/admin/kv"
	RouteAdminUpstream = "/admin/upstream"
	RouteAdminSnapshot = "/admin/snapshot"
	RouteAdminVMs      = "/admin/vms"
	RouteAdminRuns     = "/admin/runs"
)

// StageReply tells where everything listens.
type StageReply struct {
	KV        string          `json:"kv"`
	VMList    string          `json:"vmList"`
	Admin     string          `json:"admin"`
	Register  string          `json:"register"`
	Snapshot  uint64          `json:"snapshot"`
	Shards    int             `json:"shards"`
	Upstreams []StageUpstream `json:"upstreams"`
	VMs       []wire.VM       `json:"vms"`
	KVCounts  KVCounts        `json:"kvCounts"`
}

// StageUpstream is one server with the load it truly has.
type StageUpstream struct {
	Addr        string             `json:"addr"`
	DataCentre  string             `json:"dataCentre"`
	Service     string             `json:"service"`
	State       wire.UpstreamState `json:"state"`
	Incarnation uint64             `json:"incarnation"`
	InFlight    int                `json:"inFlight"`
	Runs        uint64             `json:"runs"`
}

// KVFaultRequest replaces the faults of the key-value service; the empty one
// mends it. Durations are in milliseconds.
type KVFaultRequest struct {
	Down          bool  `json:"down,omitempty"`
	Fail          bool  `json:"fail,omitempty"`
	SlowMs        int64 `json:"slowMs,omitempty"`
	LoseSwaps     bool  `json:"loseSwaps,omitempty"`
	SilentWatches bool  `json:"silentWatches,omitempty"`
	// Past answers reads from the state remembered last.
	Past bool `json:"past,omitempty"`
	// Remember keeps the present state for Past, before Past takes hold.
	Remember bool `json:"remember,omitempty"`
	// Restore goes back to the state remembered last, for writes too.
	Restore bool `json:"restore,omitempty"`
	// Compact forgets all events, once.
	Compact bool `json:"compact,omitempty"`
}

// UpstreamAction is done once to a server.
type UpstreamAction string

// Actions on a server.
const (
	ActionCrash   UpstreamAction = "crash"
	ActionRestart UpstreamAction = "restart"
	ActionDrain   UpstreamAction = "drain"
	ActionCold    UpstreamAction = "cold"
	ActionServe   UpstreamAction = "serve"
	ActionSilence UpstreamAction = "silence"
)

// EveryUpstream is the target that means all servers.
const EveryUpstream = "all"

// UpstreamFaultRequest does an action to servers and replaces their faults;
// with neither it mends them.
type UpstreamFaultRequest struct {
	// Target is a server's address, a service's name, or all.
	Target string         `json:"target"`
	Action UpstreamAction `json:"action,omitempty"`
	// SlowShare of the sub-requests take SlowTimes as long.
	SlowShare  float64 `json:"slowShare,omitempty"`
	SlowTimes  float64 `json:"slowTimes,omitempty"`
	ErrorShare float64 `json:"errorShare,omitempty"`
	Mute       bool    `json:"mute,omitempty"`
	// SilentAfter is in bytes.
	SilentAfter int64 `json:"silentAfter,omitempty"`
	StatusLagMs int64 `json:"statusLagMs,omitempty"`
	// Claim is the state that the servers pretend; empty for the truth.
	Claim wire.UpstreamState `json:"claim,omitempty"`
}

// UpstreamFaultReply lists the servers that were meant.
type UpstreamFaultReply struct {
	Addrs []string `json:"addrs"`
}

// SnapshotRequest publishes a snapshot; 0 shards means as many as before.
type SnapshotRequest struct {
	Shards int `json:"shards,omitempty"`
}

// SnapshotReply tells what is current now.
type SnapshotReply struct {
	Snapshot uint64 `json:"snapshot"`
	Shards   int    `json:"shards"`
}

// VMsRequest changes the VM list. What is left out stays as it is.
type VMsRequest struct {
	Set     []wire.VM `json:"set,omitempty"`
	Leaving []string  `json:"leaving,omitempty"`
	Remove  []string  `json:"remove,omitempty"`
	LagMs   *int64    `json:"lagMs,omitempty"`
	Down    *bool     `json:"down,omitempty"`
}

// RunsRequest asks what the servers ran.
type RunsRequest struct {
	// Query is the text of a query, byte for byte; empty asks for all runs.
	Query string `json:"query,omitempty"`
}

// RunsReply counts the sub-requests that began to run.
type RunsReply struct {
	Total uint64 `json:"total"`
	// Shards counts by shard; it is empty where no query was named.
	Shards map[int]int `json:"shards"`
	// MostOfShard is the highest count of one shard.
	MostOfShard int `json:"mostOfShard"`
}
