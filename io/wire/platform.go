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
	// Deleted is set on the watch event of a key that is gone.
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

// KVRangeReply answers a get or a range: Pairs is empty where nothing is held.
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

// KVSwapReply answers a swap. Current is the pair that stands after the call.
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
	// Compacted means that changes after From are no longer known: read the
	// range anew and watch from its revision.
	Compacted bool `json:"compacted,omitempty"`
}

// KVLeaseRequest grants or keeps a lease.
type KVLeaseRequest struct {
	ID    uint64 `json:"id,omitempty"`
	TTLMs int64  `json:"ttlMs,omitempty"`
}

// KVLeaseReply tells the lease and how long it still holds; 0 means lapsed.
type KVLeaseReply struct {
	ID    uint64 `json:"id"`
	TTLMs int64  `json:"ttlMs"`
}

// VMState is what the platform's list says of a VM; it lags.
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
