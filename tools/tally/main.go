// Command tally reads the events of go test -json, shows the packages' lines and
// what failing tests printed, and closes with one line that counts the tests.
//
// # Usage
//
//	go test -json ./... | go run -C tools ./tally
//
// The last line is "N passed, N failed", with ", N skipped" after it if any
// were; subtests count. It exits 1 if a test failed or none passed, 2 if the
// events cannot be read. A package that fails without a failing test of its
// own, as one that doesn't build or exits, counts as one failure.
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

// Actions of the events that matter here, as "go doc test2json" lists them.
const (
	actionOutput      = "output"
	actionBuildOutput = "build-output"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
)

// event is a line of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// test names a test; one without Test is the package itself.
type test struct{ Package, Test string }

// tally counts tests and keeps their output until it is known whether it
// matters.
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
	ta.close()
	flushErr := out.Flush()
	if err = errors.Join(err, flushErr); err != nil {
		fmt.Fprintln(os.Stderr, "tally:", err)
		os.Exit(exitError)
	}
	if ta.failed > 0 || ta.passed == 0 {
		os.Exit(exitFailed)
	}
}

// read takes events until the end.
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
		ta.drop(te, &ta.passed)
	case actionSkip:
		ta.drop(te, &ta.skipped)
	case actionFail:
		ta.fail(te)
	}
}

// addOutput shows what a package prints and keeps what a test prints.
func (ta *tally) addOutput(te test, text string) {
	if te.Test == "" {
		fmt.Fprint(ta.to, text)
		return
	}
	ta.output[te] = append(ta.output[te], text)
}

// drop counts a test that did not fail; a package itself isn't counted.
func (ta *tally) drop(te test, count *int) {
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
	ta.show(te)
}

// failPackage shows the output of tests that never ended, as in a panic.
func (ta *tally) failPackage(name string) {
	for te := range ta.output {
		if te.Package == name {
			ta.show(te)
		}
	}
	if ta.failedIn[name] == 0 {
		ta.failed++
	}
}

func (ta *tally) show(te test) {
	for _, text := range ta.output[te] {
		fmt.Fprint(ta.to, text)
	}
	delete(ta.output, te)
}

// close prints the last line.
func (ta *tally) close() {
	fmt.Fprintf(ta.to, "%d passed, %d failed", ta.passed, ta.failed)
	if ta.skipped > 0 {
		fmt.Fprintf(ta.to, ", %d skipped", ta.skipped)
	}
	fmt.Fprintln(ta.to)
}
