package follow

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"laburnumvane/core/enlist"
	"laburnumvane/io/inner"
)

// Enlist implements inner.Feed. It writes the caller's entry to the store, together with others.
func (fo *Follower) Enlist(ctx context.Context, rq *inner.EnlistRequest) (*inner.EnlistReply, error) {
	if fo.cfg.Enlist == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this VM writes no entries")
	}
	en := enlist.Entry{Key: rq.GetKey(), Value: rq.GetValue(), DataCentre: rq.GetDataCentre()}
	lease, err := fo.cfg.Enlist(ctx, en)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &inner.EnlistReply{Lease: lease}, nil
}

// enlistTimeout limits the call to another VM, which collects entries for 0.2 s and then writes
// them.
const enlistTimeout = 1500 * time.Millisecond

// RequestEnlist asks another VM to write this VM's entry, and returns the entry's lease. An error
// with the code Unavailable means that the store did not serve that VM.
func (fo *Follower) RequestEnlist(ctx context.Context, addr string, en enlist.Entry) (uint64, error) {
	bounded, cancel := context.WithTimeout(ctx, enlistTimeout)
	defer cancel()
	fo.cfg.Count("enlist")
	rp, err := fo.peers.Client(addr).Enlist(bounded, &inner.EnlistRequest{
		Version: inner.Version, Key: en.Key, Value: en.Value, DataCentre: en.DataCentre,
	})
	if err != nil {
		fo.cfg.Count("enlistFailed")
		return 0, err
	}
	return rp.GetLease(), nil
}
