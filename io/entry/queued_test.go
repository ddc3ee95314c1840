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

// The first server of a request does not answer, and the second attempt waits for a connection. A
// third server is healthy. If the second attempt is not taken back, because nothing else is due for
// the request, the client waits until its deadline for an answer that the third server has.
func TestQueuedHedgeIsTakenBack(t *testing.T) {
	is := is.New(t)
	const service = "s"
	stop := make(chan struct{})
	defer close(stop)
	var dials atomic.Int64
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	po := relay.New(relay.Config{Clock: clock, HeaderID: "Id", Dial: func(string, time.Duration) (net.Conn, error) {
		local, remote := net.Pipe()
		switch dials.Add(1) {
		case 1:
			go func() { _, _ = io.Copy(io.Discard, remote) }()
		case 2:
			<-stop
		default:
			go answerAll(remote)
		}
		return local, nil
	}})
	defer po.Close()
	var ups []*origin.Upstream
	for k := range 3 {
		ups = append(ups, &origin.Upstream{ID: fmt.Sprint("i-", k), Service: service, Addr: fmt.Sprint("127.0.0.1:", k), DataCentre: "east", Slots: 4})
	}
	dir := origin.New(ups)
	po.Sync(dir, func(*origin.Upstream) relay.Limits { return relay.Limits{Max: 1} })
	rt := route.Route{
		Name: "one", Host: "h", Prefix: "/", Idempotent: true, MaxAttempts: 2,
		Timeout: 3 * time.Second, Target: 200 * time.Millisecond, Split: []route.Share{{Service: service, Weight: 1}},
	}
	vw := plan.New(plan.Config{Self: rank.VM{Addr: "vm", DataCentre: "east"}, Routes: route.New(route.Config{Routes: []route.Route{rt}}), Upstreams: dir})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	en := New(Config{
		Listener: ln, DataCentre: "east", Names: HeaderNames{RequestID: "Id", Deadline: "Left", Target: "Target", Receipt: "Receipt"},
		Clock: clock, View: func() *plan.View { return vw }, Relay: po, Steer: steer.New(steer.Config{DataCentre: "east"}),
		WarmUp: warmup.New(), Poison: poison.New(), CopyAge: func() time.Duration { return 0 },
		Meter: meter.New(), Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, Gauge: gauge.New(gauge.Config{}),
	})
	en.SetExtra(ExtraAttempts{Share: 1, Burst: 10, Window: time.Second, Part: 1})
	fl := en.newFlight(&request{id: "x", method: http.MethodGet, uri: "/", host: "h", began: clock()}, vw.Routes().Routes()[0], vw)
	an := fl.run(context.Background())
	is.Equal(an.Outcome, fanout.OutcomeServed)
	is.Equal(dials.Load(), int64(3))
}

// answerAll answers each request of a connection.
func answerAll(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		rq, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nReceipt: r\r\nId: "+rq.Header.Get("Id")+"\r\n\r\n"); err != nil {
			return
		}
	}
}
