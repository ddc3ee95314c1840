package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/io/wire"
)

// maxReplyBytes bounds a reply of the service.
const maxReplyBytes = 64 << 20

// Config sets a client.
type Config struct {
	// Addrs are the service's addresses, tried in turn.
	Addrs []string
	// Timeout bounds a call, a watch's wait not counted.
	Timeout time.Duration
}

// Client talks to the key-value service, or to the VM list.
type Client struct {
	cfg  Config
	http *http.Client
	next atomic.Uint32
}

// New makes a client. It opens no connection before the first call.
func New(cfg Config) *Client {
	tr := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: cfg.Timeout}).DialContext,
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
	err = cl.post(ctx, "plat.Get", wire.RouteKVGet, wire.KVGetRequest{Key: key}, &rp, 0)
	if err != nil || len(rp.Pairs) == 0 {
		return wire.KVPair{}, false, err
	}
	return rp.Pairs[0], true, nil
}

// Range reads all keys with a prefix.
func (cl *Client) Range(ctx context.Context, prefix string) (wire.KVRangeReply, error) {
	var rp wire.KVRangeReply
	err := cl.post(ctx, "plat.Range", wire.RouteKVRange, wire.KVRangeRequest{Prefix: prefix}, &rp, 0)
	return rp, err
}

// Swap writes a key if its revision is still the one expected.
func (cl *Client) Swap(ctx context.Context, rq wire.KVSwapRequest) (wire.KVSwapReply, error) {
	var rp wire.KVSwapReply
	err := cl.post(ctx, "plat.Swap", wire.RouteKVSwap, rq, &rp, 0)
	return rp, err
}

// Watch waits up to wait for changes after a revision.
func (cl *Client) Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (wire.KVWatchReply, error) {
	var rp wire.KVWatchReply
	rq := wire.KVWatchRequest{Prefix: prefix, From: from, WaitMs: wait.Milliseconds()}
	err := cl.post(ctx, "plat.Watch", wire.RouteKVWatch, rq, &rp, wait)
	return rp, err
}

// VMs reads the VM list.
func (cl *Client) VMs(ctx context.Context) (wire.VMList, error) {
	var rp wire.VMList
	err := cl.call(ctx, "plat.VMs", http.MethodGet, wire.RouteVMs, nil, &rp, 0)
	return rp, err
}

func (cl *Client) post(ctx context.Context, op, path string, in, out any, wait time.Duration) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &Error{Op: op, Kind: KindDecode, Err: err}
	}
	return cl.call(ctx, op, http.MethodPost, path, body, out, wait)
}

func (cl *Client) call(ctx context.Context, op, method, path string, body []byte, out any, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, cl.cfg.Timeout+wait)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, cl.url(path), bytes.NewReader(body))
	if err != nil {
		return &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	// Without GetBody the standard client cannot send a request a second
	// time by itself: a swap that was lost would otherwise run twice.
	rq.GetBody = nil
	rq.Header.Set("Content-Type", "application/json")
	rs, err := cl.http.Do(rq)
	if err != nil {
		cl.next.Add(1)
		return &Error{Op: op, Kind: kindOf(err), Doubtful: !refused(err), Err: err}
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		cl.next.Add(1)
		return &Error{Op: op, Kind: KindStatus, Doubtful: true, Err: errors.Errorf("status %d", rs.StatusCode)}
	}
	if err := json.NewDecoder(io.LimitReader(rs.Body, maxReplyBytes)).Decode(out); err != nil {
		return &Error{Op: op, Kind: KindDecode, Doubtful: true, Err: err}
	}
	return nil
}

func (cl *Client) url(path string) string {
	addr := cl.cfg.Addrs[int(cl.next.Load())%len(cl.cfg.Addrs)]
	return "http://" + addr + path
}

func kindOf(err error) Kind {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return KindTimeout
	}
	return KindUnreachable
}

// refused tells whether no connection was made, so that nothing was asked.
func refused(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}
