package peer

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/core/ticket"
	"laburnumvane/io/inner"
	"laburnumvane/io/wire"
)

const (
	idlePerPeer = 4
	idleClose   = time.Minute
	// maxPeers bounds the peers remembered; VMs are replaced all day, mostly at
	// new addresses.
	maxPeers = 1024
	// maxReplyBytes bounds a peer's reply.
	maxReplyBytes = 64 << 20
)

// ClientConfig sets the client of all peers.
type ClientConfig struct {
	// Self is told to peers with each message.
	Self *inner.VM
	// Timeout bounds the opening of a connection.
	Timeout time.Duration
}

// Client calls other VMs.
type Client struct {
	cfg ClientConfig
	mu  sync.Mutex
	to  map[string]*remote
}

// remote is one peer with connections of its own.
type remote struct {
	stub inner.Peer
	tr   *http.Transport
}

// NewClient makes a client without connections.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, to: make(map[string]*remote)}
}

// To returns the stub for a VM's inner address.
func (cl *Client) To(addr string) inner.Peer {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	rm, ok := cl.to[addr]
	if !ok {
		if len(cl.to) >= maxPeers {
			cl.forget()
		}
		rm = cl.dialTo(addr)
		cl.to[addr] = rm
	}
	return rm.stub
}

func (cl *Client) dialTo(addr string) *remote {
	tr := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: cl.cfg.Timeout}).DialContext,
		MaxIdleConnsPerHost: idlePerPeer,
		IdleConnTimeout:     idleClose,
		// Messages are small; offering compression only makes them longer.
		DisableCompression: true,
	}
	hc := &http.Client{Transport: &wary{tr: tr}}
	return &remote{stub: inner.NewPeerProtobufClient("http://"+addr, hc), tr: tr}
}

// Close closes idle connections.
func (cl *Client) Close() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.forget()
}

// forget drops all peers; calls under way end as they would have.
func (cl *Client) forget() {
	for _, rm := range cl.to {
		rm.tr.CloseIdleConnections()
	}
	clear(cl.to)
}

// Run forwards a search to the VM that issued its ticket. The deadline passed on
// is what ctx leaves of it.
func (cl *Client) Run(ctx context.Context, to ticket.Issuer, rq wire.SearchRequest) (wire.SearchAnswer, error) {
	var an wire.SearchAnswer
	if at, ok := ctx.Deadline(); ok {
		left := max(1, time.Until(at).Milliseconds())
		if rq.DeadlineMs == 0 || rq.DeadlineMs > left {
			rq.DeadlineMs = left
		}
	}
	body, err := json.Marshal(rq)
	if err != nil {
		return an, errors.Wrap(err, "peer.Run")
	}
	rp, err := cl.To(to.Addr).Run(ctx, &inner.RunRequest{
		Version:    inner.Version,
		From:       cl.cfg.Self,
		Request:    body,
		DeadlineMs: rq.DeadlineMs,
	})
	if err != nil {
		return an, errors.Wrap(err, "peer.Run")
	}
	if err := json.Unmarshal(rp.GetAnswer(), &an); err != nil {
		return wire.SearchAnswer{}, errors.Wrap(err, "peer.Run")
	}
	if an.Outcome == "" {
		return wire.SearchAnswer{}, errors.New("peer.Run: the reply holds no answer")
	}
	return an, nil
}
