package client_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/internal/flood"
	"laburnumvane/io/client"
)

// What listens at a VM's address replies without end. A command line tool must report it instead of
// filling the operator's memory.
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
