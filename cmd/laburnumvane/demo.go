package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"laburnumvane/core/team"
	"laburnumvane/io/emul"
	"laburnumvane/io/site"
)

const (
	demoTeam     = "wash"
	demoRegister = "members"
	demoServices = 6
	demoMembers  = 2000
	demoSlots    = 3
	demoConns    = 30
	demoSeed     = 1
	demoTimeout  = 60 * time.Second
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "show three VMs at work in one process",
		Description: `demo starts, in this one process and on loopback, three entry VMs in two data
centres, stand-ins for the platform's key-value service and VM list, and
stand-in upstreams that hold a register of car-wash members in shards with
three replicas each. It then runs

   a kiosk look-up by plate,
   a history search while one shard is lost,
   a renewal that must not be repeated, sent twice,
   a change of configuration while searches run,

and prints each answer with its coverage and snapshot. Nothing outside this
process is touched, and nothing is left behind.

--register FILE searches your own register: one JSON object a line, each with
a string field "member".

--stay keeps serving until Ctrl-C, and prints the addresses.

Examples:
   laburnumvane demo
   laburnumvane demo --stay
   laburnumvane demo --register members.jsonl --stay`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "register", Usage: "file of JSON lines to search instead of the sample"},
			&cli.BoolFlag{Name: "stay", Usage: "keep serving until interrupted"},
			&cli.StringFlag{Name: "log-level", Value: "error", Usage: "level of the VMs' logs on standard error"},
		},
		Action: demoAction,
	}
}

func demoAction(ctx context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	rg, err := loadDemoRegister(cmd.String("register"))
	if err != nil {
		return failure(cmd.FullName(), err)
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	st, err := site.Start(demoSite(rg, cmd.String("log-level")))
	if err != nil {
		return failure(cmd.FullName(), err)
	}
	defer st.Close()
	de := &demo{st: st, out: cmd.Root().Writer}
	limited, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := de.run(limited); err != nil {
		return failure(cmd.FullName(), err)
	}
	if cmd.Bool("stay") {
		de.printNextSteps()
		<-ctx.Done()
	}
	return nil
}

func loadDemoRegister(path string) (*emul.Register, error) {
	if path == "" {
		return emul.SampleRegister(demoRegister, demoSeed, demoMembers)
	}
	return emul.LoadRegister(demoRegister, path)
}

func demoSite(rg *emul.Register, logLevel string) site.Config {
	return site.Config{
		Team:        demoTeam,
		VMs:         3,
		DataCentres: []string{"east", "west"},
		Region:      "home",
		Register:    rg,
		Services:    demoServices,
		Slots:       demoSlots,
		Connections: demoConns,
		ConnectTime: 6 * time.Millisecond,
		Searches:    demoSearches(),
		Log:         newLogger(os.Stderr, logLevel),
	}
}

func demoSearches() map[string]team.Search {
	return map[string]team.Search{
		"kiosk": {
			Class:          team.ClassUrgent,
			SoftDeadlineMs: 60,
			HardDeadlineMs: 200,
			MinCoverage:    0.9,
			HitLimit:       5,
			Hedge:          team.Hedge{Quantile: 0.99, Budget: 0.03, MinDelayMs: 2},
			Retry:          team.Retry{Budget: 0.1, PerShard: 2},
		},
		"history": {
			Class:          team.ClassInteractive,
			HardDeadlineMs: 1000,
			HitLimit:       5,
			Hedge:          team.Hedge{Quantile: 0.99, Budget: 0.03, MinDelayMs: 5},
			Retry:          team.Retry{Budget: 0.2, PerShard: 2},
		},
		"renewal": {
			Class:          team.ClassInteractive,
			HardDeadlineMs: 1000,
			NeverRepeat:    true,
			HitLimit:       5,
			Retry:          team.Retry{Budget: 0.2, PerShard: 2},
		},
	}
}
