package change

import (
	"testing"

	"github.com/matryer/is"
)

func TestDecode(t *testing.T) {
	cases := []struct {
		name  string
		value string
		kind  Kind
	}{
		{"empty history", `{"format":1,"changes":[]}`, ""},
		{"one", `{"format":1,"changes":[{"id":"a","revision":3,"unixMs":1,"document":{"a":1}}],"cut":2}`, ""},
		{"no JSON", `{`, KindCorrupt},
		{"trailing", `{"format":1,"changes":[]}{}`, KindCorrupt},
		{"no format", `{"changes":[]}`, KindCorrupt},
		{"newer", `{"format":2,"changes":[],"more":true}`, KindNewer},
		{"unknown field", `{"format":1,"changes":[],"more":true}`, KindCorrupt},
		{"id twice", `{"format":1,"changes":[{"id":"a","revision":2,"document":1},{"id":"a","revision":1,"document":1}]}`, KindCorrupt},
		{"revisions rise", `{"format":1,"changes":[{"id":"a","revision":1,"document":1},{"id":"b","revision":2,"document":1}]}`, KindCorrupt},
		{"below cut", `{"format":1,"changes":[{"id":"a","revision":2,"document":1}],"cut":2}`, KindCorrupt},
		{"no document", `{"format":1,"changes":[{"id":"a","revision":2}]}`, KindCorrupt},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Decode([]byte(tc.value))
			if tc.kind == "" {
				is.NoErr(err)
				return
			}
			ce, ok := err.(*Error)
			is.True(ok)
			is.Equal(ce.Kind, tc.kind)
		})
	}
}

func TestEnvelopeKeepsWhatWasWritten(t *testing.T) {
	// Numbers, order and characters of a document come back as they were.
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
	// A team changes its largest document for ever: the value stays below what
	// the service takes, ids outlive documents, and Cut tells where it ends.
	is := is.New(t)
	big := make([]byte, MaxDocument-2)
	for i := range big {
		big[i] = 'a'
	}
	doc := append(append([]byte{'"'}, big...), '"')
	en := Envelope{}
	for i, id := range many(idLimit + 10) {
		et := Entry{ID: id, Actor: string(big[:maxActorLen]), UnixMs: 1 << 41, Document: doc}
		if i < idLimit {
			et.Document = doc[:documentBytes/documentLimit]
		}
		en = en.WithChange(et, 0)
	}
	value, err := en.Encode()
	is.NoErr(err)
	is.True(len(value) < 1<<20)
	is.Equal(len(en.Changes), idLimit)
	is.Equal(en.Cut, uint64(10))
	is.True(en.WholeSince(10))
	is.True(!en.WholeSince(9))
	_, err = Decode(value)
	is.NoErr(err)
}

func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		``, `{}`, `{"format":1,"changes":[]}`, `{"format":2}`,
		`{"format":1,"changes":[{"id":"a","revision":3,"actor":"ann","unixMs":1,"document":{"a":1}},{"id":"b","revision":2,"unixMs":0,"sum":"1f"}],"cut":1}`,
		`{"format":1,"changes":[{"id":"a","revision":18446744073709551615,"document":null}]}`,
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
		if back.Revision() != en.Revision() || back.Cut != en.Cut || len(back.Changes) != len(en.Changes) {
			t.Fatalf("%s became %s", value, again)
		}
	})
}
