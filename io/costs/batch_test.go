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

// plain is a bare HTTP connection. The ways of this file are compared on it, so
// that only what crosses the wire differs between them.
type plain struct {
	nc net.Conn
	rd *bufio.Reader
}

func dialPlain(tb testing.TB, addr string) *plain {
	tb.Helper()
	nc, err := net.Dial("tcp", addr)
	is.New(tb).NoErr(err)
	tb.Cleanup(func() { _ = nc.Close() })
	return &plain{nc: nc, rd: bufio.NewReaderSize(nc, 64<<10)}
}

func (pl *plain) call(tb testing.TB, path string, in, out any) {
	is := is.New(tb)
	body, err := json.Marshal(in)
	is.NoErr(err)
	msg := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: upstream\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", path, len(body))
	_, err = pl.nc.Write(append(msg, body...))
	is.NoErr(err)
	rs, err := http.ReadResponse(pl.rd, nil)
	is.NoErr(err)
	raw, err := io.ReadAll(rs.Body)
	is.NoErr(err)
	is.NoErr(rs.Body.Close())
	is.NoErr(json.Unmarshal(raw, out))
}

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

// A search of 270 shards by batches of k sub-requests on shared connections:
// every shard's reply comes back whole and is merged here.
func BenchmarkBatch(b *testing.B) {
	for _, hits := range []int{1, 10} {
		for _, k := range []int{1, 3, 9, 27, 90, 270} {
			b.Run(fmt.Sprintf("hits=%d/k=%d", hits, k), func(b *testing.B) {
				ad := startPeer(b)
				pl := dialPlain(b, ad.Upstream)
				rqs := shardRequests(batchShards, hits)
				bi := openBill(b, ad)
				for b.Loop() {
					mg := merge.New(merge.Config{Limit: hits})
					for at := 0; at < batchShards; at += k {
						var rps []wire.ShardReply
						pl.call(b, routeBatch, rqs[at:at+k], &rps)
						for i := range rps {
							mg.Add(rps[i].Hits, rps[i].More)
						}
					}
					mg.Result()
				}
				bi.report(b, "sub", b.N*batchShards)
			})
		}
	}
}

// A search of 270 shards by n second-level VMs, each of which answers one
// merged list for its part of the shards.
func BenchmarkMerged(b *testing.B) {
	for _, hits := range []int{1, 10, 100} {
		for _, n := range []int{1, 3, 9, 27} {
			b.Run(fmt.Sprintf("hits=%d/parts=%d", hits, n), func(b *testing.B) {
				ad := startPeer(b)
				pl := dialPlain(b, ad.Upstream)
				first := shardRequests(1, hits)[0]
				each := batchShards / n
				bi := openBill(b, ad)
				for b.Loop() {
					mg := merge.New(merge.Config{Limit: hits})
					for part := range n {
						rq := mergedRequest{Request: first}
						for sh := part * each; sh < (part+1)*each; sh++ {
							rq.Shards = append(rq.Shards, sh)
						}
						var rp mergedReply
						pl.call(b, routeMerged, rq, &rp)
						mg.Add(rp.Hits, rp.More)
					}
					mg.Result()
				}
				bi.report(b, "search", b.N)
			})
		}
	}
}
