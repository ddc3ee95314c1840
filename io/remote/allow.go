package remote

import (
	"context"
	"time"

	"laburnumvane/io/inner"
)

// allowTimeout limits a call for permission to run requests. Requests wait for a fifth of it; a
// later reply still brings its tokens.
const allowTimeout = 100 * time.Millisecond

// Allow asks the VM with an inner address for permission to run requests of an account.
func (cl *Client) Allow(addr string, rq *inner.AllowRequest) (*inner.AllowReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), allowTimeout)
	defer cancel()
	rp, err := cl.stubs.Client(addr).Allow(ctx, rq)
	if err != nil {
		return nil, &Error{Op: "carry.Allow", Kind: KindLost, Addr: addr, Err: err}
	}
	return rp, nil
}
