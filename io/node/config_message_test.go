package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/change"
	"laburnumvane/core/codec"
	"laburnumvane/core/spread"
	"laburnumvane/core/team"
	"laburnumvane/io/inner"
	"laburnumvane/io/meter"
)

func sampleDocument(servers int) []byte {
	rnd := rand.New(rand.NewPCG(1, 1))
	sc := team.Service{SlotsPerServer: 3, ConnectionsPerServer: 30}
	for i := range servers {
		addr := fmt.Sprintf("10.%d.%d.%d:7001", rnd.IntN(256), rnd.IntN(256), rnd.IntN(256))
		sc.Servers = append(sc.Servers, team.Server{Addr: addr, DataCentre: fmt.Sprint("dc", i%3)})
	}
	doc := team.Document{Version: 1, Team: wash, Registers: map[string]team.Register{"members": {Services: map[string]team.Service{"desk": sc}}}}
	raw, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return raw
}

const wash = "wash"

func TestMessage(t *testing.T) {
	// A document in a message must be decoded byte for byte. Data that would inflate beyond the
	// maximum size of a document, or that is not deflated, must be left out.
	nd := &Node{meter: meter.New()}
	bomb := codec.Deflate(bytes.Repeat([]byte(" "), change.MaxDocument+1), codec.Fast)
	for _, raw := range [][]byte{nil, []byte("{}"), sampleDocument(130)} {
		is := is.New(t)
		ups := nd.updatesFromWire([]*inner.TeamConfig{updateToWire(spread.Update{Team: wash, Revision: 3, ChangeID: "c", Document: raw})})
		is.Equal(len(ups), 1)
		is.Equal(string(ups[0].Document), string(raw))
	}
	for _, bad := range [][]byte{bomb, []byte("xx")} {
		is := is.New(t)
		is.Equal(len(nd.updatesFromWire([]*inner.TeamConfig{{Team: wash, Revision: 3, Deflated: bad}})), 0)
	}
	is.New(t).Equal(nd.meter.Value(meterConfig, "messageUnreadable"), int64(2))
}

func BenchmarkMessage(b *testing.B) {
	raw := sampleDocument(130)
	size := 0
	for b.Loop() {
		size = len(updateToWire(spread.Update{Team: wash, Document: raw}).GetDeflated())
	}
	b.ReportMetric(float64(len(raw)), "B-document")
	b.ReportMetric(float64(size), "B-deflated")
}
