package client_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/internal/flood"
	"laburnumvane/io/client"
)

// The process at a VM's address sends a reply that never ends. A command must report an error instead
// of filling the memory of the operator's machine.
func TestEndlessReplies(t *testing.T) {
	const maxReply = 1 << 20
	for _, rp := range flood.Replies() {
		t.Run(rp.Name, func(t *testing.T) {
			is := is.New(t)
			sv := flood.Serve(t, rp)
			gw, err := client.NewGateway(client.Config{URL: "http://" + sv.Addr(), Timeout: time.Minute, MaxReply: maxReply})
			is.NoErr(err)
			began := time.Now()
			var usage any
			is.True(gw.Accounts(t.Context(), "", &usage) != nil)
			is.True(time.Since(began) < time.Minute)
			sv.RequireRead(maxReply)
		})
	}
}
