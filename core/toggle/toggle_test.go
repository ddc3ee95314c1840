package toggle_test

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"laburnumvane/core/toggle"
)

func TestParse(t *testing.T) {
	cases := []struct {
		name string
		list []string
		off  []string
		bad  string
	}{
		{"no names", nil, nil, ""},
		{"two names", []string{"valve", " hedges"}, []string{"hedges", "valve"}, ""},
		{"duplicate name", []string{"joins", "joins"}, []string{"joins"}, ""},
		{"unknown name", []string{"valve", "luck"}, nil, "luck"},
		{"empty", []string{""}, nil, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			se, err := toggle.Parse(tc.list)
			if tc.bad != "" || tc.name == "empty" {
				var te *toggle.Error
				is.True(errors.As(err, &te))
				is.Equal(te.Name, tc.bad)
				return
			}
			is.NoErr(err)
			is.Equal(se.Names(), tc.off)
		})
	}
}

// Each mechanism has a distinct name and can be switched off on its own.
func TestMechanismsAreIndependent(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, me := range toggle.All() {
		is.True(me.String() != "" && !seen[me.String()])
		seen[me.String()] = true
		se, err := toggle.Parse([]string{me.String()})
		is.NoErr(err)
		for _, other := range toggle.All() {
			is.Equal(se.Off(other), me == other)
		}
	}
}
