package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const pagePath = "../FAILURES.md"

// The page must match the tables. If it does not, run `go generate ./docs/failures`.
func TestPageIsJoined(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(pagePath)
	is.NoErr(err)
	want, err := join(string(page), ".")
	is.NoErr(err)
	is.Equal(string(page), want)
}

var (
	// testName matches a test or fuzz target in the tables, with or without its package.
	testName  = regexp.MustCompile(`(?:\b([a-z]+)\.)?\b((?:Test|Fuzz)[A-Z]\w*)`)
	packageOf = regexp.MustCompile(`(?m)^package (\w+)`)
	declared  = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Z]\w*)\(`)
)

// Every test that the page names must exist, in the package that the page names.
func TestNamedTestsExist(t *testing.T) {
	is := is.New(t)
	tests := declaredTests(t, "../..")
	page, err := os.ReadFile(pagePath)
	is.NoErr(err)
	named := testName.FindAllStringSubmatch(string(page), -1)
	is.True(len(named) > 0)
	for _, match := range named {
		pkg, name := match[1], match[2]
		if pkg == "" {
			pkg = anyPackage
		}
		if !tests[pkg+"."+name] {
			t.Errorf("the page names %s, which does not exist", match[0])
		}
	}
}

// anyPackage is the package of a test that is named without match.
const anyPackage = "*"

// declaredTests returns all tests below a folder, keyed by package and name. Both the package clause
// and the folder count as the package.
func declaredTests(t *testing.T, root string) map[string]bool {
	t.Helper()
	is := is.New(t)
	tests := make(map[string]bool)
	is.NoErr(filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		folder := filepath.Base(filepath.Dir(path))
		clause := packageOf.FindStringSubmatch(string(raw))[1]
		for _, match := range declared.FindAllStringSubmatch(string(raw), -1) {
			for _, pkg := range []string{folder, strings.TrimSuffix(clause, "_test"), anyPackage} {
				tests[pkg+"."+match[1]] = true
			}
		}
		return nil
	}))
	return tests
}

func TestDemoteHeadings(t *testing.T) {
	is := is.New(t)
	is.Equal(demoteHeadings("# Title\n\n[Words](../words.md).\n\n## Part\n\n| a |\n"), "[Words](words.md).\n\n#### Part\n\n| a |")
}
