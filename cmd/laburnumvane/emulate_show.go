package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"laburnumvane/core/change"
	"laburnumvane/core/team"
	"laburnumvane/io/emul"
	"laburnumvane/io/plat"
	"laburnumvane/io/wire"
)

const firstWriteTimeout = 5 * time.Second

// stageOutput is what emulate prints with --json.
type stageOutput struct {
	emul.StageReply

	Team string      `json:"team"`
	Plan []plannedVM `json:"plan"`
}

func printStage(cmd *cli.Command, sg *emul.Stage, vms []plannedVM) error {
	for i := range vms {
		vms[i].Serve = vms[i].serveCommandLine(sg)
	}
	if cmd.Bool("json") {
		return printJSON(cmd, stageOutput{StageReply: sg.Describe(), Team: demoTeam, Plan: vms})
	}
	out := cmd.Root().Writer
	printStageReply(out, sg.Describe())
	if len(vms) > 0 {
		fmt.Fprintf(out, "\nStart the VMs, each in a shell of its own:\n")
		for _, vm := range vms {
			fmt.Fprintf(out, "  %s\n", vm.Serve)
		}
		fmt.Fprintf(out, "\nThen try:\n  laburnumvane search --url http://%s --team %s --search kiosk member=m000042\n", vms[0].Caller, demoTeam)
		fmt.Fprintf(out, "  laburnumvane status --operator-url http://%s\n", vms[0].Operator)
	}
	fmt.Fprintf(out, "  laburnumvane emulate fault kv --admin %s --down\n", sg.Admin())
	return nil
}

func printStageReply(out io.Writer, ry emul.StageReply) {
	tbl := newTable(out)
	tbl.row("key-value service", ry.KV)
	tbl.row("VM list", ry.VMList)
	tbl.row("administration", ry.Admin)
	tbl.row("register", fmt.Sprintf("%s, snapshot %d, %d shards", ry.Register, ry.Snapshot, ry.Shards))
	tbl.row("calls", fmt.Sprintf("%d reads, %d writes", ry.KVCounts.Reads(), ry.KVCounts.Writes()))
	tbl.flush()
	fmt.Fprintln(out)
	tbl = newTable(out, "SERVER", "DATA CENTRE", "SERVICE", "STATE", "INCARNATION", "IN FLIGHT", "RUNS")
	for _, up := range ry.Upstreams {
		tbl.row(up.Addr, up.DataCentre, up.Service, string(up.State), number(up.Incarnation), number(up.InFlight), number(up.Runs))
	}
	tbl.flush()
	fmt.Fprintln(out)
	tbl = newTable(out, "VM ON THE LIST", "DATA CENTRE", "STATE")
	for _, vm := range ry.VMs {
		tbl.row(vm.Addr, vm.DataCentre, string(vm.State))
	}
	tbl.flush()
}

// firstDocument returns the team's first configuration, which covers all servers of the stage.
func firstDocument(sg *emul.Stage, slots int) team.Document {
	register := sg.Fleet().Current().Register
	searches := demoSearches()
	for name, se := range searches {
		se.Register = register
		searches[name] = se
	}
	services := make(map[string]team.Service)
	for _, sv := range sg.Fleet().Servers() {
		sc := services[sv.Service]
		sc.SlotsPerServer = slots
		sc.ConnectionsPerServer = demoConns
		sc.Servers = append(sc.Servers, team.Server{Addr: sv.Addr, DataCentre: sv.DataCentre})
		services[sv.Service] = sc
	}
	return team.Document{
		Version: team.FormatVersion, Team: demoTeam, Searches: searches,
		Registers: map[string]team.Register{register: {Services: services}},
	}
}

// writeFirstConfig writes the first configuration to the key that also holds operators' changes.
func writeFirstConfig(ctx context.Context, sg *emul.Stage, slots int) error {
	raw, err := json.Marshal(firstDocument(sg, slots))
	if err != nil {
		return err
	}
	en := change.Envelope{}.WithChange(change.Entry{ID: "first", UnixMs: time.Now().UnixMilli(), Document: raw}, 0)
	value, err := en.Encode()
	if err != nil {
		return err
	}
	cl := plat.New(plat.Config{Addrs: []string{sg.KV().Addr()}, Timeout: firstWriteTimeout})
	defer cl.Close()
	ry, err := cl.Swap(ctx, wire.KVSwapRequest{Key: change.KeyOf(demoTeam), Value: value})
	if err != nil {
		return err
	}
	if !ry.Swapped {
		return errors.New("the first configuration was not taken")
	}
	return nil
}

func emulateShowCommand() *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "show what the stand-ins hold and saw",
		Description: `Shows the addresses, each upstream with its true state and how many
sub-requests it ran, the VM list as it is served, and the calls to the key-value
service.

Examples:
   laburnumvane emulate show
   laburnumvane emulate show --json | jq .kvCounts`,
		Flags:  adminFlags(jsonFlag()),
		Action: emulateShowAction,
	}
}

func emulateShowAction(ctx context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	ad := emul.NewAdmin(cmd.String("admin"))
	defer ad.Close()
	ry, err := ad.Stage(ctx)
	if err != nil {
		return failure(cmd.FullName(), err)
	}
	if cmd.Bool("json") {
		return printJSON(cmd, ry)
	}
	printStageReply(cmd.Root().Writer, ry)
	return nil
}

func emulateRunsCommand() *cli.Command {
	return &cli.Command{
		Name:      "runs",
		Usage:     "count what the upstreams ran",
		ArgsUsage: "[QUERY]",
		Description: `Counts the sub-requests that the upstreams began to run: all, or those with the
very text of QUERY, by shard. A search that must not be repeated never has more
than one run a shard. The record holds the last 65536 runs of each server.

Examples:
   laburnumvane emulate runs
   laburnumvane emulate runs '{"member":"m000042"}' --json`,
		Flags:  adminFlags(jsonFlag()),
		Action: emulateRunsAction,
	}
}

func emulateRunsAction(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() > 1 {
		return usageError(cmd.FullName(), "takes one query, and got %d arguments", cmd.Args().Len())
	}
	ad := emul.NewAdmin(cmd.String("admin"))
	defer ad.Close()
	ry, err := ad.Runs(ctx, emul.RunsRequest{Query: cmd.Args().First()})
	if err != nil {
		return failure(cmd.FullName(), err)
	}
	if cmd.Bool("json") {
		return printJSON(cmd, ry)
	}
	fmt.Fprintf(cmd.Root().Writer, "%d runs, at most %d of one shard\n", ry.Total, ry.MostOfShard)
	return nil
}
