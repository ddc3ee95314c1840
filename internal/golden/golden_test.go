package golden_test

import (
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/internal/golden"
)

// recordingTB records whether a check fails, without failing the test that runs it.
type recordingTB struct {
	testing.TB
	failed bool
}

func (tb *recordingTB) Helper()               {}
func (tb *recordingTB) FailNow()              { tb.failed = true }
func (tb *recordingTB) Fatalf(string, ...any) { tb.failed = true }
func (tb *recordingTB) Fail()                 { tb.failed = true }
func (tb *recordingTB) Name() string          { return "recordingTB" }
func (tb *recordingTB) Log(...any)            {}
func (tb *recordingTB) Logf(string, ...any)   {}

func TestCheck(t *testing.T) {
	for _, tt := range []struct {
		name   string
		held   string
		update string
		failed bool
		after  string
	}{
		{"equal", "a\n", "false", false, "a\n"},
		{"different", "b\n", "false", true, "b\n"},
		{"fewer lines", "a\nb\n", "false", true, "a\nb\n"},
		{"different, with -update", "b\n", "true", false, "a\n"},
		{"no file", "", "false", true, ""},
		{"no file, with -update", "", "true", false, "a\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			t.Chdir(t.TempDir())
			is.NoErr(os.Mkdir("testdata", 0o755))
			if tt.held != "" {
				is.NoErr(os.WriteFile(golden.Path("it"), []byte(tt.held), 0o644))
			}
			is.NoErr(flag.Set("update", tt.update))
			defer func() { is.NoErr(flag.Set("update", "false")) }()
			tb := &recordingTB{TB: t}
			golden.Check(tb, "it", "a\n")
			is.Equal(tb.failed, tt.failed)
			after, err := os.ReadFile(golden.Path("it"))
			is.Equal(err == nil, tt.after != "")
			is.Equal(string(after), tt.after)
		})
	}
}
