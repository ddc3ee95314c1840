package node

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"

	"laburnumvane/core/spread"
	"laburnumvane/io/inner"
	"laburnumvane/io/meter"
	"laburnumvane/io/peer"
)

// BenchmarkCompare is one comparison of digests between two VMs over TCP, the
// work of both ends together.
func BenchmarkCompare(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	nd := &Node{addr: ln.Addr().String(), meter: meter.New(), log: &log.Logger{Level: log.PanicLevel}}
	nd.peers = peer.NewClient(peer.ClientConfig{Timeout: time.Second})
	sr := peer.NewServer(peer.ServerConfig{Listener: ln, Service: &service{nd: nd}})
	go func() { _ = sr.Serve() }()
	b.Cleanup(func() { _ = sr.Close() })
	rq := &inner.PullRequest{Version: inner.Version, From: nd.self(), Compare: true}
	nd.publishDigest(spread.Digest{})
	for b.Loop() {
		if _, err := nd.peers.To(nd.addr).Pull(context.Background(), rq); err != nil {
			b.Fatal(err)
		}
	}
}
