package emul

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/io/wire"
)

func TestReadRegister(t *testing.T) {
	cases := []struct {
		name    string
		lines   string
		members int
		err     string // part of the error; empty means none
	}{
		{"members", `{"member":"a"}` + "\n\n" + `{"member":"b","washes":3}`, 2, ""},
		{"empty", "", 0, ""},
		{"no member", `{"member":"a"}` + "\n" + `{"plate":"x"}`, 0, "line 2"},
		{"member not a string", `{"member":7}`, 0, "line 1"},
		{"not an object", `{"member":"a"}` + "\n\n" + `["b"]`, 0, "line 3"},
		{"not JSON", `{"member":`, 0, "line 1"},
		{"twice", `{"member":"a"}` + "\n" + `{"member":"a"}`, 0, "line 2"},
		{"too long", `{"member":"` + strings.Repeat("a", maxLine) + `"}`, 0, "line 1"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			rg, err := ReadRegister("members", strings.NewReader(tc.lines))
			if tc.err != "" {
				is.True(err != nil)
				is.True(strings.Contains(err.Error(), tc.err))
				return
			}
			is.NoErr(err)
			is.Equal(rg.Len(), tc.members)
		})
	}
}

const smallRegister = `{"member":"m1","plate":"AB-1","name":"Ada Brook","plan":"plus","washes":12}
{"member":"m2","plate":"CD-2","name":"Bruno Gale","plan":"basic","washes":-3}
{"member":"m3","plate":"EF-3","name":"Carla Brook","plan":"plus","washes":9}
{"member":"m4","plate":"GH-4","name":"Ada Brook","plan":null}
`

func TestQuery(t *testing.T) {
	rg, err := ReadRegister("members", strings.NewReader(smallRegister))
	is.New(t).NoErr(err)
	sn, err := rg.Snapshot(1)
	is.New(t).NoErr(err)
	cases := []struct {
		name  string
		query string
		limit int
		found string // members in order; "!" means the query is invalid
		more  bool
	}{
		{"exact string", `{"plate":"CD-2"}`, 0, "m2", false},
		{"exact number", `{"washes":9}`, 0, "m3", false},
		{"null is a value", `{"plan":null}`, 0, "m4", false},
		{"two fields", `{"plan":"plus","washes":12}`, 0, "m1", false},
		{"absent field", `{"colour":null}`, 0, "", false},
		{"substring", `{"text":"Brook"}`, 0, "m1 m3 m4", false},
		{"substring and field", `{"text":"Brook","plan":"plus"}`, 0, "m1 m3", false},
		{"everything", `{}`, 0, "m1 m2 m3 m4", false},
		{"by number", `{"orderBy":"washes"}`, 0, "m4 m2 m3 m1", false},
		{"by string, ties by member", `{"orderBy":"name"}`, 0, "m1 m4 m2 m3", false},
		{"limited", `{"orderBy":"name"}`, 2, "m1 m4", true},
		{"exactly at the limit", `{"text":"Brook"}`, 3, "m1 m3 m4", false},
		{"not an object", `["m1"]`, 0, "!", false},
		{"null", `null`, 0, "!", false},
		{"text not a string", `{"text":3}`, 0, "!", false},
		{"empty text", ``, 0, "!", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			qu, err := ParseQuery(json.RawMessage(tc.query))
			is.Equal(err != nil, tc.found == "!")
			if err != nil {
				return
			}
			hits, more := qu.Run(sn, 0, tc.limit)
			is.Equal(memberIDs(hits), tc.found)
			is.Equal(more, tc.more)
		})
	}
}

func memberIDs(hits []wire.Hit) string {
	ms := []string{}
	for _, hi := range hits {
		ms = append(ms, hi.Member)
	}
	return strings.Join(ms, " ")
}

func TestSnapshots(t *testing.T) {
	// A repartition and changes of members don't change an older snapshot.
	is := is.New(t)
	rg, err := SampleRegister("members", 1, 500)
	is.NoErr(err)
	old, err := rg.Snapshot(4)
	is.NoErr(err)
	is.NoErr(rg.Put(json.RawMessage(`{"member":"m000000","plate":"NEW"}`)))
	is.NoErr(rg.Put(json.RawMessage(`{"member":"new"}`)))
	later, err := rg.Snapshot(7)
	is.NoErr(err)
	_, err = rg.Snapshot(0)
	is.True(err != nil)

	for _, tc := range []struct {
		snap    *Snapshot
		version uint64
		members int
		changed bool
	}{{old, 1, 500, false}, {later, 2, 501, true}} {
		is.Equal(tc.snap.Version, tc.version)
		sum := 0
		for sh := range tc.snap.Shards {
			for _, me := range tc.snap.Members(sh) {
				is.Equal(ShardOf(me.ID, tc.snap.Shards), sh)
			}
			sum += len(tc.snap.Members(sh))
		}
		is.Equal(sum, tc.members)
		me := tc.snap.Members(ShardOf("m000000", tc.snap.Shards))[0]
		is.Equal(me.Fields["plate"] == "NEW", tc.changed)
	}

	again, err := SampleRegister("members", 1, 500)
	is.NoErr(err)
	same, err := again.Snapshot(4)
	is.NoErr(err)
	is.Equal(old.Members(2), same.Members(2)) // the seed determines the members
}

func TestNumberKeyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lo := rapid.Float64().Draw(rt, "lo")
		hi := rapid.Float64().Draw(rt, "hi")
		if (lo < hi) != (numberKey(lo) < numberKey(hi)) {
			rt.Fatalf("%v and %v sort as %s and %s", lo, hi, numberKey(lo), numberKey(hi))
		}
	})
}
