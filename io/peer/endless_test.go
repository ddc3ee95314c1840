package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/internal/flood"
	"laburnumvane/io/inner"
	"laburnumvane/io/peer"
)

// The process at the address of another VM sends a reply that never ends. Reading all of it fills this
// VM's memory. The call must fail as soon as the limit is reached.
func TestEndlessReplies(t *testing.T) {
	const maxReplyBytes = 64 << 20
	for _, rp := range flood.Replies() {
		t.Run(rp.Name, func(t *testing.T) {
			is := is.New(t)
			sv := flood.Serve(t, rp)
			cl := peer.NewClient(peer.ClientConfig{Timeout: time.Minute})
			defer cl.Close()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_, err := cl.To(sv.Addr()).Beat(ctx, &inner.BeatRequest{})
			is.True(err != nil)
			is.NoErr(ctx.Err()) // ended before its deadline
			sv.RequireRead(maxReplyBytes)
		})
	}
}
