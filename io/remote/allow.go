package remote

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"laburnumvane/core/quota"
	"laburnumvane/io/inner"
)

// Allow asks the VM with an inner address for permission to run requests of an account.
func (cl *Client) Allow(addr string, rq *inner.AllowRequest) (*inner.AllowReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), quota.CallTimeout)
	defer cancel()
	rp, err := cl.stubs.Client(addr).Allow(ctx, rq)
	var te twirp.Error
	if errors.As(err, &te) && te.Code() == twirp.BadRoute {
		// A VM of an older build holds no part of any limit. It must not count as silent.
		return &inner.AllowReply{}, nil
	}
	if err != nil {
		// The next call must not wait for a connection that went silent.
		cl.stubs.Remove(addr)
		return nil, &Error{Op: "carry.Allow", Kind: KindLost, Addr: addr, Err: err}
	}
	return rp, nil
}
