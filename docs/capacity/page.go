package main

import (
	"strings"

	"github.com/go-faster/errors"
)

// Table is one table of the page, where it is enclosed in markers with its name.
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

// fillTables replaces the text between the markers of each table. A missing marker is an error.
func fillTables(page string, tbs []Table) (string, error) {
	for _, tb := range tbs {
		begin := "<!-- begin " + tb.Name + " -->\n"
		end := "<!-- end " + tb.Name + " -->"
		before, rest, ok := strings.Cut(page, begin)
		if !ok {
			return "", errors.Errorf("the page has no table %s", tb.Name)
		}
		_, after, ok := strings.Cut(rest, end)
		if !ok {
			return "", errors.Errorf("table %s of the page has no end marker", tb.Name)
		}
		page = before + begin + tb.markdown() + end + after
	}
	return page, nil
}
