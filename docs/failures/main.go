package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
)

const (
	beginMark = "<!-- begin joined -->\n"
	endMark   = "<!-- end joined -->"
	fileMode  = 0o644
)

func main() {
	dir := flag.String("dir", "docs/failures", "the folder of the tables")
	page := flag.String("page", "docs/FAILURES.md", "the page")
	flag.Parse()
	if err := run(*dir, *page); err != nil {
		fmt.Fprintln(os.Stderr, "failures:", err)
		os.Exit(1)
	}
}

func run(dir, page string) error {
	old, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	text, err := join(string(old), dir)
	if err != nil {
		return err
	}
	return os.WriteFile(page, []byte(text), fileMode)
}

// join replaces what stands between the page's markers by all tables, in the
// order of their files' names.
func join(page, dir string) (string, error) {
	before, rest, ok := strings.Cut(page, beginMark)
	if !ok {
		return "", errors.New("the page has no beginning mark")
	}
	_, after, ok := strings.Cut(rest, endMark)
	if !ok {
		return "", errors.New("the page has no end mark")
	}
	paths, err := filepath.Glob(filepath.Join(dir, "*.md"))
	if err != nil {
		return "", err
	}
	var sb strings.Builder
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return "", err
		}
		matter := strings.TrimSuffix(filepath.Base(path), ".md")
		sb.WriteString("### " + strings.ToUpper(matter[:1]) + matter[1:] + "\n\n")
		sb.WriteString(demoted(string(raw)) + "\n\n")
	}
	return before + beginMark + sb.String() + endMark + after, nil
}

// demoted is a file without its title, as a part of the page: other headings go
// below that of the matter.
func demoted(text string) string {
	var out []string
	for line := range strings.Lines(text) {
		line = strings.TrimRight(line, "\n")
		switch {
		case strings.HasPrefix(line, "# "):
		case strings.HasPrefix(line, "## "):
			out = append(out, "##"+line)
		default:
			out = append(out, line)
		}
	}
	// Links lead from the page, which is one folder up.
	return strings.ReplaceAll(strings.TrimSpace(strings.Join(out, "\n")), "](../", "](")
}
