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

// upstreams stands in for one server: openings are counted, and wait to be run.
type upstreams struct {
	po    *Pool
	up    *origin.Upstream
	now   atomic.Int64
	tasks []func()
	opens int
	sent  int
	dial  func() (net.Conn, error)
}

func newUpstreams(li Limits, dial func() (net.Conn, error)) *upstreams {
	us := &upstreams{up: &origin.Upstream{ID: "a", Service: "s", Addr: "127.0.0.1:1"}, dial: dial}
	us.now.Store(int64(time.Second))
	us.po = New(Config{
		Clock: func() time.Duration { return time.Duration(us.now.Load()) },
		Dial: func(string, time.Duration) (net.Conn, error) {
			us.opens++
			return us.dial()
		},
		Go: func(task func()) { us.tasks = append(us.tasks, task) },
	})
	us.po.Sync(origin.New([]*origin.Upstream{us.up}), func(*origin.Upstream) Limits { return li })
	return us
}

// send sends a request and returns where its result will stand.
func (us *upstreams) send() *Result {
	us.sent++
	rs := &Result{}
	us.po.Send(us.up, Request{ID: strconv.Itoa(us.sent), Wire: []byte("x"), Done: func(got Result) { *rs = got }})
	return rs
}

// run runs the openings handed in so far.
func (us *upstreams) run() {
	tasks := us.tasks
	us.tasks = nil
	for _, task := range tasks {
		task()
	}
}

// A server is out of reach, and many requests ask for it at once. Each opening hangs
// for a second and takes the place of one to a sound server. Two find out as well as
// eight that it cannot be reached, and all requests are sent elsewhere then.
func TestOpeningsTowardsAServerOutOfReach(t *testing.T) {
	is := is.New(t)
	us := newUpstreams(Limits{Most: 8}, func() (net.Conn, error) { return nil, errors.New("no way there") })
	var results []*Result
	for range 20 {
		results = append(results, us.send())
	}
	is.Equal(len(us.tasks), unprovenMost)
	us.run()
	for _, rs := range results {
		is.True(rs.Err != nil)
		is.True(!rs.Err.Sent)
	}
	is.Equal(us.opens, unprovenMost)
}

// The same requests at a server that can be reached: once the first connection is
// open, those that still wait get more.
func TestOpeningsFollowTheFirst(t *testing.T) {
	is := is.New(t)
	var ends []net.Conn
	us := newUpstreams(Limits{Most: 8}, func() (net.Conn, error) {
		here, there := net.Pipe()
		ends = append(ends, there)
		go func() {
			// A server that reads and never answers.
			buf := make([]byte, 1)
			for {
				if _, err := there.Read(buf); err != nil {
					return
				}
			}
		}()
		return here, nil
	})
	for range 6 {
		us.send()
	}
	for range 6 {
		us.run()
	}
	is.Equal(us.opens, 6)
	for _, end := range ends {
		is.NoErr(end.Close())
	}
}

// All VMs lost their power, and a server still holds their connections of before: its
// places are taken, and it resets each new one at once. Opened again with every tick,
// as soon as a fifth of a second after a reset, 174 VMs made 38,000 openings in ten
// seconds, and requests that needed one had no chance among them.
func TestResetOpeningsGrowRare(t *testing.T) {
	is := is.New(t)
	full := true
	var us *upstreams
	us = newUpstreams(Limits{Warm: 1, Most: 1}, func() (net.Conn, error) {
		here, there := net.Pipe()
		if full {
			// The proof of an opening waits as long as it took.
			us.now.Add(int64(20 * time.Millisecond))
			return here, there.Close()
		}
		return here, nil
	})
	tick := func(span time.Duration) {
		for end := us.now.Load() + int64(span); us.now.Load() < end; us.now.Add(int64(250 * time.Millisecond)) {
			us.po.Tick()
			us.run()
		}
	}
	tick(10 * time.Second)
	t.Logf("%d openings in 10 s", us.opens)
	is.True(us.opens <= 8)
	// A request does not wait for that: a client does for it.
	before := us.opens
	us.send()
	us.run()
	is.Equal(us.opens, before+1)
	// And once there is room again, the connection is kept as planned.
	full = false
	tick(10 * time.Second)
	is.Equal(us.po.Cold(), 0)
}
