package costs_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/io/wire"
)

// BenchmarkCaller measures the callers' side of a search: reading the request and writing the answer.
// The listener runs in the peer process, so that only the peer's metrics matter.
func BenchmarkCaller(b *testing.B) {
	for _, hits := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("hits=%d", hits), func(b *testing.B) {
			is := is.New(b)
			ad := startPeer(b)
			hc := dialHTTP(b, ad.Caller)
			rq := searchRequest()
			rq.ID = strconv.Itoa(hits)
			cm := startMeter(b, ad)
			for b.Loop() {
				var an wire.SearchAnswer
				hc.call(b, wire.RouteSearch, rq, &an)
				is.Equal(len(an.Hits), hits)
			}
			cm.report(b, "search", b.N)
		})
	}
}
