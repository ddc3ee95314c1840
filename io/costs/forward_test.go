package costs_test

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/ticket"
	"laburnumvane/io/inner"
	"laburnumvane/io/peer"
)

// One more hop for a whole search: the request to another VM and its answer
// back, both re-encoded, as tickets are forwarded today.
func BenchmarkForward(b *testing.B) {
	for _, hits := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("hits=%d", hits), func(b *testing.B) {
			is := is.New(b)
			ad := startPeer(b)
			cl := peer.NewClient(peer.ClientConfig{Self: &inner.VM{Addr: "10.0.0.1:7702", DataCentre: "east"}, Timeout: patience})
			b.Cleanup(cl.Close)
			rq := searchRequest()
			rq.ID = strconv.Itoa(hits)
			rq.DeadlineMs = patience.Milliseconds()
			run := func() {
				an, err := cl.Run(context.Background(), ticket.Issuer{Addr: ad.Inner}, rq)
				is.NoErr(err)
				is.Equal(len(an.Hits), hits)
			}
			run()
			bi := openBill(b, ad)
			for b.Loop() {
				run()
			}
			bi.report(b, "search", b.N)
		})
	}
}

// One heartbeat of the inner protocol, with as many members in its message as
// ride on one.
func BenchmarkBeat(b *testing.B) {
	for _, members := range []int{0, 8, 32} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			is := is.New(b)
			ad := startPeer(b)
			cl := peer.NewClient(peer.ClientConfig{Timeout: time.Second})
			b.Cleanup(cl.Close)
			rq := emptyBeat()
			for i := range members {
				rq.Members = append(rq.Members, &inner.Member{
					Vm:        &inner.VM{Addr: fmt.Sprintf("10.0.1.%d:7702", i), DataCentre: "east", Region: "north", Incarnation: 1 << 50},
					Heartbeat: 1 << 20,
				})
			}
			run := func() {
				_, err := cl.To(ad.Inner).Beat(context.Background(), rq)
				is.NoErr(err)
			}
			run()
			bi := openBill(b, ad)
			for b.Loop() {
				run()
			}
			bi.report(b, "call", b.N)
		})
	}
}

// emptyBeat is a heartbeat with nothing on it.
func emptyBeat() *inner.BeatRequest {
	return &inner.BeatRequest{
		Version:  inner.Version,
		From:     &inner.VM{Addr: "10.0.0.1:7702", DataCentre: "east", Incarnation: 1 << 50},
		Sequence: 1 << 20,
		Digest:   1 << 60,
		Highest:  1 << 20,
	}
}
