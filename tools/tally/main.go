// Command tally reads the events of go test -json, prints the output of packages
// and of failed tests, and ends with one line that counts the tests.
//
// # Usage
//
//	go test -json ./... | go run -C tools ./tally
//
// The last line is "N passed, N failed", with ", N skipped" after it if any
// were; subtests count. It exits with 1 if a test failed or none passed, and with
// 2 if the events cannot be read. A package that fails without a failed test, for
// example because it does not build or calls os.Exit, counts as one failure.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
)

// Exit codes.
const (
	exitFailed = 1
	exitError  = 2
)

// Actions of the events that are used here; "go doc test2json" lists all.
const (
	actionOutput      = "output"
	actionBuildOutput = "build-output"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
)

// event is one line of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// test identifies a test; an empty Test means the package itself.
type test struct{ Package, Test string }

// tally counts tests and keeps the output of each until its result is known.
type tally struct {
	to                      io.Writer
	passed, failed, skipped int
	output                  map[test][]string
	failedIn                map[string]int
}

func newTally(to io.Writer) *tally {
	return &tally{
		to:       to,
		output:   make(map[test][]string),
		failedIn: make(map[string]int),
	}
}

func main() {
	out := bufio.NewWriter(os.Stdout)
	ta := newTally(out)
	err := ta.read(os.Stdin)
	ta.printSummary()
	flushErr := out.Flush()
	if err = errors.Join(err, flushErr); err != nil {
		fmt.Fprintln(os.Stderr, "tally:", err)
		os.Exit(exitError)
	}
	if ta.failed > 0 || ta.passed == 0 {
		os.Exit(exitFailed)
	}
}

// read processes all events of from.
func (ta *tally) read(from io.Reader) error {
	dec := json.NewDecoder(from)
	for {
		var ev event
		err := dec.Decode(&ev)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		ta.add(ev)
	}
}

func (ta *tally) add(ev event) {
	te := test{ev.Package, ev.Test}
	switch ev.Action {
	case actionBuildOutput:
		fmt.Fprint(ta.to, ev.Output)
	case actionOutput:
		ta.addOutput(te, ev.Output)
	case actionPass:
		ta.finish(te, &ta.passed)
	case actionSkip:
		ta.finish(te, &ta.skipped)
	case actionFail:
		ta.fail(te)
	}
}

// addOutput prints the output of a package at once and keeps that of a test.
func (ta *tally) addOutput(te test, text string) {
	if te.Test == "" {
		fmt.Fprint(ta.to, text)
		return
	}
	ta.output[te] = append(ta.output[te], text)
}

// finish counts a test that did not fail and discards its output. It does not count packages.
func (ta *tally) finish(te test, count *int) {
	delete(ta.output, te)
	if te.Test != "" {
		*count++
	}
}

func (ta *tally) fail(te test) {
	if te.Test == "" {
		ta.failPackage(te.Package)
		return
	}
	ta.failed++
	ta.failedIn[te.Package]++
	ta.printOutput(te)
}

// failPackage prints the output of tests without a result, for example after a panic, and counts the
// package as a failure if none of its tests failed.
func (ta *tally) failPackage(name string) {
	for te := range ta.output {
		if te.Package == name {
			ta.printOutput(te)
		}
	}
	if ta.failedIn[name] == 0 {
		ta.failed++
	}
}

func (ta *tally) printOutput(te test) {
	for _, text := range ta.output[te] {
		fmt.Fprint(ta.to, text)
	}
	delete(ta.output, te)
}

// printSummary prints the last line.
func (ta *tally) printSummary() {
	fmt.Fprintf(ta.to, "%d passed, %d failed", ta.passed, ta.failed)
	if ta.skipped > 0 {
		fmt.Fprintf(ta.to, ", %d skipped", ta.skipped)
	}
	fmt.Fprintln(ta.to)
}
