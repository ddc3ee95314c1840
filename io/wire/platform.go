package wire

// Routes of the platform's key-value service and VM list.
const (
	RouteKVGet       = "/kv/get"
	RouteKVRange     = "/kv/range"
	RouteKVSwap      = "/kv/swap"
	RouteKVWatch     = "/kv/watch"
	RouteKVLease     = "/kv/lease"
	RouteKVKeepAlive = "/kv/keepalive"
	RouteVMs         = "/vms"
)

// KVPair is one key with its value and the revision of its last write.
type KVPair struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease,omitempty"`
	// Deleted is set on the watch event of a deleted key.
	Deleted bool `json:"deleted,omitempty"`
}

// KVGetRequest asks for one key.
type KVGetRequest struct {
	Key string `json:"key"`
}

// KVRangeRequest asks for all keys with a prefix.
type KVRangeRequest struct {
	Prefix string `json:"prefix"`
}

// KVRangeReply is the reply to a get or a range. Pairs is empty if there is no such key.
type KVRangeReply struct {
	Revision uint64   `json:"revision"`
	Pairs    []KVPair `json:"pairs"`
}

// KVSwapRequest writes Value if the key's revision is still Expect; 0 means the
// key must be absent.
type KVSwapRequest struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Expect uint64 `json:"expect"`
	Lease  uint64 `json:"lease,omitempty"`
}

// KVSwapReply is the reply to a swap. Current is the pair after the call, nil if the key is absent.
type KVSwapReply struct {
	Swapped bool    `json:"swapped"`
	Current *KVPair `json:"current,omitempty"`
}

// KVWatchRequest waits until a key with the prefix changes after From.
type KVWatchRequest struct {
	Prefix string `json:"prefix"`
	From   uint64 `json:"from"`
	WaitMs int64  `json:"waitMs"`
}

// KVWatchReply lists the changes after From, oldest first.
type KVWatchReply struct {
	Revision uint64   `json:"revision"`
	Events   []KVPair `json:"events"`
	// Compacted means that changes after From are no longer available. The client has to read
	// the range again and watch from its revision.
	Compacted bool `json:"compacted,omitempty"`
}

// KVLeaseRequest requests a new lease or renews one.
type KVLeaseRequest struct {
	ID    uint64 `json:"id,omitempty"`
	TTLMs int64  `json:"ttlMs,omitempty"`
}

// KVLeaseReply has the lease and its remaining time; 0 means that it has expired.
type KVLeaseReply struct {
	ID    uint64 `json:"id"`
	TTLMs int64  `json:"ttlMs"`
}

// VMState is a VM's state on the platform's list, which lags.
type VMState string

// States in the VM list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one row of the platform's VM list. Addr is the inner listener.
type VM struct {
	Addr       string  `json:"addr"`
	DataCentre string  `json:"dataCentre"`
	Region     string  `json:"region,omitempty"`
	State      VMState `json:"state"`
}

// VMList is the reply of GET /vms.
type VMList struct {
	VMs []VM `json:"vms"`
}
