package stubs_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/internal/flood"
	"laburnumvane/io/inner"
	"laburnumvane/io/stubs"
)

// The process at the address of another VM sends a reply that never ends. Reading all of it fills this
// VM's memory. The call must fail as soon as the limit is reached.
func TestEndlessReplies(t *testing.T) {
	const maxReply = 1 << 20
	for _, rp := range flood.Replies() {
		t.Run(rp.Name, func(t *testing.T) {
			is := is.New(t)
			sv := flood.Serve(t, rp)
			po := stubs.New(stubs.Config[inner.Feed]{
				NewClient: func(base string, hc *http.Client) inner.Feed { return inner.NewFeedProtobufClient(base, hc) },
				MaxReply:  maxReply,
			})
			defer po.Close()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_, err := po.Client(sv.Addr()).Follow(ctx, &inner.FollowRequest{})
			is.True(err != nil)
			is.NoErr(ctx.Err()) // ended before its deadline
			sv.RequireRead(maxReply)
		})
	}
}
