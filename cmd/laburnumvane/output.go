package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// printJSON prints one value, indented, with a final newline.
func printJSON(cmd *cli.Command, val any) error {
	enc := json.NewEncoder(cmd.Root().Writer)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	if err := enc.Encode(val); err != nil {
		return failure(cmd.FullName(), err)
	}
	return nil
}

// table writes human-readable text in aligned columns.
type table struct {
	tw *tabwriter.Writer
}

func newTable(out io.Writer, heads ...string) table {
	tbl := table{tw: tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)}
	if len(heads) > 0 {
		tbl.row(heads...)
	}
	return tbl
}

// row adds one line. An empty cell is printed as a dash, so that every line has the same number of
// fields for tools such as awk. It changes cells in place.
func (tbl table) row(cells ...string) {
	for i, cell := range cells {
		if cell == "" {
			cells[i] = "-"
		}
	}
	fmt.Fprintln(tbl.tw, strings.Join(cells, "\t"))
}

func (tbl table) flush() {
	_ = tbl.tw.Flush()
}

func number[T ~int | ~int64 | ~uint64](val T) string {
	return fmt.Sprintf("%d", val)
}

func millis(val float64) string {
	return fmt.Sprintf("%.1f ms", val)
}
