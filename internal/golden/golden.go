// Package golden compares the output of a test with a golden file, whose content
// was reviewed when it was committed.
//
// # Usage
//
//	func TestSession(t *testing.T) {
//		golden.Check(t, "session", play(events)) // testdata/session.golden
//	}
//
// After an intended change, rewrite the files and review the difference before
// committing it:
//
//	go test ./core/drain -update
//	git diff core/drain/testdata
//
// The flag exists only in test binaries that import this package.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const readable = 0o644

var update = flag.Bool("update", false, "rewrite the golden files") //nolint:gochecknoglobals // a flag of the test binary

// Path returns the path of the golden file with this name, relative to the test's folder.
func Path(name string) string { return filepath.Join("testdata", name+".golden") }

// Check fails the test unless got equals the golden file. It prints only the first line that differs:
// two whole sessions are too long to compare by eye.
func Check(t testing.TB, name, got string) {
	t.Helper()
	is := is.New(t)
	gls, wls := strings.Split(got, "\n"), strings.Split(Content(t, name, got), "\n")
	for i := range min(len(gls), len(wls)) {
		if gls[i] != wls[i] {
			t.Fatalf("%s:%d: run with -update to rewrite it\ngot  %s\nwant %s", Path(name), i+1, gls[i], wls[i])
		}
	}
	is.Equal(len(gls), len(wls)) // number of lines
}

// Content returns the content of the golden file, for tests that do the comparison themselves.
// With -update it writes got to the file first.
func Content(t testing.TB, name, got string) string {
	t.Helper()
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(Path(name), []byte(got), readable))
	}
	want, err := os.ReadFile(Path(name))
	is.NoErr(err)
	return string(want)
}
