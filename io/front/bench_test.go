package front_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"laburnumvane/io/front"
	"laburnumvane/io/wire"
)

// instantSearcher answers at once with five hits, so that the benchmark measures the listener only.
type instantSearcher struct{}

func (instantSearcher) Search(_ context.Context, rq wire.SearchRequest) wire.SearchAnswer {
	an := wire.SearchAnswer{
		ID: rq.ID, Outcome: wire.OutcomeComplete, Snapshot: 7,
		Coverage: wire.Coverage{Shards: 270, Answered: 270, Share: 1}, Hits: make([]wire.Hit, 5),
	}
	for i := range an.Hits {
		an.Hits[i] = wire.Hit{Member: "m000001", Key: "KX53", Fields: json.RawMessage(`{"plate":"KX53","plan":"plus"}`)}
	}
	return an
}

func (instantSearcher) Tickets(string, int) []string { return nil }

// BenchmarkListener compares Front with the bare library doing the minimum that a search needs:
// decode, call, encode.
func BenchmarkListener(b *testing.B) {
	b.Run("bare", func(b *testing.B) {
		ln := listen(b)
		srv := server.New(server.WithListener(ln), server.WithTransport(standard.NewTransporter), server.WithDisablePrintRoute(true))
		srv.POST(wire.RouteSearch, func(ctx context.Context, rc *app.RequestContext) {
			var rq wire.SearchRequest
			if err := json.Unmarshal(rc.Request.Body(), &rq); err != nil {
				rc.SetStatusCode(http.StatusBadRequest)
				return
			}
			rc.JSON(http.StatusOK, instantSearcher{}.Search(ctx, rq))
		})
		measure(b, ln.Addr().String(), srv.Run, srv.Shutdown)
	})
	b.Run("front", func(b *testing.B) {
		ln := listen(b)
		fr := front.New(front.Config{
			Listener: ln, Search: instantSearcher{}, Leaving: func() bool { return false }, MaxBody: 1 << 20,
			ReadTimeout: waitTimeout, MaxDeadline: time.Minute, NewID: func() string { return "own" },
			Refused: func(string) {}, Log: func(wire.SearchRequest, wire.SearchAnswer) {},
		})
		measure(b, ln.Addr().String(), fr.Serve, fr.Shutdown)
	})
}

func listen(b *testing.B) net.Listener {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return ln
}

func measure(b *testing.B, addr string, serve func() error, shutdown func(context.Context) error) {
	b.Helper()
	ended := make(chan error, 1)
	go func() { ended <- serve() }()
	raw := fmt.Sprintf("POST /v1/search HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(validSearch), validSearch)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			b.Error(err)
			return
		}
		defer nc.Close()
		rd := bufio.NewReader(nc)
		for pb.Next() {
			if err := exchange(nc, rd, raw); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.StopTimer()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := shutdown(ctx); err != nil {
		b.Error(err)
	}
	if err := <-ended; err != nil {
		b.Error(err)
	}
}

func exchange(nc net.Conn, rd *bufio.Reader, raw string) error {
	if _, err := io.WriteString(nc, raw); err != nil {
		return err
	}
	rs, err := http.ReadResponse(rd, nil)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	_, err = io.Copy(io.Discard, rs.Body)
	return err
}
