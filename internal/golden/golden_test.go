package golden_test

import (
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/internal/golden"
)

// spy is a test that may fail without failing this one.
type spy struct {
	testing.TB
	failed bool
}

func (sp *spy) Helper()               {}
func (sp *spy) FailNow()              { sp.failed = true }
func (sp *spy) Fatalf(string, ...any) { sp.failed = true }
func (sp *spy) Fail()                 { sp.failed = true }
func (sp *spy) Name() string          { return "spy" }
func (sp *spy) Log(...any)            {}
func (sp *spy) Logf(string, ...any)   {}

func TestCheck(t *testing.T) {
	for _, tt := range []struct {
		name   string
		held   string
		update string
		failed bool
		after  string
	}{
		{"same", "a\n", "false", false, "a\n"},
		{"other", "b\n", "false", true, "b\n"},
		{"shorter", "a\nb\n", "false", true, "a\nb\n"},
		{"otherWithUpdate", "b\n", "true", false, "a\n"},
		{"noFile", "", "false", true, ""},
		{"noFileWithUpdate", "", "true", false, "a\n"},
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
			sp := &spy{TB: t}
			golden.Check(sp, "it", "a\n")
			is.Equal(sp.failed, tt.failed)
			after, err := os.ReadFile(golden.Path("it"))
			is.Equal(err == nil, tt.after != "")
			is.Equal(string(after), tt.after)
		})
	}
}
