package main

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The page must match the slopes. If it does not, run `go generate ./docs/capacity`.
func TestPageAgreesWithSlopes(t *testing.T) {
	is := is.New(t)
	sl, err := readSlopes(slopesFile)
	is.NoErr(err)
	page, err := os.ReadFile("serve.md")
	is.NoErr(err)
	want, err := fillTables(string(page), tables(sl))
	is.NoErr(err)
	is.Equal(string(page), want)
	for _, line := range strings.Split(want, "\n") {
		if strings.HasPrefix(line, "<!-- begin ") {
			name := strings.TrimSuffix(strings.TrimPrefix(line, "<!-- begin "), " -->")
			is.True(hasTable(tables(sl), name)) // every table on the page is filled
		}
	}
}

func hasTable(tbs []Table, name string) bool {
	for _, tb := range tbs {
		if tb.Name == name {
			return true
		}
	}
	return false
}

// Each slope must have a value, a date, and either an existing benchmark or the command that was run
// by hand.
func TestSlopesCanBeMeasured(t *testing.T) {
	sl, err := readSlopes(slopesFile)
	is.New(t).NoErr(err)
	seen := make(map[string]bool)
	for _, one := range sl.list {
		t.Run(one.Name, func(t *testing.T) {
			is := is.New(t)
			is.True(!seen[one.Name]) // no duplicate names
			seen[one.Name] = true
			is.True(one.Value > 0)
			is.True(one.Unit != "")
			is.True(one.Date != "")
			is.True((one.Command == "") == (one.Bench != "" && one.Metric != ""))
			if one.Bench != "" {
				is.True(hasBenchmark(t, one))
			}
		})
	}
}

func hasBenchmark(t *testing.T, sl Slope) bool {
	t.Helper()
	is := is.New(t)
	dir := "../../" + sl.Package
	files, err := os.ReadDir(dir)
	is.NoErr(err)
	name, _, _ := strings.Cut(sl.Bench, "/")
	for _, fi := range files {
		if !strings.HasSuffix(fi.Name(), "_test.go") {
			continue
		}
		raw, err := os.ReadFile(dir + "/" + fi.Name())
		is.NoErr(err)
		if strings.Contains(string(raw), "\nfunc "+name+"(b *testing.B)") {
			return true
		}
	}
	return false
}

// The bounds in the tables must equal the constants in the code.
func TestBoundsAreTheCodes(t *testing.T) {
	for _, tt := range []struct {
		file, name string
		want       int
	}{
		{"io/node/members_riders.go", "piggybackBytes", piggybackBytes},
		{"io/node/upstreams.go", "hintBytesPerSecond", pollBytes},
		{"io/upst/maintain.go", "fillsPerTick", connsOpenedPerSecond / ticksPerSecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			raw, err := os.ReadFile("../../" + tt.file)
			is.NoErr(err)
			found := regexp.MustCompile(`\b` + tt.name + ` *= (\d+)(?: << (\d+))?\n`).FindSubmatch(raw)
			is.True(found != nil) // the constant exists under this name
			got, err := strconv.Atoi(string(found[1]))
			is.NoErr(err)
			if len(found[2]) > 0 {
				shift, err := strconv.Atoi(string(found[2]))
				is.NoErr(err)
				got <<= shift
			}
			is.Equal(got, tt.want)
		})
	}
}

func TestLeast(t *testing.T) {
	const out = `BenchmarkA/n=1-12   100   9.5 ns/op   7 B/op
BenchmarkA/n=1-12   100   8.5 ns/op   9 B/op
BenchmarkA/n=10-12   100   1 ns/op   1 B/op
`
	tests := []struct {
		name, bench, metric string
		want                float64
		ok                  bool
	}{
		{"minimum of two runs", "BenchmarkA/n=1", "ns/op", 8.5, true},
		{"minimum of another metric", "BenchmarkA/n=1", "B/op", 7, true},
		{"name that has another one as prefix", "BenchmarkA/n=10", "ns/op", 1, true},
		{"no such metric", "BenchmarkA/n=1", "us/op", 0, false},
		{"no such benchmark", "BenchmarkB", "ns/op", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, err := least(out, tt.bench, tt.metric)
			is.Equal(err == nil, tt.ok)
			is.Equal(got, tt.want)
		})
	}
}
