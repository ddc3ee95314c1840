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

// ClientConfig sets the client of all peers.
type ClientConfig struct {
	// Self is told to peers with each message.
	Self *inner.VM
	// Timeout bounds the opening of a connection and short calls.
	Timeout time.Duration
}

// Client calls other VMs.
type Client struct {
	cfg  ClientConfig
	http *http.Client
	mu   sync.Mutex
	to   map[string]inner.Peer
}

// NewClient makes a client without connections.
func NewClient(cfg ClientConfig) *Client {
	tr := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: cfg.Timeout}).DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: tr}, to: make(map[string]inner.Peer)}
}

// To returns the stub for a VM's inner address.
func (cl *Client) To(addr string) inner.Peer {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	st, ok := cl.to[addr]
	if !ok {
		st = inner.NewPeerProtobufClient("http://"+addr, cl.http)
		cl.to[addr] = st
	}
	return st
}

// Close closes idle connections.
func (cl *Client) Close() {
	cl.http.CloseIdleConnections()
}

// Run forwards a search to the VM that issued its ticket.
func (cl *Client) Run(ctx context.Context, to ticket.Issuer, rq wire.SearchRequest) (wire.SearchAnswer, error) {
	body, err := json.Marshal(rq)
	if err != nil {
		return wire.SearchAnswer{}, errors.Wrap(err, "peer.Run")
	}
	rp, err := cl.To(to.Addr).Run(ctx, &inner.RunRequest{
		Version:    inner.Version,
		From:       cl.cfg.Self,
		Request:    body,
		DeadlineMs: rq.DeadlineMs,
	})
	if err != nil {
		return wire.SearchAnswer{}, errors.Wrap(err, "peer.Run")
	}
	var an wire.SearchAnswer
	if err := json.Unmarshal(rp.GetAnswer(), &an); err != nil {
		return wire.SearchAnswer{}, errors.Wrap(err, "peer.Run")
	}
	return an, nil
}
