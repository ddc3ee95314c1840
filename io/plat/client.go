package plat

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"laburnumvane/io/wire"
)

// DefaultMaxReply bounds a reply of the service, in bytes.
const DefaultMaxReply = 64 << 20

// Config configures a Client.
type Config struct {
	// Addrs are the service's addresses. A call uses the one that worked last, and the next
	// if no connection can be made.
	Addrs []string
	// Timeout bounds a call. The wait time of a watch is added to it.
	Timeout time.Duration
	// MaxReply bounds a reply, in bytes; 0 means DefaultMaxReply.
	MaxReply int64
}

// Client is a client of the key-value service or of the VM list.
type Client struct {
	cfg      Config
	http     *http.Client
	nextAddr atomic.Uint32
}

// New returns a client. It opens no connection before the first call.
func New(cfg Config) *Client {
	if cfg.MaxReply <= 0 {
		cfg.MaxReply = DefaultMaxReply
	}
	// An address that drops packets must leave time for the next address.
	dialTimeout := cfg.Timeout / time.Duration(max(1, len(cfg.Addrs)))
	tr := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: tr}}
}

// Close closes idle connections. The client can still be used.
func (cl *Client) Close() {
	cl.http.CloseIdleConnections()
}

// Get reads one key; ok is false if it is absent.
func (cl *Client) Get(ctx context.Context, key string) (pair wire.KVPair, ok bool, err error) {
	var rp wire.KVRangeReply
	err = cl.post(ctx, call{op: "plat.Get", path: wire.RouteKVGet}, wire.KVGetRequest{Key: key}, &rp)
	if err != nil || len(rp.Pairs) == 0 {
		return wire.KVPair{}, false, err
	}
	return rp.Pairs[0], true, nil
}

// Range reads all keys with a prefix.
func (cl *Client) Range(ctx context.Context, prefix string) (wire.KVRangeReply, error) {
	var rp wire.KVRangeReply
	err := cl.post(ctx, call{op: "plat.Range", path: wire.RouteKVRange}, wire.KVRangeRequest{Prefix: prefix}, &rp)
	return rp, err
}

// Swap writes a key if its revision is still the expected one; the reply says whether it was
// written.
func (cl *Client) Swap(ctx context.Context, rq wire.KVSwapRequest) (wire.KVSwapReply, error) {
	var rp wire.KVSwapReply
	err := cl.post(ctx, call{op: "plat.Swap", path: wire.RouteKVSwap, modifies: true}, rq, &rp)
	return rp, err
}

// Watch waits up to wait for changes after a revision. Without any reply it fails after wait plus
// Config.Timeout.
func (cl *Client) Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (wire.KVWatchReply, error) {
	var rp wire.KVWatchReply
	rq := wire.KVWatchRequest{Prefix: prefix, From: from, WaitMs: wait.Milliseconds()}
	err := cl.post(ctx, call{op: "plat.Watch", path: wire.RouteKVWatch, extraTime: wait}, rq, &rp)
	return rp, err
}

// Lease requests a lease. Keys that are written with it are deleted when it expires.
func (cl *Client) Lease(ctx context.Context, ttl time.Duration) (wire.KVLeaseReply, error) {
	var rp wire.KVLeaseReply
	rq := wire.KVLeaseRequest{TTLMs: ttl.Milliseconds()}
	err := cl.post(ctx, call{op: "plat.Lease", path: wire.RouteKVLease, modifies: true}, rq, &rp)
	return rp, err
}

// KeepAlive renews a lease; held is false if it has already expired. The holder has to count ttl
// from the time before the call, since the reply may have been delayed.
func (cl *Client) KeepAlive(ctx context.Context, id uint64) (ttl time.Duration, held bool, err error) {
	var rp wire.KVLeaseReply
	err = cl.post(ctx, call{op: "plat.KeepAlive", path: wire.RouteKVKeepAlive, modifies: true}, wire.KVLeaseRequest{ID: id}, &rp)
	ttl = time.Duration(rp.TTLMs) * time.Millisecond
	return ttl, ttl > 0, err
}

// VMs reads the VM list.
func (cl *Client) VMs(ctx context.Context) (wire.VMList, error) {
	var rp wire.VMList
	err := cl.callAny(ctx, call{op: "plat.VMs", path: wire.RouteVMs, method: http.MethodGet}, &rp)
	return rp, err
}
