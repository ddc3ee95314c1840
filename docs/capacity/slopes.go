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

// Slope is slope measured cost.
type Slope struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Package, Bench and Metric name a benchmark and slope of its metrics. If they are empty, the value
	// was read by hand from the output of Command.
	Package string `json:"package,omitempty"`
	Bench   string `json:"bench,omitempty"`
	Metric  string `json:"metric,omitempty"`
	Command string `json:"command,omitempty"`
	Date    string `json:"date"`
}

// command returns the command that measures the slope. The minimum of its runs is the value.
func (sl Slope) command() string {
	if sl.Command != "" {
		return sl.Command
	}
	return fmt.Sprintf("go test -run '^$' -bench '%s' -count %d ./%s", sl.pattern(), benchRuns, sl.Package)
}

// pattern returns the -bench pattern that matches only this benchmark.
func (sl Slope) pattern() string {
	parts := strings.Split(sl.Bench, "/")
	for i, part := range parts {
		parts[i] = "^" + part + "$"
	}
	return strings.Join(parts, "/")
}

// benchRuns is the number of runs of a benchmark. Other load on the machine can only increase a
// result, so the minimum of a few runs is the best estimate.
const benchRuns = 3

// slopeList is the committed list of slopes, in its order.
type slopeList struct {
	list []Slope
}

func readSlopes(path string) (*slopeList, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	sl := new(slopeList)
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&sl.list); err != nil {
		return nil, errors.Wrap(err, path)
	}
	return sl, nil
}

func (sl *slopeList) write(path string) error {
	raw, err := json.MarshalIndent(sl.list, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), fileMode)
}

// value returns the value of a slope. It panics if the name is not listed.
func (sl *slopeList) value(name string) float64 {
	for _, slope := range sl.list {
		if slope.Name == name {
			return slope.Value
		}
	}
	panic("no slope named " + name)
}

// measure runs the benchmarks of the slopes whose names begin with prefix, and updates their values
// and dates. Slopes of the same benchmark share its run.
func (sl *slopeList) measure(ctx context.Context, prefix string) error {
	done := make(map[string]string)
	for i := range sl.list {
		slope := &sl.list[i]
		if slope.Command != "" || !strings.HasPrefix(slope.Name, prefix) {
			continue
		}
		out, ok := done[slope.command()]
		if !ok {
			var err error
			if out, err = bench(ctx, *slope); err != nil {
				return err
			}
			done[slope.command()] = out
		}
		val, err := least(out, slope.Bench, slope.Metric)
		if err != nil {
			return err
		}
		slope.Value = val
		slope.Date = time.Now().UTC().Format(time.DateOnly)
	}
	return nil
}

func bench(ctx context.Context, sl Slope) (string, error) {
	cmd := exec.CommandContext(ctx, "go", "test", "-run", "^$", "-bench", sl.pattern(), "-count", strconv.Itoa(benchRuns), "./"+sl.Package)
	out, err := cmd.CombinedOutput()
	if err != nil {
		return "", errors.Wrapf(err, "%s: %s", sl.command(), out)
	}
	fmt.Fprintf(os.Stderr, "%s", out)
	return string(out), nil
}

// least returns the minimum of slope metric of a benchmark in the output out.
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

// sameBench reports whether field names the benchmark, with or without the number of processors as a
// suffix.
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
