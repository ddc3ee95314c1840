package main

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/fault"
)

const (
	// patience bounds the wait for what must come, on a machine with much else
	// to do.
	patience = 60 * time.Second
	// pollEvery is how often a condition is looked at.
	pollEvery = 20 * time.Millisecond
)

// builds holds the program, built by the first test that needs it.
type builds struct {
	dir  string
	once sync.Once
	path string
	err  error
}

// program is what the tests of processes run.
var program builds

func TestMain(m *testing.M) {
	os.Exit(testMain(m))
}

func testMain(m *testing.M) int {
	defer func() { _ = os.RemoveAll(program.dir) }()
	return m.Run()
}

// build is not done before a test needs it: this binary also runs as a child,
// which ends without cleaning up.
func (bu *builds) build() error {
	dir, err := os.MkdirTemp("", "laburnumvane-procs-")
	if err != nil {
		return err
	}
	bu.dir, bu.path = dir, filepath.Join(dir, "laburnumvane")
	out, err := exec.Command("go", "build", "-buildvcs=false", "-o", bu.path, ".").CombinedOutput()
	return fault.Wrap(err, "go build: "+string(out))
}

// needProgram gives the path of the built program. Tests of processes call it
// first: with -short they end here.
func needProgram(t *testing.T) string {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	program.once.Do(func() { program.err = program.build() })
	is.New(t).NoErr(program.err)
	return program.path
}

// proc is a process that a test started and that does not outlive it.
type proc struct {
	t      *testing.T
	name   string
	cmd    *exec.Cmd
	log    lockedBuffer
	exited chan struct{}
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (lb *lockedBuffer) Write(p []byte) (int, error) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.buf.Write(p)
}

func (lb *lockedBuffer) String() string {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.buf.String()
}

// launch starts the program; out takes its standard output and may be nil.
func launch(t *testing.T, name string, out *lockedBuffer, args ...string) *proc {
	t.Helper()
	pr := &proc{t: t, name: name, cmd: exec.Command(needProgram(t), args...), exited: make(chan struct{})}
	pr.cmd.SysProcAttr = tiedToParent()
	pr.cmd.Stderr = &pr.log
	if out != nil {
		pr.cmd.Stdout = out
	}
	is.New(t).NoErr(pr.cmd.Start())
	go func() {
		defer close(pr.exited)
		_ = pr.cmd.Wait() // its code is read from the process state
	}()
	t.Cleanup(func() {
		// A frozen process, too, is ended by this signal.
		_ = pr.cmd.Process.Kill()
		<-pr.exited
		// Only where the program was built with the detector, by GOFLAGS=-race.
		if strings.Contains(pr.log.String(), "DATA RACE") {
			t.Errorf("%s has a data race", name)
		}
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, tail(pr.log.String()))
		}
	})
	return pr
}

// tail keeps the log of a failed test readable.
func tail(log string) string {
	const most = 6000
	if len(log) > most {
		return "...\n" + log[len(log)-most:]
	}
	return log
}

func (pr *proc) signal(sig syscall.Signal) {
	pr.t.Helper()
	is.New(pr.t).NoErr(pr.cmd.Process.Signal(sig))
}

// kill ends the process without notice and waits until it is gone.
func (pr *proc) kill() {
	pr.signal(syscall.SIGKILL)
	<-pr.exited
}

// exitCode waits for the end of the process; -1 is an end by a signal.
func (pr *proc) exitCode() int {
	pr.t.Helper()
	select {
	case <-pr.exited:
	case <-time.After(patience):
		pr.t.Fatalf("%s did not end", pr.name)
	}
	return pr.cmd.ProcessState.ExitCode()
}

// command runs the program to its end and gives its output and exit code.
func command(t *testing.T, args ...string) (out string, code int) {
	t.Helper()
	var buf lockedBuffer
	pr := launch(t, args[0], &buf, args...)
	code = pr.exitCode()
	return buf.String() + pr.log.String(), code
}

// eventually waits for a condition. Nothing is decided by how long it takes.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	for !holds() {
		select {
		case <-ctx.Done():
			t.Fatalf("never came: %s", what)
		case <-time.After(pollEvery):
		}
	}
}
