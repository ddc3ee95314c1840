package wire

import "encoding/json"

// Routes of an upstream server.
const (
	RouteShardSearch = "/v1/shard/search"
	RouteShardCancel = "/v1/shard/cancel"
	RouteUpHealth    = "/v1/health"
	RouteUpLoad      = "/v1/load"
	RoutePing        = "/v1/ping"
)

// MaxShards bounds the shards of a snapshot.
const MaxShards = 1 << 16

// Refusal is the reason why an upstream server did not run a sub-request.
type Refusal string

// Refusals of an upstream server. Each guarantees that no work was done.
const (
	RefusalShed         Refusal = "shed"
	RefusalDraining     Refusal = "draining"
	RefusalSnapshotGone Refusal = "snapshotGone"
	RefusalCold         Refusal = "cold"
	RefusalExpired      Refusal = "expired"
	RefusalNotHeld      Refusal = "notHeld"
	// RefusalOther stands for all refusals that this VM does not know.
	RefusalOther Refusal = "otherRefusal"
)

// UpstreamState is the state that a server reports. It may be out of date or wrong.
type UpstreamState string

// States that a server reports.
const (
	UpstreamCold     UpstreamState = "cold"
	UpstreamServing  UpstreamState = "serving"
	UpstreamDraining UpstreamState = "draining"
)

// ShardRequest is one sub-request: one search on one shard.
type ShardRequest struct {
	// ID is unique for the lifetime of the sending process.
	ID       string `json:"id"`
	Register string `json:"register"`
	Shard    int    `json:"shard"`
	// Snapshot is the wanted snapshot. The reply's Snapshot is the one that was searched.
	Snapshot uint64 `json:"snapshot"`
	// DeadlineMs is the time left, counted from the request's arrival.
	DeadlineMs int64           `json:"deadlineMs"`
	Query      json.RawMessage `json:"query"`
	Limit      int             `json:"limit"`
}

// ShardReply answers a ShardRequest.
type ShardReply struct {
	ID       string `json:"id"`
	Shard    int    `json:"shard"`
	Snapshot uint64 `json:"snapshot"`
	// Shards is the number of the snapshot's shards.
	Shards int `json:"shards"`
	// Refusal is set if the sub-request did not run.
	Refusal      Refusal `json:"refusal,omitempty"`
	RetryAfterMs int64   `json:"retryAfterMs,omitempty"`
	Hits         []Hit   `json:"hits,omitempty"`
	// More is set if the server had more hits than the limit.
	More bool         `json:"more,omitempty"`
	Load UpstreamLoad `json:"load"`
}

// CancelRequest cancels a sub-request by its id.
type CancelRequest struct {
	ID string `json:"id"`
}

// UpstreamLoad is the load that a server reports with each reply.
type UpstreamLoad struct {
	Incarnation uint64        `json:"incarnation"`
	State       UpstreamState `json:"state"`
	InFlight    int           `json:"inFlight"`
	Queued      int           `json:"queued"`
}

// UpstreamStatus is the reply of GET /v1/load. It may be out of date.
type UpstreamStatus struct {
	UpstreamLoad
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	Holdings    []ShardHolding `json:"holdings"`
}

// ShardHolding says which shards of one snapshot a server holds. A holding with fewer than 1 or
// more than MaxShards shards cannot be decoded.
type ShardHolding struct {
	Register string `json:"register"`
	Snapshot uint64 `json:"snapshot"`
	Shards   int    `json:"shards"`
	Held     []int  `json:"held"`
}
