package costs_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/merge"
	"laburnumvane/io/wire"
)

// httpConn is a connection with minimal HTTP. The benchmarks of this file all use it, so that they
// differ only in the messages on the wire.
type httpConn struct {
	nc net.Conn
	rd *bufio.Reader
}

func dialHTTP(tb testing.TB, addr string) *httpConn {
	tb.Helper()
	nc, err := net.Dial("tcp", addr)
	is.New(tb).NoErr(err)
	tb.Cleanup(func() { _ = nc.Close() })
	return &httpConn{nc: nc, rd: bufio.NewReaderSize(nc, 64<<10)}
}

func (hc *httpConn) call(tb testing.TB, path string, in, out any) {
	is := is.New(tb)
	body, err := json.Marshal(in)
	is.NoErr(err)
	msg := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: upstream\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", path, len(body))
	_, err = hc.nc.Write(append(msg, body...))
	is.NoErr(err)
	rs, err := http.ReadResponse(hc.rd, nil)
	is.NoErr(err)
	raw, err := io.ReadAll(rs.Body)
	is.NoErr(err)
	is.NoErr(rs.Body.Close())
	is.NoErr(json.Unmarshal(raw, out))
}

// shardRequests returns a request for each of n shards, with hits as the limit.
func shardRequests(n, hits int) []wire.ShardRequest {
	out := make([]wire.ShardRequest, n)
	for i := range out {
		out[i] = wire.ShardRequest{
			ID:         fmt.Sprintf("1x2y3z.17.%d", i),
			Register:   register,
			Shard:      i,
			Snapshot:   7,
			DeadlineMs: 200,
			Query:      searchRequest().Query,
			Limit:      hits,
		}
	}
	return out
}

const batchShards = 270

// BenchmarkBatch measures a search of 270 shards in batches of k sub-requests on shared connections.
// The reply of every shard is returned in full and merged in this process.
func BenchmarkBatch(b *testing.B) {
	for _, hits := range []int{1, 10} {
		for _, k := range []int{1, 3, 9, 27, 90, 270} {
			b.Run(fmt.Sprintf("hits=%d/k=%d", hits, k), func(b *testing.B) {
				ad := startPeer(b)
				hc := dialHTTP(b, ad.Upstream)
				rqs := shardRequests(batchShards, hits)
				cm := startMeter(b, ad)
				for b.Loop() {
					mg := merge.New(merge.Config{Limit: hits})
					for at := 0; at < batchShards; at += k {
						var rps []wire.ShardReply
						hc.call(b, routeBatch, rqs[at:at+k], &rps)
						for i := range rps {
							mg.Add(rps[i].Hits, rps[i].More)
						}
					}
					mg.Result()
				}
				cm.report(b, "sub", b.N*batchShards)
			})
		}
	}
}

// BenchmarkMerged measures a search of 270 shards through n second-level VMs, each of which returns
// one merged list for its part of the shards.
func BenchmarkMerged(b *testing.B) {
	for _, hits := range []int{1, 10, 100} {
		for _, n := range []int{1, 3, 9, 27} {
			b.Run(fmt.Sprintf("hits=%d/parts=%d", hits, n), func(b *testing.B) {
				ad := startPeer(b)
				hc := dialHTTP(b, ad.Upstream)
				first := shardRequests(1, hits)[0]
				each := batchShards / n
				cm := startMeter(b, ad)
				for b.Loop() {
					mg := merge.New(merge.Config{Limit: hits})
					for part := range n {
						rq := mergedRequest{Request: first}
						for sh := part * each; sh < (part+1)*each; sh++ {
							rq.Shards = append(rq.Shards, sh)
						}
						var rp mergedReply
						hc.call(b, routeMerged, rq, &rp)
						mg.Add(rp.Hits, rp.More)
					}
					mg.Result()
				}
				cm.report(b, "search", b.N)
			})
		}
	}
}
