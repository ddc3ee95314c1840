package main

import (
	"bytes"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/quota"
	"laburnumvane/io/entry"
)

func readPage(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile("../../docs/" + name)
	is.New(t).NoErr(err)
	return string(raw)
}

// Operators read the pages and the help side by side. A column, a state or a flag that only one of them
// has, or that does not exist any more, sends them looking for it.
func TestAccountsPageAndHelpAgree(t *testing.T) {
	is := is.New(t)
	_, page, ok := strings.Cut(readPage(t, "operate/limits.md"), "## Client accounts")
	is.True(ok)
	var out bytes.Buffer
	accounts := []entry.AccountStatus{{Usage: quota.Usage{Account: "a"}}}
	showAccounts(&out, &entry.AccountUsage{Largest: accounts})
	showHolders(&out, nil)
	columns := regexp.MustCompile(`[A-Z]+(?: [A-Z]+|/S)*`).FindAllString(headings(out.String()), -1)
	is.True(slices.Contains(columns, "PART/S") && slices.Contains(columns, "OVER LIMIT"))
	for _, column := range columns {
		is.True(column == "ACCOUNT" || column == "HOLDER" || strings.Contains(page, "`"+column+"`")) // column
	}
	help := accountsCommand().Description
	for _, column := range regexp.MustCompile(`(?m)^   ([A-Z][A-Z/, ]*[A-Z])  `).FindAllStringSubmatch(help, -1) {
		for _, one := range strings.Split(column[1], ", ") {
			is.True(slices.Contains(columns, one)) // a column of the help
		}
	}
	states := []holderState{holderActive, holderIdle, holderDiffers, holderNoAccount, holderOtherVM, holderUnavailable}
	for _, state := range states {
		is.True(strings.Contains(page, "| `"+string(state)+"` |")) // state
	}
	_, rows, ok := strings.Cut(page, "| `STATE`")
	is.True(ok)
	is.Equal(len(regexp.MustCompile("(?m)^\\| `[a-zA-Z]+` \\|").FindAllString(rows, -1)), len(states))
}

// headings returns the lines of column headings.
func headings(text string) string {
	var all []string
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "ACCOUNT ") || strings.HasPrefix(line, "HOLDER ") {
			all = append(all, line)
		}
	}
	return strings.Join(all, "")
}

// A command line that is copied from a page must run as it stands.
func TestAccountsLinesOfPages(t *testing.T) {
	is := is.New(t)
	known := map[string]bool{}
	for _, fl := range accountsCommand().Flags {
		known["--"+fl.Names()[0]] = true
	}
	lines := 0
	for _, name := range []string{"operate/limits.md", "OPERATIONS.md"} {
		for _, line := range regexp.MustCompile(`(?m)^ {4}laburnumvane accounts.*$`).FindAllString(readPage(t, name), -1) {
			lines++
			for _, flag := range regexp.MustCompile(`--[a-z-]+`).FindAllString(line, -1) {
				is.True(known[flag]) // line
			}
		}
	}
	is.True(lines >= 4)
}
