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

// Refusal is an upstream's own word that a sub-request did not run.
type Refusal string

// Refusals of an upstream. Each promises that no work was done.
const (
	RefusalShed         Refusal = "shed"
	RefusalDraining     Refusal = "draining"
	RefusalSnapshotGone Refusal = "snapshotGone"
	RefusalCold         Refusal = "cold"
	RefusalExpired      Refusal = "expired"
	RefusalNotHeld      Refusal = "notHeld"
	// RefusalOther stands for any that this VM does not know.
	RefusalOther Refusal = "otherRefusal"
)

// UpstreamState is what a server says of itself; it may lag or mislead.
type UpstreamState string

// States that a server reports.
const (
	UpstreamCold     UpstreamState = "cold"
	UpstreamServing  UpstreamState = "serving"
	UpstreamDraining UpstreamState = "draining"
)

// ShardRequest is one sub-request: one search on one shard.
type ShardRequest struct {
	// ID is unique over the life of the sending process.
	ID       string `json:"id"`
	Register string `json:"register"`
	Shard    int    `json:"shard"`
	// Snapshot is a wish; the reply's field of that name is the fact.
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
	// Shards is the number of shards in that snapshot's map.
	Shards int `json:"shards"`
	// Refusal is set where the sub-request did not run.
	Refusal      Refusal `json:"refusal,omitempty"`
	RetryAfterMs int64   `json:"retryAfterMs,omitempty"`
	Hits         []Hit   `json:"hits,omitempty"`
	// More is set where the server had more hits than the limit.
	More bool         `json:"more,omitempty"`
	Load UpstreamLoad `json:"load"`
}

// CancelRequest gives up a sub-request by its id.
type CancelRequest struct {
	ID string `json:"id"`
}

// UpstreamLoad is a server's account of its own load, on each reply.
type UpstreamLoad struct {
	Incarnation uint64        `json:"incarnation"`
	State       UpstreamState `json:"state"`
	InFlight    int           `json:"inFlight"`
	Queued      int           `json:"queued"`
}

// UpstreamStatus is the reply of GET /v1/load: a hint that may lag.
type UpstreamStatus struct {
	UpstreamLoad
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	Holdings    []ShardHolding `json:"holdings"`
}

// ShardHolding says which shards of one snapshot a server holds. One that claims
// no shard, or more than MaxShards, cannot be decoded.
type ShardHolding struct {
	Register string `json:"register"`
	Snapshot uint64 `json:"snapshot"`
	Shards   int    `json:"shards"`
	Held     []int  `json:"held"`
}
