package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"laburnumvane/io/node"
	"laburnumvane/io/setup"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry VM",
		Description: `serve runs one entry VM until it receives a stop signal. All settings are flags or
environment variables; they are checked together at start, with one line for
each that is wrong. What may change while it runs is the teams' configuration,
which lives in the platform's key-value service.

SIGTERM or SIGINT begins a planned stop: the health check fails, the listeners
stay open for the balancer lag, keep-alive connections are closed with their
next answer, and requests in flight are finished. A second signal
changes nothing; the stop is bounded by --stop-grace.

Exit codes:
   0  stopped as planned, nothing was cut off
   1  could not start, or requests were still in flight when the grace ended
   2  a setting is wrong

Example:
   laburnumvane serve --data-centre east --region home \
      --kv 127.0.0.1:7800 --vm-list 127.0.0.1:7801`,
		Flags:  setup.Flags(),
		Action: serveAction,
	}
}

func serveAction(ctx context.Context, cmd *cli.Command) error {
	set, err := setup.FromCommand(cmd)
	if err != nil {
		return &Error{Op: cmd.FullName(), Kind: KindUsage, Err: err}
	}
	if err := set.Check(); err != nil {
		return &Error{Op: cmd.FullName(), Kind: KindUsage, Err: err}
	}
	// The signal handlers are installed before anything is started, so that a signal during
	// start-up still causes a planned stop.
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return serve(ctx, cmd.FullName(), set.WithIncarnation(time.Now()))
}

func serve(ctx context.Context, op string, set setup.Settings) error {
	nd, err := node.Start(node.Config{Settings: set, Log: newLogger(os.Stderr, set.LogLevel), Version: readBuildInfo().Version})
	if err != nil {
		return &Error{Op: op, Kind: KindFailure, Err: err}
	}
	<-ctx.Done()
	grace, cancel := context.WithTimeout(context.Background(), set.StopGrace)
	defer cancel()
	if err := nd.Stop(grace); err != nil {
		return &Error{Op: op, Kind: KindFailure, Err: err}
	}
	return nil
}

// newLogger returns a logger that writes JSON lines to out.
func newLogger(out io.Writer, level string) *log.Logger {
	// The HTTP library logs in its own format, so its logging is turned off. The events that it
	// would log are counted in the metrics.
	silenceHertz()
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: time.RFC3339Nano,
		Writer:     &log.IOWriter{Writer: out},
	}
}
