package team_test

import (
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/team"
)

// FuzzParse holds Parse to what callers build on: it never panics, an error
// always comes with at least one fault and no document, and what it accepts
// reads back the same from its canonical form.
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
		again, err := team.Parse("wash", doc.Canonical())
		is.NoErr(err)
		is.Equal(again, doc)
	})
}
