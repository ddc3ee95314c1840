package change

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

func TestDecode(t *testing.T) {
	past := func(raw string) string {
		var bu bytes.Buffer
		wr, _ := flate.NewWriter(&bu, flate.BestSpeed)
		_, _ = wr.Write([]byte(raw))
		_ = wr.Close()
		return `,"past":"` + base64.StdEncoding.EncodeToString(bu.Bytes()) + `"}`
	}
	const current = `{"format":1,"current":{"id":"a","revision":3,"unixMs":1,"document":{"a":1}}`
	cases := []struct {
		name  string
		value string
		kind  Kind
	}{
		{"empty history", `{"format":1}`, ""},
		{"one change", current + `,"cut":2}`, ""},
		{"two changes", current + past(`[{"id":"b","revision":2,"unixMs":1,"document":{}}]`), ""},
		{"no JSON", `{`, KindCorrupt},
		{"trailing data", `{"format":1}{}`, KindCorrupt},
		{"no format", `{}`, KindCorrupt},
		{"newer format", `{"format":2,"changes":[],"more":true}`, KindNewer},
		{"unknown field", `{"format":1,"more":true}`, KindCorrupt},
		{"unknown field in the past", current + past(`[{"id":"b","revision":2,"more":1}]`), KindCorrupt},
		{"past is no array", current + past(`{}`), KindCorrupt},
		{"past not deflated", current + `,"past":"AAAA"}`, KindCorrupt},
		{"past larger than its limit", current + past(strings.Repeat(" ", 2*maxPast)), KindCorrupt},
		{"duplicate id", current + past(`[{"id":"a","revision":2}]`), KindCorrupt},
		{"revisions not descending", current + past(`[{"id":"b","revision":4}]`), KindCorrupt},
		{"revision not above the cut", current + `,"cut":3}`, KindCorrupt},
		{"no document", `{"format":1,"current":{"id":"a","revision":2}}`, KindCorrupt},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Decode([]byte(tc.value))
			if tc.kind == "" {
				is.NoErr(err)
				return
			}
			var ce *Error
			is.True(errors.As(err, &ce))
			is.Equal(ce.Kind, tc.kind)
		})
	}
}

func TestEnvelopePreservesDocument(t *testing.T) {
	// Numbers, order and characters of a document are preserved.
	is := is.New(t)
	doc := `{"z":1.50,"a":"<&>","z":1e3}`
	value, err := Envelope{}.WithChange(Entry{ID: "a", Document: []byte(doc)}, 0).Encode()
	is.NoErr(err)
	en, err := Decode(value)
	is.NoErr(err)
	cur, _ := en.Current()
	is.Equal(string(cur.Document), doc)
}

func TestEnvelopeBounds(t *testing.T) {
	// A team changes its largest document again and again: the value stays below the service's
	// limit, ids are kept longer than documents, and DroppedUpTo is the last dropped revision.
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	big := make([]byte, MaxDocument-2)
	for i := range big {
		big[i] = byte('a' + rnd.IntN(26)) // hard to compress
	}
	doc := append(append([]byte{'"'}, big...), '"')
	en := Envelope{}
	for i, id := range otherIDs(idLimit + 10) {
		et := Entry{ID: id, Actor: string(big[:maxActorLen]), UnixMs: 1 << 41, Document: doc}
		if i < idLimit {
			et.Document = slices.Concat(doc[:documentBytes/documentLimit], []byte{'"'})
		}
		en = en.WithChange(et, 0)
	}
	value, err := en.Encode()
	is.NoErr(err)
	is.True(len(value) < 1<<20)
	is.Equal(len(en.Changes), idLimit)
	is.Equal(en.DroppedUpTo, uint64(10))
	is.True(en.CompleteSince(10))
	is.True(!en.CompleteSince(9))
	_, err = Decode(value)
	is.NoErr(err)
}

// BenchmarkEnvelope reports the value's size for a team that changes one line of its document each
// time.
func BenchmarkEnvelope(b *testing.B) {
	en := Envelope{}
	rnd := rand.New(rand.NewPCG(1, 1))
	servers := ""
	for range 130 {
		servers += fmt.Sprintf(`{"addr":"10.%d.%d.%d:7001","dataCentre":"east"},`, rnd.IntN(256), rnd.IntN(256), rnd.IntN(256))
	}
	for i := range 2 * idLimit {
		id := strconv.FormatUint(rnd.Uint64(), 16)
		doc := fmt.Appendf(nil, `{"concurrent":%d,"servers":[%s{}]}`, i, servers)
		en = en.WithChange(Entry{ID: id, Actor: "ann", UnixMs: 1 << 40, Document: doc}, 0)
	}
	size := 0
	for b.Loop() {
		raw, err := en.Encode()
		if err != nil {
			b.Fatal(err)
		}
		size = len(raw)
		if _, err := Decode(raw); err != nil {
			b.Fatal(err)
		}
	}
	cur, _ := en.Current()
	b.ReportMetric(float64(len(cur.Document)), "B-document")
	b.ReportMetric(float64(size), "B-value")
}

func FuzzDecode(f *testing.F) {
	en := Envelope{}
	for i := range 3 {
		en = en.WithChange(Entry{ID: otherIDs(3)[i], Actor: "ann", UnixMs: 1, Document: document(i)}, 0)
	}
	whole, err := en.Encode()
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{
		``, `{}`, `{"format":1}`, `{"format":2}`, string(whole),
		`{"format":1,"current":{"id":"a","revision":3,"unixMs":1,"document":{"a":1}},"cut":2}`,
		`{"format":1,"current":{"id":"a","revision":18446744073709551615,"document":null}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		en, err := Decode(value)
		if err != nil {
			return
		}
		again, err := en.Encode()
		if err != nil {
			t.Fatal(err)
		}
		back, err := Decode(again)
		if err != nil {
			t.Fatalf("%s: %v", again, err)
		}
		if back.Revision() != en.Revision() || back.DroppedUpTo != en.DroppedUpTo || len(back.Changes) != len(en.Changes) {
			t.Fatalf("%s became %s", value, again)
		}
	})
}
