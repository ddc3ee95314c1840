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

// What listens at the address of another VM replies without end. If the reply is read as long as it
// comes, this VM's memory fills.
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
