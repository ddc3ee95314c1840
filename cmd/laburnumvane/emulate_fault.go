package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"laburnumvane/io/emul"
	"laburnumvane/io/wire"
)

const defaultAdminAddr = "127.0.0.1:7802"

func adminFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{&cli.StringFlag{
		Name: "admin", Value: defaultAdminAddr,
		Usage:   "administration of \"emulate\", `IP:PORT`",
		Sources: cli.EnvVars("LABURNUMVANE_EMULATE_ADMIN"),
	}}, more...)
}

func emulateFaultCommand() *cli.Command {
	return &cli.Command{
		Name:  "fault",
		Usage: "inject a fault into the stand-ins, or end it",
		Description: `Injects faults into a running "emulate". Each command replaces the current
faults of its target; without flags it ends them. VMs are processes: kill,
freeze and stop them with signals.

Examples:
   laburnumvane emulate fault kv --slow 10s
   laburnumvane emulate fault kv
   laburnumvane emulate fault upstream members-0 --crash
   laburnumvane emulate fault snapshot --shards 12
   laburnumvane emulate fault vm-list --lag 30s`,
		Commands: []*cli.Command{
			faultKVCommand(),
			faultUpstreamCommand(),
			faultSnapshotCommand(),
			faultVMListCommand(),
		},
		Action: func(_ context.Context, cmd *cli.Command) error { return needSubcommand(cmd) },
	}
}

func faultKVCommand() *cli.Command {
	return &cli.Command{
		Name:  "kv",
		Usage: "key-value service: down, failing, slow, lost answers, silent watches, stale reads",
		Description: `Replaces the faults of the key-value service; without a flag it works again.
--past answers reads from the state that --remember saved, like a replica that
lags behind, and swaps from the current state; --restore makes the saved state
the current one.

Examples:
   laburnumvane emulate fault kv --down
   laburnumvane emulate fault kv --remember
   laburnumvane emulate fault kv --past
   laburnumvane emulate fault kv`,
		Flags: adminFlags(
			&cli.BoolFlag{Name: "down", Usage: "connections are refused"},
			&cli.BoolFlag{Name: "fail", Usage: "calls answer 500 and do nothing"},
			&cli.DurationFlag{Name: "slow", Usage: "calls are delayed before they take effect"},
			&cli.BoolFlag{Name: "lose-swaps", Usage: "swaps take effect and their answers are lost"},
			&cli.BoolFlag{Name: "silent-watches", Usage: "watches are never answered"},
			&cli.BoolFlag{Name: "past", Usage: "reads return the state saved by --remember"},
			&cli.BoolFlag{Name: "remember", Usage: "save the current state for --past and --restore"},
			&cli.BoolFlag{Name: "restore", Usage: "return to the saved state, as from a backup"},
			&cli.BoolFlag{Name: "compact", Usage: "forget all events, once"},
		),
		Action: faultKVAction,
	}
}

func faultKVAction(ctx context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	if cmd.Duration("slow") < 0 {
		return usageError(cmd.FullName(), "--slow must not be negative")
	}
	return withAdmin(cmd, func(ad *emul.Admin) error {
		return ad.KV(ctx, emul.KVFaultRequest{
			Down: cmd.Bool("down"), Fail: cmd.Bool("fail"), SlowMs: cmd.Duration("slow").Milliseconds(),
			LoseSwaps: cmd.Bool("lose-swaps"), SilentWatches: cmd.Bool("silent-watches"),
			Past: cmd.Bool("past"), Remember: cmd.Bool("remember"), Restore: cmd.Bool("restore"), Compact: cmd.Bool("compact"),
		})
	})
}

func faultUpstreamCommand() *cli.Command {
	return &cli.Command{
		Name:      "upstream",
		Usage:     "upstreams: crash, restart, drain, slow, silent, mute",
		ArgsUsage: "TARGET",
		Description: `Does at most one action to the servers that TARGET names (an address, a service
such as members-0, or "all"), and replaces their other faults. A crashed server
is brought back by --restart, as its next incarnation at its old address.

Examples:
   laburnumvane emulate fault upstream members-0 --crash
   laburnumvane emulate fault upstream all --restart
   laburnumvane emulate fault upstream members-1 --slow-share 0.1 --slow-times 50
   laburnumvane emulate fault upstream members-1`,
		Flags: adminFlags(
			&cli.BoolFlag{Name: string(emul.ActionCrash), Usage: "close its listener and all connections"},
			&cli.BoolFlag{Name: string(emul.ActionRestart), Usage: "crash it, if it runs, and start it again"},
			&cli.BoolFlag{Name: string(emul.ActionDrain), Usage: "refuse new work as a draining server does"},
			&cli.BoolFlag{Name: string(emul.ActionCold), Usage: "refuse new work as a server does that is still loading"},
			&cli.BoolFlag{Name: string(emul.ActionServe), Usage: "serve again after --drain or --cold"},
			&cli.BoolFlag{Name: string(emul.ActionSilence), Usage: "make all open connections silent permanently"},
			&cli.FloatFlag{Name: "slow-share", Usage: "`SHARE` of sub-requests that are slow"},
			&cli.FloatFlag{Name: "slow-times", Value: 10, Usage: "factor by which these take longer"},
			&cli.FloatFlag{Name: "error-share", Usage: "`SHARE` of sub-requests that fail at once"},
			&cli.BoolFlag{Name: "mute", Usage: "run requests but send no answers"},
			&cli.Int64Flag{Name: "silent-after", Usage: "new connections go silent after this many `BYTES`"},
			&cli.DurationFlag{Name: "status-lag", Usage: "the load endpoint reports the state of this time ago"},
			&cli.StringFlag{Name: "claim", Usage: "`STATE` that the load endpoint reports falsely: serving, draining or cold"},
		),
		Action: faultUpstreamAction,
	}
}

