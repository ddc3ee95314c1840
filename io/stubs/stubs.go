// Package stubs holds an RPC client for each VM that is called. Each client has its own
// connection pool, so that the connections to one VM can be closed without affecting others.
//
// # Usage
//
//	po := stubs.New(stubs.Config[inner.Feed]{NewClient: newClient, DialTimeout: dialTimeout, MaxIdle: 2})
//	reply, err := po.Client(addr).Follow(ctx, request)
//	po.Remove(addr)
//
// A Pool may be used from many goroutines.
package stubs

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = time.Minute
	// DefaultMaxReply is more than a copy of the store or the joined results of all shards take.
	DefaultMaxReply = 64 << 20
	// maxHeadBytes limits the head of a reply.
	maxHeadBytes = 64 << 10
)

// Config configures a pool of clients of type T.
type Config[T any] struct {
	// NewClient returns a client of the VM with a base URL such as "http://127.0.0.1:9000".
	NewClient func(base string, hc *http.Client) T
	// DialTimeout limits the opening of a connection; 0 is no limit.
	DialTimeout time.Duration
	// Dial opens a connection to the VM with an address; nil means a dialer with DialTimeout.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// ContinueTimeout is how long a call with Expect: 100-continue waits before it sends its body
	// anyway.
	ContinueTimeout time.Duration
	// MaxIdle is the maximum number of idle connections kept to each VM.
	MaxIdle int
	// MaxReply limits the size of a reply, in bytes; 0 means DefaultMaxReply.
	MaxReply int64
}

// Pool holds a client for each VM that was called, until Remove or Close.
type Pool[T any] struct {
	cfg    Config[T]
	mu     sync.Mutex
	byAddr map[string]vmClient[T]
}

type vmClient[T any] struct {
	client    T
	transport *http.Transport
}

// New returns an empty pool.
func New[T any](cfg Config[T]) *Pool[T] {
	if cfg.MaxReply <= 0 {
		cfg.MaxReply = DefaultMaxReply
	}
	return &Pool[T]{cfg: cfg, byAddr: make(map[string]vmClient[T])}
}

// Client returns the client of the VM with an inner address, and creates it if needed.
func (po *Pool[T]) Client(addr string) T {
	po.mu.Lock()
	defer po.mu.Unlock()
	st, ok := po.byAddr[addr]
	if !ok {
		dial := po.cfg.Dial
		if dial == nil {
			dial = (&net.Dialer{Timeout: po.cfg.DialTimeout}).DialContext
		}
		tr := &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: po.cfg.MaxIdle,
			IdleConnTimeout:     idleTimeout,
			// Messages are small or already compressed; an Accept-Encoding header
			// would only make them longer.
			DisableCompression:     true,
			ExpectContinueTimeout:  po.cfg.ContinueTimeout,
			MaxResponseHeaderBytes: maxHeadBytes,
		}
		hc := &http.Client{Transport: &limitedTransport{tr: tr, maxReply: po.cfg.MaxReply}}
		st = vmClient[T]{client: po.cfg.NewClient("http://"+addr, hc), transport: tr}
		po.byAddr[addr] = st
	}
	return st.client
}

// limitedTransport limits the size of replies. The library for calls reads a reply completely,
// however long it is.
type limitedTransport struct {
	tr       *http.Transport
	maxReply int64
}

// RoundTrip implements http.RoundTripper.
func (lt *limitedTransport) RoundTrip(rq *http.Request) (*http.Response, error) {
	rs, err := lt.tr.RoundTrip(rq)
	if err == nil {
		rs.Body = http.MaxBytesReader(nil, rs.Body, lt.maxReply)
	}
	return rs, err
}

// Remove removes a VM's client and closes its idle connections. After a call without an answer its
// connection may be dead, while a new one may work.
func (po *Pool[T]) Remove(addr string) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if st, ok := po.byAddr[addr]; ok {
		st.transport.CloseIdleConnections()
		delete(po.byAddr, addr)
	}
}

// CloseIdle closes the idle connections to a VM, so that the next call opens one.
func (po *Pool[T]) CloseIdle(addr string) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if st, ok := po.byAddr[addr]; ok {
		st.transport.CloseIdleConnections()
	}
}

// Close removes all clients and closes their idle connections.
func (po *Pool[T]) Close() {
	po.mu.Lock()
	defer po.mu.Unlock()
	for _, st := range po.byAddr {
		st.transport.CloseIdleConnections()
	}
	clear(po.byAddr)
}
