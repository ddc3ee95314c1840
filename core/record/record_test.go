package record_test

import (
	"bytes"
	"sort"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/record"
)

func rec(b byte) []byte { return bytes.Repeat([]byte{b}, record.Size) }

func TestGreatest(t *testing.T) {
	cases := []struct {
		name  string
		parts [][]byte
		limit int
		want  []byte
	}{
		{"no parts", nil, 3, nil},
		{"two parts", [][]byte{rec(1), rec(2)}, 3, append(rec(2), rec(1)...)},
		{"limit", [][]byte{append(rec(1), rec(3)...), rec(2)}, 2, append(rec(3), rec(2)...)},
		{"equal records are all kept", [][]byte{rec(2), rec(2)}, 3, append(rec(2), rec(2)...)},
		{"incomplete record is ignored", [][]byte{append(rec(1), 9, 9, 9)}, 3, rec(1)},
		{"bytes above 127", [][]byte{rec(200), rec(100)}, 1, rec(200)},
		{"limit 0", [][]byte{rec(1)}, 0, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.True(bytes.Equal(record.Greatest(tc.parts, tc.limit), tc.want))
		})
	}
}

// For any distribution of records over the parts, the result equals that of sorting all of them.
func TestGreatestMatchesSort(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		genRecord := rapid.SliceOfN(rapid.ByteRange(0, 2), record.Size, record.Size)
		parts := make([][]byte, rapid.IntRange(0, 5).Draw(rt, "parts"))
		var all [][]byte
		for i := range parts {
			for _, rc := range rapid.SliceOfN(genRecord, 0, 8).Draw(rt, "records") {
				parts[i] = append(parts[i], rc...)
				all = append(all, rc)
			}
		}
		limit := rapid.IntRange(1, 10).Draw(rt, "limit")
		sort.Slice(all, func(i, j int) bool { return bytes.Compare(all[i], all[j]) > 0 })
		want := bytes.Join(all[:min(limit, len(all))], nil)
		is.True(bytes.Equal(record.Greatest(parts, limit), want))
	})
}
