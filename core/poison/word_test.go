package poison_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/poison"
)

func TestWordRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, trials := range [][]string{nil, {"a@0"}, {"a@0", "b@17"}} {
		want := poison.Record{Fingerprint: fingerprint(7), Trials: trials}
		got, err := poison.ParseWord(want.Word())
		is.NoErr(err)
		is.Equal(got, want)
	}
	long := poison.Record{Fingerprint: fingerprint(7), Trials: []string{"a", strings.Repeat("b", 300)}}
	got, err := poison.ParseWord(long.Word())
	is.NoErr(err)
	is.Equal(got.Trials, []string{"a"})
}

// Messages of other VMs must not panic this one, and the encoding must be unambiguous.
func FuzzWord(f *testing.F) {
	f.Add("")
	f.Add(poison.Record{Trials: []string{"a@0", "b@0"}}.Word())
	f.Add(poison.Record{}.Word() + "\xff")
	f.Fuzz(func(t *testing.T, word string) {
		rd, err := poison.ParseWord(word)
		if err == nil && rd.Word() != word {
			t.Errorf("%q became %q", word, rd.Word())
		}
	})
}
