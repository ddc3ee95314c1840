package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"laburnumvane/core/toggle"
	"laburnumvane/io/edge"
	"laburnumvane/io/logbuf"
	"laburnumvane/platform"
)

const (
	// memoryShare is the runtime's soft memory limit as a share of the platform's memory limit.
	// Above the soft limit garbage collection runs more often; above the platform's limit the
	// process is killed.
	memoryShare = 0.75
	// settingsPollInterval is the time between two reads of the settings file, which may change
	// without a signal.
	settingsPollInterval = 2 * time.Second
)

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "carry routed requests on the users' platform",
		Description: `gateway runs one VM that carries clients' requests to upstream servers as the
operator's configuration in the platform's store says: by host and prefix, to
one service or gathered over all shards of a register. It reads the platform's
settings file, whose path is in ` + platform.SettingsEnv + `, and finds
everything else in the store.

SIGTERM begins a planned stop: the balancer's check fails, requests are served
as long as the balancer may send them, and the process exits within the
platform's grace. SIGHUP reads the settings file again; it is also read every
two seconds.

--off switches off a mechanism that decides about requests, for operators who
suspect that it causes a problem; docs/operate/mechanisms.md describes each one
and its effect. No guarantee depends on them.

Exit codes:
   0  stopped as planned, nothing was cut off
   1  could not start, or requests were still under way when the grace ended
   2  a flag or the settings file is wrong

Examples:
   ` + platform.SettingsEnv + `=node.yaml laburnumvane gateway --metrics-port 9464`,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:    "settings",
				Usage:   "read the platform's settings from `PATH`",
				Sources: cli.EnvVars(platform.SettingsEnv),
			},
			&cli.IntFlag{
				Name:  "metrics-port",
				Usage: "serve metrics on `PORT` of this VM's address; 0 turns them off",
			},
			&cli.StringSliceFlag{
				Name:    "off",
				Usage:   "switch off the mechanism `NAME`; may be given several times, or a list with commas",
				Sources: cli.EnvVars("LABURNUMVANE_OFF"),
			},
			&cli.StringFlag{
				Name:  "log-level",
				Usage: "log lines from `LEVEL` on: debug, info, warn or error",
				Value: "info",
			},
		},
		Action: gatewayAction,
	}
}

func gatewayAction(ctx context.Context, cmd *cli.Command) error {
	op := cmd.FullName()
	path := cmd.String("settings")
	set, err := platform.ReadSettings(path)
	if err != nil {
		return &Error{Op: op, Kind: KindUsage, Err: err}
	}
	off, err := toggle.Parse(cmd.StringSlice("off"))
	if err != nil {
		return &Error{Op: op, Kind: KindUsage, Err: err}
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(set.MemoryBytes)))
	// The signal handlers are installed before anything is started, so that a signal during
	// start-up still causes a planned stop.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	lo, flush := queuedLogger(cmd.String("log-level"), flushTime(set))
	defer flush()
	cfg := set.Edge(cmd.Int("metrics-port"), lo)
	cfg.Settings.Off = off
	eg, err := edge.Start(cfg)
	if err != nil {
		return &Error{Op: op, Kind: KindFailure, Err: err}
	}
	sr := settingsReloader{path: path, port: cmd.Int("metrics-port"), eg: eg, log: lo}
	sr.text, _ = os.ReadFile(path)
	sr.run(ctx, stop, hup)
	if err := eg.Stop(); err != nil {
		return &Error{Op: op, Kind: KindFailure, Err: err}
	}
	return nil
}

// flushTime returns how long the last log lines may take to be written.
func flushTime(set platform.Settings) time.Duration {
	es := set.EdgeSettings(0)
	return es.FlushTime()
}

// queuedLogger returns a logger that writes JSON lines to standard output through a queue, so that
// logging never blocks, and a function that closes the queue within flushTime.
func queuedLogger(level string, flushTime time.Duration) (*log.Logger, func()) {
	lo := newLogger(os.Stdout, level)
	qu := logbuf.New(logbuf.Config{Writer: lo.Writer, CloseTime: flushTime})
	lo.Writer = qu
	return lo, qu.Close
}

// settingsReloader applies changes of the settings file to a running edge.
type settingsReloader struct {
	path string
	port int
	text []byte
	eg   *edge.Edge
	log  *log.Logger
}

// run checks the file on SIGHUP and at every poll interval. It returns when the process is to stop.
func (sr *settingsReloader) run(ctx context.Context, stop, hup <-chan os.Signal) {
	tk := time.NewTicker(settingsPollInterval)
	defer tk.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ctx.Done():
			return
		case <-hup:
		case <-tk.C:
		}
		sr.reloadIfChanged()
	}
}

// reloadIfChanged applies the settings file if its text has changed. If the file cannot be read or
// parsed, the current settings stay and the next poll tries again: the file may be half written.
func (sr *settingsReloader) reloadIfChanged() {
	text, err := os.ReadFile(sr.path)
	if err != nil || bytes.Equal(text, sr.text) {
		return
	}
	set, err := platform.ParseSettings(text)
	if err != nil {
		sr.log.Warn().Err(err).Msg("settings file cannot be read, the former settings stay")
		return
	}
	sr.text = text
	sr.eg.Reload(set.EdgeSettings(sr.port))
}
