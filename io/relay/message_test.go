package relay

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request waits for a connection. A message made when the wait began would tell the server of
// time that has passed meanwhile; one whose time is over must not be sent at all.
func TestMessageIsMadeWhenConnectionIsFree(t *testing.T) {
	is := is.New(t)
	local, remote := net.Pipe()
	defer remote.Close()
	fs := newFakeServer(Limits{Max: 1}, func() (net.Conn, error) { return local, nil })
	var madeAt time.Duration
	live, expired := &Result{}, &Result{}
	fs.po.Send(fs.up, Request{ID: "live", Priority: 1, Done: func(rs Result) { *live = rs }, Message: func() []byte {
		madeAt = time.Duration(fs.now.Load())
		return []byte("x")
	}})
	fs.po.Send(fs.up, Request{ID: "expired", Done: func(rs Result) { *expired = rs }, Message: func() []byte { return nil }})
	is.Equal(madeAt, time.Duration(0))
	opened := time.Duration(fs.now.Add(int64(900 * time.Millisecond)))
	go fs.run()
	_, err := remote.Read(make([]byte, 1))
	is.NoErr(err)
	is.Equal(madeAt, opened)
	is.True(live.Err == nil)
	is.Equal(expired.Err.Kind, KindExpired)
	is.True(!expired.Err.Sent)
}
