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
	maxIdleConnsPerPeer = 4
	idleConnTimeout     = time.Minute
	// maxPeers bounds the stored peers: VMs are replaced all the time, mostly with new
	// addresses.
	maxPeers = 1024
	// maxReplyBytes bounds a peer's reply.
	maxReplyBytes = 64 << 20
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Self is sent as the origin of forwarded searches.
	Self *inner.VM
	// Timeout bounds the opening of a connection.
	Timeout time.Duration
}

// Client calls other VMs.
type Client struct {
	cfg   ClientConfig
	mu    sync.Mutex
	peers map[string]*peerClient
}

// peerClient is the client of one peer, with connections of its own.
type peerClient struct {
	stub inner.Peer
	tr   *http.Transport
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, peers: make(map[string]*peerClient)}
}

// To returns the stub of the VM with an inner address.
func (cl *Client) To(addr string) inner.Peer {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	pc, ok := cl.peers[addr]
	if !ok {
		if len(cl.peers) >= maxPeers {
			cl.dropAll()
		}
		pc = cl.newPeerClient(addr)
		cl.peers[addr] = pc
	}
	return pc.stub
}

func (cl *Client) newPeerClient(addr string) *peerClient {
	tr := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: cl.cfg.Timeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		IdleConnTimeout:     idleConnTimeout,
		// Messages are small; the header that offers compression would only make them longer.
		DisableCompression: true,
	}
	hc := &http.Client{Transport: &resettingTransport{tr: tr}}
	return &peerClient{stub: inner.NewPeerProtobufClient("http://"+addr, hc), tr: tr}
}

// Close closes idle connections. The client can still be used.
func (cl *Client) Close() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.dropAll()
}

// dropAll drops all peers. Calls in flight are not affected.
func (cl *Client) dropAll() {
	for _, pc := range cl.peers {
		pc.tr.CloseIdleConnections()
	}
	clear(cl.peers)
}

// Run forwards a search to the VM that issued its ticket. The forwarded deadline is the search's,
// or the time until ctx ends if that is shorter.
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
