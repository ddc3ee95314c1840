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
	beginMarker = "<!-- begin joined -->\n"
	endMarker   = "<!-- end joined -->"
	fileMode    = 0o644
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

// join replaces the text between the page's markers by all tables, in the order of their file names.
func join(page, dir string) (string, error) {
	before, rest, ok := strings.Cut(page, beginMarker)
	if !ok {
		return "", errors.New("the page has no begin marker")
	}
	_, after, ok := strings.Cut(rest, endMarker)
	if !ok {
		return "", errors.New("the page has no end marker")
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
		topic := strings.TrimSuffix(filepath.Base(path), ".md")
		sb.WriteString("### " + strings.ToUpper(topic[:1]) + topic[1:] + "\n\n")
		sb.WriteString(demoteHeadings(string(raw)) + "\n\n")
	}
	return before + beginMarker + sb.String() + endMarker + after, nil
}

// demoteHeadings removes the title of a file and moves its other headings two levels down, below the
// heading of the topic.
func demoteHeadings(text string) string {
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
	// Links are relative to the page, which is one folder up.
	return strings.ReplaceAll(strings.TrimSpace(strings.Join(out, "\n")), "](../", "](")
}
