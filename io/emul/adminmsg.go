package emul

import "laburnumvane/io/wire"

// Routes of a Stage's admin API.
const (
	RouteAdminStage    = "/admin/stage"
	RouteAdminKV       = "/admin/kv"
	RouteAdminUpstream = "/admin/upstream"
	RouteAdminSnapshot = "/admin/snapshot"
	RouteAdminVMs      = "/admin/vms"
	RouteAdminRuns     = "/admin/runs"
)

// StageReply describes a Stage: the addresses and the present state of its emulators.
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

// StageUpstream is one upstream server with its actual state and load.
type StageUpstream struct {
	Addr        string             `json:"addr"`
	DataCentre  string             `json:"dataCentre"`
	Service     string             `json:"service"`
	State       wire.UpstreamState `json:"state"`
	Incarnation uint64             `json:"incarnation"`
	InFlight    int                `json:"inFlight"`
	Runs        uint64             `json:"runs"`
}

// KVFaultRequest replaces the faults of the key-value service; the empty request removes them.
type KVFaultRequest struct {
	Down          bool  `json:"down,omitempty"`
	Fail          bool  `json:"fail,omitempty"`
	SlowMs        int64 `json:"slowMs,omitempty"`
	LoseSwaps     bool  `json:"loseSwaps,omitempty"`
	SilentWatches bool  `json:"silentWatches,omitempty"`
	// Past answers reads from the state saved last.
	Past bool `json:"past,omitempty"`
	// Remember saves the current state, before Past takes effect.
	Remember bool `json:"remember,omitempty"`
	// Restore replaces the current state by the one saved last.
	Restore bool `json:"restore,omitempty"`
	// Compact discards the events so far.
	Compact bool `json:"compact,omitempty"`
}

// UpstreamAction is an action applied once to a server.
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

// UpstreamFaultRequest replaces the faults of servers and then applies an action to them; a
// request with neither removes the faults.
type UpstreamFaultRequest struct {
	// Target is a server's address, a service's name, or EveryUpstream.
	Target string         `json:"target"`
	Action UpstreamAction `json:"action,omitempty"`
	// SlowShare is the fraction of sub-requests whose service time is multiplied by
	// SlowTimes.
	SlowShare  float64 `json:"slowShare,omitempty"`
	SlowTimes  float64 `json:"slowTimes,omitempty"`
	ErrorShare float64 `json:"errorShare,omitempty"`
	Mute       bool    `json:"mute,omitempty"`
	// SilentAfter is in bytes; 0 means never.
	SilentAfter int64 `json:"silentAfter,omitempty"`
	StatusLagMs int64 `json:"statusLagMs,omitempty"`
	// Claim is a false state that the servers report; empty means the actual state.
	Claim wire.UpstreamState `json:"claim,omitempty"`
}

// UpstreamFaultReply lists the addresses of the targeted servers.
type UpstreamFaultReply struct {
	Addrs []string `json:"addrs"`
}

// SnapshotRequest publishes a snapshot; 0 shards keeps the number of shards.
type SnapshotRequest struct {
	Shards int `json:"shards,omitempty"`
}

// SnapshotReply is the version and number of shards of the new current snapshot.
type SnapshotReply struct {
	Snapshot uint64 `json:"snapshot"`
	Shards   int    `json:"shards"`
}

// VMsRequest changes the VM list. Fields that are omitted change nothing.
type VMsRequest struct {
	Set     []wire.VM `json:"set,omitempty"`
	Leaving []string  `json:"leaving,omitempty"`
	Remove  []string  `json:"remove,omitempty"`
	LagMs   *int64    `json:"lagMs,omitempty"`
	Down    *bool     `json:"down,omitempty"`
}

// RunsRequest asks how many sub-requests the servers ran.
type RunsRequest struct {
	// Query is the exact text of a query; empty means all runs.
	Query string `json:"query,omitempty"`
}

// RunsReply counts the sub-requests that began to run.
type RunsReply struct {
	Total uint64 `json:"total"`
	// Shards counts by shard; it is empty if the request has no query.
	Shards map[int]int `json:"shards"`
	// MostOfShard is the highest count of any shard.
	MostOfShard int `json:"mostOfShard"`
}
