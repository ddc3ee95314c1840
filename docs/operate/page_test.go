package operate_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/io/setup"
)

func readPage(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("../OPERATE.md")
	is.New(t).NoErr(err)
	return string(raw)
}

// The page must have a row for each setting, and none for a setting that does not exist.
func TestSettingsAreOnThePage(t *testing.T) {
	page := readPage(t)
	have := make(map[string]bool)
	for _, fl := range setup.Flags() {
		name := fl.Names()[0]
		have[name] = true
		row := "| `--" + name + "` | `" + setup.EnvVar(name) + "` |"
		if !strings.Contains(page, row) {
			t.Errorf("the page has no row that begins %s", row)
		}
	}
	for _, row := range regexp.MustCompile("(?m)^\\| `--([a-z-]+)` \\|").FindAllStringSubmatch(page, -1) {
		if !have[row[1]] {
			t.Errorf("the page names --%s, which does not exist", row[1])
		}
	}
}

// Each alarm that the code can raise must have a row on the page.
func TestAlarmsAreOnThePage(t *testing.T) {
	is := is.New(t)
	page := readPage(t)
	kinds := regexp.MustCompile(`AlarmKind = "(\w+)"`)
	found := 0
	paths, err := filepath.Glob("../../core/*/*.go")
	is.NoErr(err)
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		is.NoErr(err)
		for _, one := range kinds.FindAllStringSubmatch(string(raw), -1) {
			found++
			if !strings.Contains(page, "| `"+one[1]+"` |") {
				t.Errorf("the page has no row for alarm %s of %s", one[1], path)
			}
		}
	}
	is.True(found > 0)
}

// The links of the pages must lead to existing files.
func TestLinksLead(t *testing.T) {
	is := is.New(t)
	links := regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
	for _, name := range []string{"CAPACITY.md", "capacity/serve.md", "DESIGN.md", "FAILURES.md", "MEASURES.md", "OPERATE.md"} {
		raw, err := os.ReadFile("../" + name)
		is.NoErr(err)
		for _, one := range links.FindAllStringSubmatch(string(raw), -1) {
			if _, err := os.Stat(filepath.Join("..", filepath.Dir(name), one[1])); err != nil {
				t.Errorf("%s links to %s: %v", name, one[1], err)
			}
		}
	}
}
