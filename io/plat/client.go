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

// Config sets a client.
type Config struct {
	// Addrs are the service's addresses. A call goes to the one that worked
	// last, and on to the next where no connection can be made.
	Addrs []string
	// Timeout bounds a call, a watch's wait not counted.
	Timeout time.Duration
	// MaxReply bounds a reply, in bytes; 0 takes the default.
	MaxReply int64
}

// Client talks to the key-value service, or to the VM list.
type Client struct {
	cfg  Config
	http *http.Client
	next atomic.Uint32
}

// New makes a client. It opens no connection before the first call.
func New(cfg Config) *Client {
	if cfg.MaxReply <= 0 {
		cfg.MaxReply = DefaultMaxReply
	}
	// An address that swallows packets must leave time for the next one.
	dialTimeout := cfg.Timeout / time.Duration(max(1, len(cfg.Addrs)))
	tr := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: tr}}
}

// Close closes idle connections.
func (cl *Client) Close() {
	cl.http.CloseIdleConnections()
}

// Get reads one key; ok is false where it is absent.
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

// Swap writes a key if its revision is still the one expected.
func (cl *Client) Swap(ctx context.Context, rq wire.KVSwapRequest) (wire.KVSwapReply, error) {
	var rp wire.KVSwapReply
	err := cl.post(ctx, call{op: "plat.Swap", path: wire.RouteKVSwap, effect: true}, rq, &rp)
	return rp, err
}

// Watch waits up to wait for changes after a revision. One that goes silent is
// given up after wait and Timeout together.
func (cl *Client) Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (wire.KVWatchReply, error) {
	var rp wire.KVWatchReply
	rq := wire.KVWatchRequest{Prefix: prefix, From: from, WaitMs: wait.Milliseconds()}
	err := cl.post(ctx, call{op: "plat.Watch", path: wire.RouteKVWatch, wait: wait}, rq, &rp)
	return rp, err
}

// Lease grants a lease for a time; keys that were written with it go when it
// lapses.
func (cl *Client) Lease(ctx context.Context, ttl time.Duration) (wire.KVLeaseReply, error) {
	var rp wire.KVLeaseReply
	rq := wire.KVLeaseRequest{TTLMs: ttl.Milliseconds()}
	err := cl.post(ctx, call{op: "plat.Lease", path: wire.RouteKVLease, effect: true}, rq, &rp)
	return rp, err
}

// KeepAlive renews a lease; held is false where it has lapsed already. A holder
// counts its time from before the call, as the reply may have taken long.
func (cl *Client) KeepAlive(ctx context.Context, id uint64) (ttl time.Duration, held bool, err error) {
	var rp wire.KVLeaseReply
	err = cl.post(ctx, call{op: "plat.KeepAlive", path: wire.RouteKVKeepAlive, effect: true}, wire.KVLeaseRequest{ID: id}, &rp)
	ttl = time.Duration(rp.TTLMs) * time.Millisecond
	return ttl, ttl > 0, err
}

// VMs reads the VM list.
func (cl *Client) VMs(ctx context.Context) (wire.VMList, error) {
	var rp wire.VMList
	err := cl.run(ctx, call{op: "plat.VMs", path: wire.RouteVMs, method: http.MethodGet}, &rp)
	return rp, err
}
