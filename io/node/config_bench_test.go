package node

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"

	"laburnumvane/core/spread"
	"laburnumvane/internal/count"
	"laburnumvane/io/inner"
	"laburnumvane/io/meter"
	"laburnumvane/io/peer"
)

// BenchmarkCompare measures one comparison of digests between two VMs over TCP, with the work of
// both ends.
func BenchmarkCompare(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	nd := &Node{addr: ln.Addr().String(), meter: meter.New(), log: &log.Logger{Level: log.PanicLevel}}
	nd.peers = peer.NewClient(peer.ClientConfig{Timeout: time.Second})
	cl := count.New(ln)
	sr := peer.NewServer(peer.ServerConfig{Listener: cl, Service: &peerService{nd: nd}})
	go func() { _ = sr.Serve() }()
	b.Cleanup(func() { _ = sr.Close() })
	rq := &inner.PullRequest{Version: inner.Version, From: nd.self(), Compare: true}
	nd.publishDigest(spread.Digest{})
	for b.Loop() {
		if _, err := nd.peers.To(nd.addr).Pull(context.Background(), rq); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(cl.Bytes())/float64(b.N), "B/op-both-ways")
}
