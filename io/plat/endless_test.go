package plat_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/internal/flood"
	"laburnumvane/io/plat"
)

// The key-value service sends a reply that never ends. The call must fail at the limit of a reply, not at its
// timeout, and leave no connection on which bytes still arrive.
func TestEndlessReplies(t *testing.T) {
	const maxReply = 1 << 20
	for _, rp := range flood.Replies() {
		t.Run(rp.Name, func(t *testing.T) {
			is := is.New(t)
			sv := flood.Serve(t, rp)
			cl := plat.New(plat.Config{Addrs: []string{sv.Addr()}, Timeout: time.Minute, MaxReply: maxReply})
			defer cl.Close()
			began := time.Now()
			_, _, err := cl.Get(t.Context(), "a")
			is.True(err != nil)
			is.True(time.Since(began) < time.Minute)
			sv.RequireRead(maxReply)
		})
	}
}
