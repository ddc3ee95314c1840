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

// BenchmarkForward measures an additional hop for a whole search: the request to another VM and its
// answer, both re-encoded, as searches with tickets are forwarded.
func BenchmarkForward(b *testing.B) {
	for _, hits := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("hits=%d", hits), func(b *testing.B) {
			is := is.New(b)
			ad := startPeer(b)
			cl := peer.NewClient(peer.ClientConfig{Self: &inner.VM{Addr: "10.0.0.1:7702", DataCentre: "east"}, Timeout: waitTimeout})
			b.Cleanup(cl.Close)
			rq := searchRequest()
			rq.ID = strconv.Itoa(hits)
			rq.DeadlineMs = waitTimeout.Milliseconds()
			run := func() {
				an, err := cl.Run(context.Background(), ticket.Issuer{Addr: ad.Inner}, rq)
				is.NoErr(err)
				is.Equal(len(an.Hits), hits)
			}
			run()
			cm := startMeter(b, ad)
			for b.Loop() {
				run()
			}
			cm.report(b, "search", b.N)
		})
	}
}

// BenchmarkBeat measures one heartbeat of the inner protocol, with up to as many members as one
// message carries.
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
			cm := startMeter(b, ad)
			for b.Loop() {
				run()
			}
			cm.report(b, "call", b.N)
		})
	}
}

// emptyBeat returns a heartbeat without members.
func emptyBeat() *inner.BeatRequest {
	return &inner.BeatRequest{
		Version:  inner.Version,
		From:     &inner.VM{Addr: "10.0.0.1:7702", DataCentre: "east", Incarnation: 1 << 50},
		Sequence: 1 << 20,
		Digest:   1 << 60,
		Highest:  1 << 20,
	}
}
