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
	"laburnumvane/io/lines"
	"laburnumvane/platform"
)

const (
	// memoryShare is the part of the platform's memory limit at which the
	// runtime collects garbage harder: beyond the limit the process is killed.
	memoryShare = 0.75
	// settingsPoll is how often the settings file is looked at, for it may
	// change without a signal.
	settingsPoll = 2 * time.Second
)

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "carry routed requests on the users' platform",
		Description: `gateway runs one VM that carries clients' requests to upstream servers as the
operator's configuration in the platform's store says: by host and prefix, to
one service or gathered over all shards of a register. It reads the platform's
settings file, whose path is in ` + platform.SettingsVariable + `, and finds
everything else in the store.

SIGTERM begins a planned stop: the balancer's check fails, requests are served
as long as any may come, and the process ends within the platform's grace.
SIGHUP reads the settings file again; it is also looked at every two seconds.

--off switches a mechanism off that decides about requests, for operators who
suspect it in trouble; docs/operate/mechanisms.md says what each is for and what it
is worth. No rule hangs on one.

Exit codes:
   0  stopped as planned, nothing was cut off
   1  could not start, or requests were still under way when the grace ended
   2  a flag or the settings file is wrong

Examples:
   ` + platform.SettingsVariable + `=node.yaml laburnumvane gateway --metrics-port 9464`,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:    "settings",
				Usage:   "read the platform's settings from `PATH`",
				Sources: cli.EnvVars(platform.SettingsVariable),
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
	// The signals are taken before anything is started, so that one that comes
	// during the boot still stops the VM as planned.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	lo, flush := queuedLogger(cmd.String("log-level"))
	defer flush()
	cfg := set.Edge(cmd.Int("metrics-port"), lo)
	cfg.Settings.Off = off
	eg, err := edge.Start(cfg)
	if err != nil {
		return &Error{Op: op, Kind: KindFailure, Err: err}
	}
	re := reloader{path: path, port: cmd.Int("metrics-port"), eg: eg, log: lo}
	re.text, _ = os.ReadFile(path)
	re.run(ctx, stop, hup)
	if err := eg.Stop(); err != nil {
		return &Error{Op: op, Kind: KindFailure, Err: err}
	}
	return nil
}

// queuedLogger writes JSON lines to standard output; whoever logs never waits
// for it.
func queuedLogger(level string) (*log.Logger, func()) {
	lo := newLogger(os.Stdout, level)
	qu := lines.New(lines.Config{Writer: lo.Writer})
	lo.Writer = qu
	return lo, qu.Close
}

// reloader looks after the settings file.
type reloader struct {
	path string
	port int
	text []byte
	eg   *edge.Edge
	log  *log.Logger
}

// run returns when the process shall stop.
func (re *reloader) run(ctx context.Context, stop, hup <-chan os.Signal) {
	tk := time.NewTicker(settingsPoll)
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
		re.look()
	}
}

// look takes a changed file. One that cannot be read changes nothing: it may be
// half written, and is looked at again.
func (re *reloader) look() {
	text, err := os.ReadFile(re.path)
	if err != nil || bytes.Equal(text, re.text) {
		return
	}
	set, err := platform.ParseSettings(text)
	if err != nil {
		re.log.Warn().Err(err).Msg("settings file cannot be read, the former settings stay")
		return
	}
	re.text = text
	re.eg.Reload(set.EdgeSettings(re.port))
}
