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

	"laburnumvane/core/errs"
)

const (
	// waitTimeout is the longest wait for an expected event; it allows for a busy machine.
	waitTimeout = 60 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// programBuild is the program's executable, which the first test that needs it builds.
type programBuild struct {
	dir  string
	once sync.Once
	path string
	err  error
}

// program is the executable that process tests run.
var program programBuild

func TestMain(m *testing.M) {
	os.Exit(testMain(m))
}

func testMain(m *testing.M) int {
	defer func() { _ = os.RemoveAll(program.dir) }()
	silenceHertz() // before any server reads the level
	return m.Run()
}

// build compiles the program into a temporary folder. It is not called in TestMain: the test binary
// also runs as a child process, which exits without removing the folder.
func (bu *programBuild) build() error {
	dir, err := os.MkdirTemp("", "laburnumvane-procs-")
	if err != nil {
		return err
	}
	bu.dir, bu.path = dir, filepath.Join(dir, "laburnumvane")
	out, err := exec.Command("go", "build", "-buildvcs=false", "-o", bu.path, ".").CombinedOutput()
	return errs.Wrap(err, "go build: "+string(out))
}

// needProgram returns the path of the built program. Process tests call it first: with -short it
// skips them.
func needProgram(t *testing.T) string {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	program.once.Do(func() { program.err = program.build() })
	is.New(t).NoErr(program.err)
	return program.path
}

// proc is a process that a test started; it is killed when the test ends.
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

// launch starts the program. Its standard output goes to out, which may be nil.
func launch(t *testing.T, name string, out *lockedBuffer, args ...string) *proc {
	t.Helper()
	pr := &proc{t: t, name: name, cmd: exec.Command(needProgram(t), args...), exited: make(chan struct{})}
	pr.cmd.SysProcAttr = killedWithParent()
	pr.cmd.Stderr = &pr.log
	if out != nil {
		pr.cmd.Stdout = out
	}
	is.New(t).NoErr(pr.cmd.Start())
	go func() {
		defer close(pr.exited)
		_ = pr.cmd.Wait() // the exit code is read from the process state
	}()
	t.Cleanup(func() {
		// SIGKILL also ends a stopped process.
		_ = pr.cmd.Process.Kill()
		<-pr.exited
		// Reported only if the program was built with the race detector (GOFLAGS=-race).
		if strings.Contains(pr.log.String(), "DATA RACE") {
			t.Errorf("%s has a data race", name)
		}
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, tail(pr.log.String()))
		}
	})
	return pr
}

// tail returns the last 6000 bytes of a log.
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

// kill sends SIGKILL and waits until the process has exited.
func (pr *proc) kill() {
	pr.signal(syscall.SIGKILL)
	<-pr.exited
}

// exitCode waits until the process has exited and returns its code; -1 means killed by a signal.
func (pr *proc) exitCode() int {
	pr.t.Helper()
	select {
	case <-pr.exited:
	case <-time.After(waitTimeout):
		pr.t.Fatalf("%s did not exit", pr.name)
	}
	return pr.cmd.ProcessState.ExitCode()
}

// runProgram runs the program to its end and returns its output, standard error last, and exit code.
func runProgram(t *testing.T, args ...string) (out string, code int) {
	t.Helper()
	var buf lockedBuffer
	pr := launch(t, args[0], &buf, args...)
	code = pr.exitCode()
	return buf.String() + pr.log.String(), code
}

// eventually polls a condition until it holds. The test fails only if waitTimeout passes first, so
// that a slow machine does not fail it.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	for !holds() {
		select {
		case <-ctx.Done():
			t.Fatalf("time-out while waiting for: %s", what)
		case <-time.After(pollInterval):
		}
	}
}
