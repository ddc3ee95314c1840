package main

import (
	"strings"

	"github.com/go-faster/errors"
)

// Table is one table of the page, which stands between its markers.
type Table struct {
	Name string
	Head []string
	Rows [][]string
}

func (tb Table) markdown() string {
	var sb strings.Builder
	line := func(cells []string) {
		sb.WriteString("| " + strings.Join(cells, " | ") + " |\n")
	}
	line(tb.Head)
	rule := make([]string, len(tb.Head))
	for i := range rule {
		rule[i] = "---"
	}
	line(rule)
	for _, row := range tb.Rows {
		line(row)
	}
	return sb.String()
}

// fill replaces what stands between the markers of each table.
func fill(page string, tbs []Table) (string, error) {
	for _, tb := range tbs {
		begin := "<!-- begin " + tb.Name + " -->\n"
		end := "<!-- end " + tb.Name + " -->"
		before, rest, ok := strings.Cut(page, begin)
		if !ok {
			return "", errors.Errorf("the page has no table %s", tb.Name)
		}
		_, after, ok := strings.Cut(rest, end)
		if !ok {
			return "", errors.Errorf("table %s of the page has no end", tb.Name)
		}
		page = before + begin + tb.markdown() + end + after
	}
	return page, nil
}