func faultUpstreamAction(ctx context.Context, cmd *cli.Command) error {
	target, err := oneArg(cmd, "the TARGET")
	if err != nil {
		return err
	}
	rq, err := upstreamFault(cmd)
	if err != nil {
		return err
	}
	rq.Target = target
	return withAdmin(cmd, func(ad *emul.Admin) error {
		ry, err := ad.Upstream(ctx, rq)
		if err != nil {
			return err
		}
		fmt.Fprintln(cmd.Root().Writer, strings.Join(ry.Addrs, "\n"))
		return nil
	})
}

func upstreamFault(cmd *cli.Command) (emul.UpstreamFaultRequest, error) {
	op := cmd.FullName()
	rq := emul.UpstreamFaultRequest{
		SlowShare: cmd.Float("slow-share"), SlowTimes: cmd.Float("slow-times"), ErrorShare: cmd.Float("error-share"),
		Mute: cmd.Bool("mute"), SilentAfter: cmd.Int64("silent-after"), StatusLagMs: cmd.Duration("status-lag").Milliseconds(),
		Claim: wire.UpstreamState(cmd.String("claim")),
	}
	for _, ac := range []emul.UpstreamAction{
		emul.ActionCrash, emul.ActionRestart, emul.ActionDrain, emul.ActionCold, emul.ActionServe, emul.ActionSilence,
	} {
		if !cmd.Bool(string(ac)) {
			continue
		}
		if rq.Action != "" {
			return rq, usageError(op, "--%s and --%s exclude each other", rq.Action, ac)
		}
		rq.Action = ac
	}
	for name, share := range map[string]float64{"slow-share": rq.SlowShare, "error-share": rq.ErrorShare} {
		if !(share >= 0 && share <= 1) {
			return rq, usageError(op, "--%s is between 0 and 1, not %g", name, share)
		}
	}
	switch rq.Claim {
	case "", wire.UpstreamServing, wire.UpstreamDraining, wire.UpstreamCold:
	default:
		return rq, usageError(op, "--claim is serving, draining or cold, not %s", rq.Claim)
	}
	return rq, nil
}

func faultSnapshotCommand() *cli.Command {
	return &cli.Command{
		Name:  "snapshot",
		Usage: "publish a new snapshot, with another number of shards if given",
		Description: `Publishes the next snapshot of the register on all upstreams, which also keep
the previous one. --shards changes the number of shards.

Examples:
   laburnumvane emulate fault snapshot
   laburnumvane emulate fault snapshot --shards 12`,
		Flags:  adminFlags(&cli.IntFlag{Name: "shards", Usage: "`NUMBER` of shards; without it as many as before"}),
		Action: faultSnapshotAction,
	}
}

func faultSnapshotAction(ctx context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	if cmd.Int("shards") < 0 {
		return usageError(cmd.FullName(), "--shards must not be negative")
	}
	return withAdmin(cmd, func(ad *emul.Admin) error {
		ry, err := ad.Snapshot(ctx, emul.SnapshotRequest{Shards: cmd.Int("shards")})
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.Root().Writer, "snapshot %d, %d shards\n", ry.Snapshot, ry.Shards)
		return nil
	})
}

func faultVMListCommand() *cli.Command {
	return &cli.Command{
		Name:  "vm-list",
		Usage: "VM list: add and remove VMs, lag, down",
		Description: `Changes the platform's VM list. VMs are named by their inner address. What is not
named does not change; --lag 0s and --down=false end these faults.

Examples:
   laburnumvane emulate fault vm-list --add east=127.0.0.1:9003
   laburnumvane emulate fault vm-list --remove 127.0.0.1:9003 --lag 30s
   laburnumvane emulate fault vm-list --down=false`,
		Flags: adminFlags(
			&cli.StringSliceFlag{Name: "add", Usage: "`DATA-CENTRE=IP:PORT` to put on the list"},
			&cli.StringSliceFlag{Name: "leaving", Usage: "`IP:PORT` to mark as leaving"},
			&cli.StringSliceFlag{Name: "remove", Usage: "`IP:PORT` to take off the list"},
			&cli.DurationFlag{Name: "lag", Usage: "how old the served list is"},
			&cli.BoolFlag{Name: "down", Usage: "the list cannot be reached"},
		),
		Action: faultVMListAction,
	}
}

func faultVMListAction(ctx context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	rq := emul.VMsRequest{Leaving: cmd.StringSlice("leaving"), Remove: cmd.StringSlice("remove")}
	for _, pair := range cmd.StringSlice("add") {
		dc, addr, ok := strings.Cut(pair, "=")
		if !ok || dc == "" || addr == "" {
			return usageError(cmd.FullName(), "--add wants DATA-CENTRE=IP:PORT, not %s", pair)
		}
		rq.Set = append(rq.Set, wire.VM{Addr: addr, DataCentre: dc, Region: emulateRegion, State: wire.VMLive})
	}
	if cmd.IsSet("lag") {
		lag := cmd.Duration("lag").Milliseconds()
		if lag < 0 {
			return usageError(cmd.FullName(), "--lag must not be negative")
		}
		rq.LagMs = &lag
	}
	if cmd.IsSet("down") {
		down := cmd.Bool("down")
		rq.Down = &down
	}
	return withAdmin(cmd, func(ad *emul.Admin) error { return ad.VMs(ctx, rq) })
}

func withAdmin(cmd *cli.Command, do func(*emul.Admin) error) error {
	ad := emul.NewAdmin(cmd.String("admin"))
	defer ad.Close()
	if err := do(ad); err != nil {
		return failure(cmd.FullName(), err)
	}
	return nil
}
