package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"laburnumvane/core/fanout"
	"laburnumvane/core/gauge"
	"laburnumvane/core/origin"
	"laburnumvane/core/plan"
	"laburnumvane/core/poison"
	"laburnumvane/core/rank"
	"laburnumvane/core/route"
	"laburnumvane/core/steer"
	"laburnumvane/core/warmup"
	"laburnumvane/io/meter"
	"laburnumvane/io/relay"
)

// queuedSite is a request to three servers, which are numbered in the order in which the request
// opens connections to them.
type queuedSite struct {
	en    *Entry
	rt    *route.Route
	dials atomic.Int64
}

// newQueuedSite starts an entry without a listener. dial returns the connection to the server with a
// number, from 1.
func newQueuedSite(t *testing.T, idempotent bool, dial func(number int64) net.Conn) *queuedSite {
	t.Helper()
	is := is.New(t)
	const service = "s"
	qs := &queuedSite{}
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	po := relay.New(relay.Config{Clock: clock, HeaderID: "Id", Dial: func(string, time.Duration) (net.Conn, error) {
		return dial(qs.dials.Add(1)), nil
	}})
	t.Cleanup(po.Close)
	var ups []*origin.Upstream
	for k := range 3 {
		ups = append(ups, &origin.Upstream{ID: fmt.Sprint("i-", k), Service: service, Addr: fmt.Sprint("127.0.0.1:", k), DataCentre: "east", Slots: 4})
	}
	dir := origin.New(ups)
	po.Sync(dir, func(*origin.Upstream) relay.Limits { return relay.Limits{Max: 1} })
	rt := route.Route{
		Name: "one", Host: "h", Prefix: "/", Idempotent: idempotent, MaxAttempts: 2,
		Timeout: 3 * time.Second, Target: 200 * time.Millisecond, Split: []route.Share{{Service: service, Weight: 1}},
	}
	vw := plan.New(plan.Config{Self: rank.VM{Addr: "vm", DataCentre: "east"}, Routes: route.New(route.Config{Routes: []route.Route{rt}}), Upstreams: dir})
	qs.rt = vw.Routes().Routes()[0]
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	qs.en = New(Config{
		Listener: ln, DataCentre: "east", Clock: clock, View: func() *plan.View { return vw }, Relay: po,
		Names: HeaderNames{RequestID: "Id", Deadline: "Left", Target: "Target", Receipt: "Receipt", NotRun: "Not-Run"},
		Steer: steer.New(steer.Config{DataCentre: "east"}), WarmUp: warmup.New(), Poison: poison.New(),
		CopyAge: func() time.Duration { return 0 }, Meter: meter.New(), Gauge: gauge.New(gauge.Config{}),
		Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	qs.en.SetExtra(ExtraAttempts{Share: 1, Burst: 10, Window: time.Second, Part: 1})
	return qs
}

// run runs one request.
func (qs *queuedSite) run() fanout.Answer {
	rq := &request{id: "x", method: http.MethodGet, uri: "/", host: "h", began: qs.en.cfg.Clock()}
	return qs.en.newFlight(rq, qs.rt, qs.en.cfg.View()).run(context.Background())
}

// The first server of a request does not answer, and the second attempt waits for a connection. A
// third server is healthy. If the second attempt is not taken back, because nothing else is due for
// the request, the client waits until its deadline for an answer that the third server has.
func TestQueuedHedgeIsTakenBack(t *testing.T) {
	is := is.New(t)
	stop := make(chan struct{})
	defer close(stop)
	qs := newQueuedSite(t, true, func(number int64) net.Conn {
		local, remote := net.Pipe()
		switch number {
		case 1:
			go func() { _, _ = io.Copy(io.Discard, remote) }()
		case 2:
			<-stop
		default:
			go answerAll(remote, "Receipt: r")
		}
		return local
	})
	is.Equal(qs.run().Outcome, fanout.OutcomeServed)
	is.Equal(qs.dials.Load(), int64(3))
}

// A request that may run once waits for a connection to the second server, and the others refuse it.
// If it is taken back, it uses up its attempts at servers that are full, and is refused although the
// second server would have served it.
func TestQueuedRequestThatMayRunOnceWaits(t *testing.T) {
	is := is.New(t)
	qs := newQueuedSite(t, false, func(number int64) net.Conn {
		local, remote := net.Pipe()
		if number == 2 {
			time.Sleep(400 * time.Millisecond)
			go answerAll(remote, "Receipt: r")
		} else {
			go answerAll(remote, "Not-Run: 1")
		}
		return local
	})
	is.Equal(qs.run().Outcome, fanout.OutcomeServed)
	is.Equal(qs.dials.Load(), int64(2))
}

// answerAll answers each request of a connection with a header line.
func answerAll(nc net.Conn, line string) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		rq, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+line+"\r\nId: "+rq.Header.Get("Id")+"\r\n\r\n"); err != nil {
			return
		}
	}
}
