package poison_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/poison"
)

func TestHintRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, trials := range [][]string{nil, {"a@0"}, {"a@0", "b@17"}} {
		want := poison.Record{Fingerprint: fingerprint(7), Trials: trials}
		got, err := poison.ParseHint(want.EncodeHint())
		is.NoErr(err)
		is.Equal(got, want)
	}
	long := poison.Record{Fingerprint: fingerprint(7), Trials: []string{"a", strings.Repeat("b", 300)}}
	got, err := poison.ParseHint(long.EncodeHint())
	is.NoErr(err)
	is.Equal(got.Trials, []string{"a"})
}

// Messages of other VMs must not panic this one, and the encoding must be unambiguous.
func FuzzParseHint(f *testing.F) {
	f.Add("")
	f.Add(poison.Record{Trials: []string{"a@0", "b@0"}}.EncodeHint())
	f.Add(poison.Record{}.EncodeHint() + "\xff")
	f.Fuzz(func(t *testing.T, word string) {
		rd, err := poison.ParseHint(word)
		if err == nil && rd.EncodeHint() != word {
			t.Errorf("%q became %q", word, rd.EncodeHint())
		}
	})
}
