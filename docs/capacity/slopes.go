package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Slope is one measured figure.
type Slope struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Package, Bench and Metric name a benchmark and one of its figures. Where
	// they are empty, a person ran Command and read the figure.
	Package string `json:"package,omitempty"`
	Bench   string `json:"bench,omitempty"`
	Metric  string `json:"metric,omitempty"`
	Command string `json:"command,omitempty"`
	Date    string `json:"date"`
}

// command measures the slope; the least of its runs counts.
func (sl Slope) command() string {
	if sl.Command != "" {
		return sl.Command
	}
	return fmt.Sprintf("go test -run '^$' -bench '%s' -count %d ./%s", sl.pattern(), runs, sl.Package)
}

// pattern matches this one benchmark and no other.
func (sl Slope) pattern() string {
	parts := strings.Split(sl.Bench, "/")
	for i, part := range parts {
		parts[i] = "^" + part + "$"
	}
	return strings.Join(parts, "/")
}

// runs is how often a benchmark is run: other load on the machine only ever
// adds, so the least of a few runs is nearest to the truth.
const runs = 3

// slopes is the list as it is checked in, in its order.
type slopes struct {
	list []Slope
}

func readSlopes(path string) (*slopes, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	sl := new(slopes)
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&sl.list); err != nil {
		return nil, errors.Wrap(err, path)
	}
	return sl, nil
}

func (sl *slopes) write(path string) error {
	raw, err := json.MarshalIndent(sl.list, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), fileMode)
}

// of is a slope's value. A name that is not listed is a fault of this program.
func (sl *slopes) of(name string) float64 {
	for _, one := range sl.list {
		if one.Name == name {
			return one.Value
		}
	}
	panic("no slope named " + name)
}

// measure runs the benchmarks. Slopes of one benchmark share a run.
func (sl *slopes) measure(ctx context.Context, only string) error {
	done := make(map[string]string)
	for i := range sl.list {
		one := &sl.list[i]
		if one.Command != "" || !strings.HasPrefix(one.Name, only) {
			continue
		}
		out, ok := done[one.command()]
		if !ok {
			var err error
			if out, err = bench(ctx, *one); err != nil {
				return err
			}
			done[one.command()] = out
		}
		val, err := least(out, one.Bench, one.Metric)
		if err != nil {
			return err
		}
		one.Value = val
		one.Date = time.Now().UTC().Format(time.DateOnly)
	}
	return nil
}

func bench(ctx context.Context, sl Slope) (string, error) {
	cmd := exec.CommandContext(ctx, "go", "test", "-run", "^$", "-bench", sl.pattern(), "-count", strconv.Itoa(runs), "./"+sl.Package)
	out, err := cmd.CombinedOutput()
	if err != nil {
		return "", errors.Wrapf(err, "%s: %s", sl.command(), out)
	}
	fmt.Fprintf(os.Stderr, "%s", out)
	return string(out), nil
}

// least reads the smallest of a benchmark's figures of one metric.
func least(out, name, metric string) (float64, error) {
	best, found := 0.0, false
	for line := range strings.Lines(out) {
		fields := strings.Fields(line)
		if len(fields) < 2 || !sameBench(fields[0], name) {
			continue
		}
		for i := 2; i+1 < len(fields); i += 2 {
			if fields[i+1] != metric {
				continue
			}
			val, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return 0, err
			}
			if !found || val < best {
				best, found = val, true
			}
		}
	}
	if !found {
		return 0, errors.Errorf("%s reports no %s", name, metric)
	}
	return best, nil
}

// sameBench tells whether a line is of a benchmark; lines end in the number of
// processors.
func sameBench(field, name string) bool {
	rest, ok := strings.CutPrefix(field, name)
	if !ok {
		return false
	}
	if rest == "" {
		return true
	}
	_, err := strconv.Atoi(strings.TrimPrefix(rest, "-"))
	return err == nil && strings.HasPrefix(rest, "-")
}
