package wire_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"

	"laburnumvane/io/wire"
)

// replyOf returns a shard's reply with a number of hits of the usual size.
func replyOf(hits int) wire.ShardReply {
	rp := wire.ShardReply{
		ID:       "1x2y3z.17.270",
		Shard:    17,
		Snapshot: 7,
		Shards:   270,
		Load:     wire.UpstreamLoad{Incarnation: 1, State: wire.UpstreamServing, InFlight: 3},
	}
	for i := range hits {
		rp.Hits = append(rp.Hits, wire.Hit{
			Member: fmt.Sprint("m\u00e9\"", i),
			Key:    fmt.Sprint("k", i),
			Fields: json.RawMessage(`{"plate":"QKD-4821","plan":"gold","renewal":"2026-12-31","washes":41}`),
		})
	}
	return rp
}

// The HTTP library reuses the buffer of a reply for the next exchange, whose reply overwrites it. A
// decoder that keeps references to its input, as fast ones do, would return members of the second
// search in the answer of the first.
func TestDecodeCopiesItsInput(t *testing.T) {
	is := is.New(t)
	want := replyOf(20)
	raw, err := json.Marshal(want)
	is.NoErr(err)
	var got wire.ShardReply
	is.NoErr(wire.Decode(raw, &got))
	for i := range raw {
		raw[i] = '#'
	}
	is.Equal(got, want)
}

// FuzzDecode compares Decode with the standard library: both must accept the same input with the
// same result.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"id":"a","id":"b"}`,
		`{"ID":"x","SHARD":3}`,
		`{"hits":[{"fields":{"a":}}]}`,
		`{"hits":[{"fields":{"a":01}}]}`,
		`{"hits":[{"member":"m","key":"k","fields":{"a":[1,{"b":null}]}}],"more":true}`,
		`{"hits":null}`,
		`{"shard":1.5}`,
		`{"shard":"1"}`,
		`{"shard":1e2}`,
		`{"shard":99999999999999999999}`,
		`{"snapshot":-1}`,
		`{"snapshot":18446744073709551615}`,
		`{"id":"\ud800"}`,
		`{"id":"\u00e9\n"}`,
		"{\"id\":\"a\nb\"}",
		`{"x":{"y":[1,2,{}]},"id":"q"}`,
		`{"load":{"incarnation":1,"state":"serving"}}`,
		`{} x`,
		`{"unknown":"\u00[["}`,
		`{"hits":[{"fields":{"a":"\u00[["}}]}`,
		`[1]`,
		`null`,
		``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if !utf8.Valid(raw) {
			t.Skip("bytes that are not UTF-8 are replaced in more places")
		}
		var want, got wire.ShardReply
		wantErr := json.Unmarshal(raw, &want)
		gotErr := wire.Decode(bytes.Clone(raw), &got)
		if (wantErr == nil) != (gotErr == nil) {
			t.Fatalf("%q: %v, the standard library says %v", raw, gotErr, wantErr)
		}
		if wantErr == nil && !reflect.DeepEqual(got, want) {
			t.Fatalf("%q: %+v, the standard library says %+v", raw, got, want)
		}
	})
}

// BenchmarkDecode measures the decoding of one reply, with the standard library as the baseline.
func BenchmarkDecode(b *testing.B) {
	for _, hits := range []int{0, 1, 10, 100} {
		raw, err := json.Marshal(replyOf(hits))
		if err != nil {
			b.Fatal(err)
		}
		for _, decoder := range []struct {
			name   string
			decode func([]byte, any) error
		}{{"wire", wire.Decode}, {"standard", json.Unmarshal}} {
			b.Run(fmt.Sprintf("%s/hits=%d", decoder.name, hits), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					var rp wire.ShardReply
					if err := decoder.decode(raw, &rp); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(raw)), "wire-B/op")
			})
		}
	}
}
