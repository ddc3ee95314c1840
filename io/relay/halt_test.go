package relay

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/origin"
)

// A server may get no request any more: it is leaving, or its data centre is evacuated. A
// request that waits here for a connection to it was chosen before that and would still be
// sent, seconds later; it has to come back as not sent, so that another server gets it. What
// is chosen later from an old view comes back too, and what is under way goes on.
func TestHaltedServerBeginsNothing(t *testing.T) {
	is := is.New(t)
	here, there := net.Pipe()
	defer there.Close()
	us := newUpstreams(Limits{Most: 1}, func() (net.Conn, error) { return here, nil })
	waits := us.send()
	underWay := us.send() // the newest of those that wait goes first
	go us.run()
	buf := make([]byte, 1)
	_, err := there.Read(buf) // the first one is written
	is.NoErr(err)
	is.True(waits.Err == nil)
	halt := func(on bool) {
		us.po.Sync(origin.New([]*origin.Upstream{us.up}), func(*origin.Upstream) Limits { return Limits{Most: 1, Halted: on} })
	}
	halt(true)
	is.Equal(waits.Err.Kind, KindClosed)
	is.True(!waits.Err.Sent)
	late := us.send()
	is.Equal(late.Err.Kind, KindClosed)
	is.True(!late.Err.Sent)
	is.True(underWay.Err == nil)
	halt(false)
	again := us.send()
	is.True(again.Err == nil)
}
