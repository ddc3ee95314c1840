package remote_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/origin"
	"laburnumvane/io/inner"
	"laburnumvane/io/remote"
)

// BenchmarkCarry compares a request on an existing connection with one for which a connection is
// opened and the process is asked whether it is ready. A clock that jumps makes every VM stale.
func BenchmarkCarry(b *testing.B) {
	for _, bc := range []struct {
		name string
		step time.Duration
	}{{"fresh", time.Microsecond}, {"stale", time.Second}} {
		b.Run(bc.name, func(b *testing.B) {
			is := is.New(b)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			srv := &http.Server{Handler: inner.NewHomeServer(&fakeVM{}), ReadHeaderTimeout: testTimeout}
			go func() {
				// Serve returns when the benchmark closes the server.
				_ = srv.Serve(ln)
			}()
			defer func() { _ = srv.Close() }()
			var now atomic.Int64
			cl := remote.New(remote.Config{DataCentre: "east", Clock: func() time.Duration { return time.Duration(now.Load()) }})
			defer cl.Close()
			up := &origin.Upstream{ID: ln.Addr().String(), Addr: ln.Addr().String(), DataCentre: "east"}
			for b.Loop() {
				now.Add(int64(bc.step))
				_, _, err := cl.Carry(b.Context(), []*origin.Upstream{up}, usual, 0, &inner.CarryRequest{Id: "x"})
				// On a busy machine a connection may take too long to open.
				is.True(!remote.MayHaveRun(err))
			}
		})
	}
}
