package team_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/team"
)

// FuzzParse holds Parse to what callers build on: it never panics, an error
// always comes with at least one fault and no document, and what it accepts
// reads the same by encoding/json and from its canonical form.
func FuzzParse(f *testing.F) {
	f.Add(readFile(f, "testdata/good.json"))
	f.Add(readFile(f, "../../docs/examples/pettigrew.json"))
	for _, path := range badFiles(f) {
		f.Add(readFile(f, path))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		is := is.New(t)
		doc, err := team.Parse("wash", raw)
		if err != nil {
			flts := team.Faults(err)
			is.True(len(flts) > 0)
			is.True(len(flts) <= 101)
			for _, flt := range flts {
				is.True(flt.Kind != "" && flt.Msg != "")
			}
			is.Equal(doc, team.Document{})
			return
		}
		is.Equal(plain(t, raw), doc)
		again, err := team.Parse("wash", doc.Canonical())
		is.NoErr(err)
		is.Equal(again, doc)
	})
}

// plain is what encoding/json makes of a document, with the one default that
// Parse fills in.
func plain(t *testing.T, raw []byte) team.Document {
	t.Helper()
	var doc team.Document
	is.New(t).NoErr(json.Unmarshal(raw, &doc))
	for name, sch := range doc.Searches {
		if sch.HitLimit == 0 {
			sch.HitLimit = team.DefaultHitLimit
		}
		doc.Searches[name] = sch
	}
	return doc
}
