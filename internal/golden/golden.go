// Package golden compares what a test made with a file that was read and
// approved once, the golden file.
//
// # Usage
//
//	func TestSession(t *testing.T) {
//		golden.Check(t, "session", play(events)) // testdata/session.golden
//	}
//
// After a change that is meant, write the files anew and read the difference
// before it is committed:
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

var update = flag.Bool("update", false, "write the golden files anew") //nolint:gochecknoglobals // a flag of the test binary

// Path is where the golden file of that name is, seen from the test's folder.
func Path(name string) string { return filepath.Join("testdata", name+".golden") }

// Check fails the test unless got is what the golden file holds, and names the
// first line that differs: a whole session beside another shows nothing.
func Check(t testing.TB, name, got string) {
	t.Helper()
	is := is.New(t)
	gls, wls := strings.Split(got, "\n"), strings.Split(Want(t, name, got), "\n")
	for i := range min(len(gls), len(wls)) {
		if gls[i] != wls[i] {
			t.Fatalf("%s:%d: run with -update to write it anew\ngot  %s\nwant %s", Path(name), i+1, gls[i], wls[i])
		}
	}
	is.Equal(len(gls), len(wls)) // lines of the session
}

// Want is what the golden file holds, for tests that compare in their own way.
// With -update it is got, which is then in the file.
func Want(t testing.TB, name, got string) string {
	t.Helper()
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(Path(name), []byte(got), readable))
	}
	want, err := os.ReadFile(Path(name))
	is.NoErr(err)
	return string(want)
}
