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

// What the page says is what the tables say: else `go generate ./docs/failures`
// was not run after one changed.
func TestPageIsJoined(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(pagePath)
	is.NoErr(err)
	want, err := join(string(page), ".")
	is.NoErr(err)
	is.Equal(string(page), want)
}

var (
	// testName is a test or fuzz target as the tables write it, with its
	// package before it or not.
	testName  = regexp.MustCompile(`(?:\b([a-z]+)\.)?\b((?:Test|Fuzz)[A-Z]\w*)`)
	packageOf = regexp.MustCompile(`(?m)^package (\w+)`)
	declared  = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Z]\w*)\(`)
)

// A reader who doubts a row can run its test: each that the page names is there,
// in the package that it names.
func TestNamedTestsExist(t *testing.T) {
	is := is.New(t)
	have := declaredTests(t, "../..")
	page, err := os.ReadFile(pagePath)
	is.NoErr(err)
	named := testName.FindAllStringSubmatch(string(page), -1)
	is.True(len(named) > 0)
	for _, one := range named {
		pkg, name := one[1], one[2]
		if pkg == "" {
			pkg = anyPackage
		}
		if !have[pkg+"."+name] {
			t.Errorf("the page names %s, which is not in the tree", one[0])
		}
	}
}

// anyPackage stands for the package of a test that is named without one.
const anyPackage = "*"

// declaredTests are all tests under a folder, by their package's name and folder.
func declaredTests(t *testing.T, root string) map[string]bool {
	t.Helper()
	is := is.New(t)
	have := make(map[string]bool)
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
		for _, one := range declared.FindAllStringSubmatch(string(raw), -1) {
			for _, pkg := range []string{folder, strings.TrimSuffix(clause, "_test"), anyPackage} {
				have[pkg+"."+one[1]] = true
			}
		}
		return nil
	}))
	return have
}

func TestDemoted(t *testing.T) {
	is := is.New(t)
	is.Equal(demoted("# Title\n\n[Words](../words.md).\n\n## Part\n\n| a |\n"), "[Words](words.md).\n\n#### Part\n\n| a |")
}
