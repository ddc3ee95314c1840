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
func (se *service) Beat(_ context.Context, rq *inner.BeatRequest) (*inner.BeatReply, error) {
	if err := se.checkVersion(rq.GetVersion()); err != nil {
		return nil, err
	}
	return &inner.BeatReply{Version: inner.Version, From: se.nd.self(), Sequence: rq.GetSequence(), Leaving: se.nd.Leaving()}, nil
}

// Probe tries another VM on the caller's behalf.
func (se *service) Probe(ctx context.Context, rq *inner.ProbeRequest) (*inner.ProbeReply, error) {
	if err := se.checkVersion(rq.GetVersion()); err != nil {
		return nil, err
	}
	rp, err := se.nd.peers.To(rq.GetTarget().GetAddr()).Beat(ctx, &inner.BeatRequest{Version: inner.Version, From: se.nd.self()})
	if err != nil {
		//nolint:nilerr // a VM that cannot be reached is the answer, not a failure
		return &inner.ProbeReply{Version: inner.Version}, nil
	}
	return &inner.ProbeReply{Version: inner.Version, Reached: true, Incarnation: rp.GetFrom().GetIncarnation()}, nil
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
