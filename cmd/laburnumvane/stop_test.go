package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/io/emul"
	"laburnumvane/io/wire"
)

// serveArgs is the environment variable that makes TestServeProcess run the serve command.
const serveArgs = "LABURNUMVANE_TEST_SERVE"

// TestServeProcess is the child process of TestSignalTwice and is skipped otherwise.
func TestServeProcess(t *testing.T) {
	if os.Getenv(serveArgs) == "" {
		t.Skip("only run as a child process")
	}
	os.Exit(run(context.Background(), []string{"laburnumvane", "serve"}, os.Stdin, os.Stdout, os.Stderr))
}

// freeAddr returns an address with a free port, for a process whose address must be set beforehand.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// The platform sends SIGTERM to a serving process, and again while the process still serves for the
// balancer lag. The second signal must not kill the process, which must exit with code 0.
func TestSignalTwice(t *testing.T) {
	is := is.New(t)
	kv, vms := emul.NewKV(emul.KVConfig{}), emul.NewVMs(emul.VMsConfig{})
	is.NoErr(kv.Start())
	t.Cleanup(kv.Close)
	is.NoErr(vms.Start())
	t.Cleanup(vms.Close)
	caller := freeAddr(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	child := exec.CommandContext(ctx, os.Args[0], "-test.run=^TestServeProcess$")
	child.Env = append(os.Environ(), serveArgs+"=1",
		"LABURNUMVANE_CALLER_ADDR="+caller,
		"LABURNUMVANE_OPERATOR_ADDR="+freeAddr(t),
		"LABURNUMVANE_INNER_ADDR="+freeAddr(t),
		"LABURNUMVANE_DATA_CENTRE=east",
		"LABURNUMVANE_REGION=home",
		"LABURNUMVANE_KV="+kv.Addr(),
		"LABURNUMVANE_VM_LIST="+vms.Addr(),
		"LABURNUMVANE_BALANCER_LAG=500ms",
	)
	is.NoErr(child.Start())
	health := func(want int) {
		t.Helper()
		for ctx.Err() == nil {
			if rs, err := http.Get("http://" + caller + wire.RouteHealth); err == nil {
				_ = rs.Body.Close()
				if rs.StatusCode == want {
					return
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("time-out while waiting for health status %d", want)
	}
	health(http.StatusOK)
	is.NoErr(child.Process.Signal(syscall.SIGTERM))
	health(http.StatusServiceUnavailable)
	is.NoErr(child.Process.Signal(syscall.SIGTERM))
	is.NoErr(child.Wait())
	is.Equal(child.ProcessState.ExitCode(), 0)
}
