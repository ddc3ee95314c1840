package relay

import (
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"laburnumvane/core/origin"
)

// fakeServer is one server whose dials are counted and run only when the test calls run.
type fakeServer struct {
	po    *Pool
	up    *origin.Upstream
	now   atomic.Int64
	tasks []func()
	dials int
	sent  int
	dial  func() (net.Conn, error)
}

func newFakeServer(li Limits, dial func() (net.Conn, error)) *fakeServer {
	fs := &fakeServer{up: &origin.Upstream{ID: "a", Service: "s", Addr: "127.0.0.1:1"}, dial: dial}
	fs.now.Store(int64(time.Second))
	fs.po = New(Config{
		Clock: func() time.Duration { return time.Duration(fs.now.Load()) },
		Dial: func(string, time.Duration) (net.Conn, error) {
			fs.dials++
			return fs.dial()
		},
		Go: func(task func()) { fs.tasks = append(fs.tasks, task) },
	})
	fs.po.Sync(origin.New([]*origin.Upstream{fs.up}), func(*origin.Upstream) Limits { return li })
	return fs
}

// send sends a request and returns where its result will be stored.
func (fs *fakeServer) send() *Result {
	fs.sent++
	rs := &Result{}
	fs.po.Send(fs.up, Request{ID: strconv.Itoa(fs.sent), Message: func() []byte { return []byte("x") }, Done: func(got Result) { *rs = got }})
	return rs
}

// run runs the dials requested so far.
func (fs *fakeServer) run() {
	tasks := fs.tasks
	fs.tasks = nil
	for _, task := range tasks {
		task()
	}
}

// A server is unreachable, and many requests go to it at once. Each dial hangs for a second and
// takes the place of one to a healthy server. Two dials find out as well as eight that the
// server cannot be reached, and then all requests fail over to other servers.
func TestDialsToUnreachableServerAreLimited(t *testing.T) {
	is := is.New(t)
	fs := newFakeServer(Limits{Max: 8}, func() (net.Conn, error) { return nil, errors.New("no route to the server") })
	var results []*Result
	for range 20 {
		results = append(results, fs.send())
	}
	is.Equal(len(fs.tasks), maxUnprovenDials)
	fs.run()
	for _, rs := range results {
		is.True(rs.Err != nil)
		is.True(!rs.Err.Sent)
	}
	is.Equal(fs.dials, maxUnprovenDials)
}

// The same requests at a reachable server: once the first connection is open, more are opened
// for the requests that still wait.
func TestMoreDialsAfterFirstSucceeds(t *testing.T) {
	is := is.New(t)
	var ends []net.Conn
	fs := newFakeServer(Limits{Max: 8}, func() (net.Conn, error) {
		local, remote := net.Pipe()
		ends = append(ends, remote)
		go func() {
			// A server that reads and never responds.
			buf := make([]byte, 1)
			for {
				if _, err := remote.Read(buf); err != nil {
					return
				}
			}
		}()
		return local, nil
	})
	for range 6 {
		fs.send()
	}
	for range 6 {
		fs.run()
	}
	is.Equal(fs.dials, 6)
	for _, end := range ends {
		is.NoErr(end.Close())
	}
}

// All VMs lost their power, and a server still holds their old connections: it has no free
// slots and resets each new connection at once. When they were opened again with every tick, as
// soon as 0.2 s after a reset, 174 VMs made 38,000 dials in ten seconds, and requests that
// needed a connection could not get one.
func TestResetDialsBackOff(t *testing.T) {
	is := is.New(t)
	full := true
	var fs *fakeServer
	fs = newFakeServer(Limits{Idle: 1, Max: 1}, func() (net.Conn, error) {
		local, remote := net.Pipe()
		if full {
			// A new connection is watched for as long as the dial took.
			fs.now.Add(int64(20 * time.Millisecond))
			return local, remote.Close()
		}
		return local, nil
	})
	tick := func(span time.Duration) {
		for end := fs.now.Load() + int64(span); fs.now.Load() < end; fs.now.Add(int64(250 * time.Millisecond)) {
			fs.po.Tick()
			fs.run()
		}
	}
	tick(10 * time.Second)
	t.Logf("%d dials in 10 s", fs.dials)
	is.True(fs.dials <= 8)
	// A request does not wait for the backoff of idle connections, because a client waits for
	// it.
	before := fs.dials
	fs.send()
	fs.run()
	is.Equal(fs.dials, before+1)
	// Once the server has free slots, a connection is kept as planned.
	full = false
	tick(10 * time.Second)
	is.Equal(fs.po.ColdServers(), 0)
}
