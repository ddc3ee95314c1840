package node

import (
	"context"
	"encoding/json"

	"github.com/twitchtv/twirp"

	"laburnumvane/io/inner"
	"laburnumvane/io/wire"
)

// service answers other VMs.
type service struct {
	nd *Node
}

func (se *service) checkVersion(version uint32) error {
	if version == 0 || version > inner.Version {
		return twirp.InvalidArgumentError("version", "is not one that this VM reads")
	}
	return nil
}

// Beat answers a heartbeat.
func (se *service) Beat(ctx context.Context, rq *inner.BeatRequest) (*inner.BeatReply, error) {
	if err := se.checkVersion(rq.GetVersion()); err != nil {
		return nil, err
	}
	answered := make(chan *inner.BeatReply, 1)
	se.nd.post(beatSeen{request: rq, answered: answered})
	return wait(ctx, se.nd, answered)
}

// Probe tries another VM on the caller's behalf.
func (se *service) Probe(ctx context.Context, rq *inner.ProbeRequest) (*inner.ProbeReply, error) {
	if err := se.checkVersion(rq.GetVersion()); err != nil {
		return nil, err
	}
	answered := make(chan *inner.ProbeReply, 1)
	se.nd.post(probeSeen{request: rq, answered: answered})
	return wait(ctx, se.nd, answered)
}

// wait returns what the control goroutine answers.
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

// Run executes a search whose ticket this VM issued.
func (se *service) Run(ctx context.Context, rq *inner.RunRequest) (*inner.RunReply, error) {
	if err := se.checkVersion(rq.GetVersion()); err != nil {
		return nil, err
	}
	var sr wire.SearchRequest
	if err := json.Unmarshal(rq.GetRequest(), &sr); err != nil {
		return nil, twirp.InvalidArgumentError("request", err.Error())
	}
	an, void := se.nd.driver.RunForwarded(ctx, sr)
	body, err := json.Marshal(an)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &inner.RunReply{Version: inner.Version, Answer: body, Void: void}, nil
}
