package node

import (
	"context"
	"encoding/json"

	"github.com/twitchtv/twirp"

	"laburnumvane/io/inner"
	"laburnumvane/io/wire"
)

// peerService answers the requests of other VMs.
type peerService struct {
	nd *Node
}

func (ps *peerService) checkVersion(version uint32) error {
	if version == 0 || version > inner.Version {
		return twirp.InvalidArgumentError("version", "is not one that this VM reads")
	}
	return nil
}

// Beat answers a heartbeat.
func (ps *peerService) Beat(ctx context.Context, rq *inner.BeatRequest) (*inner.BeatReply, error) {
	if err := ps.checkVersion(rq.GetVersion()); err != nil {
		return nil, err
	}
	answered := make(chan *inner.BeatReply, 1)
	ps.nd.post(beatReceived{request: rq, answered: answered})
	return wait(ctx, ps.nd, answered)
}

// Probe sends a heartbeat to a third VM on behalf of the VM that asks.
func (ps *peerService) Probe(ctx context.Context, rq *inner.ProbeRequest) (*inner.ProbeReply, error) {
	if err := ps.checkVersion(rq.GetVersion()); err != nil {
		return nil, err
	}
	answered := make(chan *inner.ProbeReply, 1)
	ps.nd.post(probeRequested{request: rq, answered: answered})
	return wait(ctx, ps.nd, answered)
}

// wait returns the answer of the control goroutine, or an error if the request is cancelled or
// this VM stops first.
func wait[R any](ctx context.Context, nd *Node, answered <-chan R) (R, error) {
	var none R
	select {
	case rp := <-answered:
		return rp, nil
	case <-ctx.Done():
		return none, twirp.NewError(twirp.Canceled, "the caller went away")
	case <-nd.stopping.Done():
		return none, twirp.NewError(twirp.Unavailable, "this VM has stopped")
	}
}

// Run runs a search whose ticket this VM issued.
func (ps *peerService) Run(ctx context.Context, rq *inner.RunRequest) (*inner.RunReply, error) {
	if err := ps.checkVersion(rq.GetVersion()); err != nil {
		return nil, err
	}
	var sr wire.SearchRequest
	if err := json.Unmarshal(rq.GetRequest(), &sr); err != nil {
		return nil, twirp.InvalidArgumentError("request", err.Error())
	}
	an, void := ps.nd.driver.RunForwarded(ctx, sr)
	body, err := json.Marshal(an)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &inner.RunReply{Version: inner.Version, Answer: body, Void: void}, nil
}
