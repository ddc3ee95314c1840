package team_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/team"
)

// FuzzParse checks the guarantees that callers rely on: Parse never panics, an error contains
// at least one fault and comes without a document, and an accepted document decodes to the
// same value by encoding/json and from its canonical encoding.
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
		is.Equal(decodePlain(t, raw), doc)
		again, err := team.Parse("wash", doc.Canonical())
		is.NoErr(err)
		is.Equal(again, doc)
	})
}

// decodePlain decodes a document by encoding/json and sets the one default that Parse sets.
func decodePlain(t *testing.T, raw []byte) team.Document {
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
