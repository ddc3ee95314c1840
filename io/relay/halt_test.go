package relay

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/origin"
)

// A server must get no further requests, because it is leaving or its data centre is evacuated.
// A request that waits for a connection to it was assigned before that and would still be sent
// seconds later. It has to fail as not sent, so that another server gets it. Requests that are
// assigned later from an old view fail in the same way, and requests already sent continue.
func TestHaltedServerStartsNoRequest(t *testing.T) {
	is := is.New(t)
	local, remote := net.Pipe()
	defer remote.Close()
	fs := newFakeServer(Limits{Max: 1}, func() (net.Conn, error) { return local, nil })
	queued := fs.send()
	active := fs.send() // the newest queued request goes first
	go fs.run()
	buf := make([]byte, 1)
	_, err := remote.Read(buf) // one request is written
	is.NoErr(err)
	is.True(queued.Err == nil)
	halt := func(on bool) {
		fs.po.Sync(origin.New([]*origin.Upstream{fs.up}), func(*origin.Upstream) Limits { return Limits{Max: 1, Halted: on} })
	}
	halt(true)
	is.Equal(queued.Err.Kind, KindClosed)
	is.True(!queued.Err.Sent)
	late := fs.send()
	is.Equal(late.Err.Kind, KindClosed)
	is.True(!late.Err.Sent)
	is.True(active.Err == nil)
	halt(false)
	again := fs.send()
	is.True(again.Err == nil)
}
