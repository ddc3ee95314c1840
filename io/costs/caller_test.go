package costs_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/io/wire"
)

// The callers' side of a search: reading the request and writing the answer.
// The listener is at the other end, so it is the peer's figures that count.
func BenchmarkCaller(b *testing.B) {
	for _, hits := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("hits=%d", hits), func(b *testing.B) {
			is := is.New(b)
			ad := startPeer(b)
			pl := dialPlain(b, ad.Caller)
			rq := searchRequest()
			rq.ID = strconv.Itoa(hits)
			bi := openBill(b, ad)
			for b.Loop() {
				var an wire.SearchAnswer
				pl.call(b, wire.RouteSearch, rq, &an)
				is.Equal(len(an.Hits), hits)
			}
			bi.report(b, "search", b.N)
		})
	}
}
