package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/urfave/cli/v3"

	"laburnumvane/io/wire"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show a VM's view of itself, its peers and its upstreams",
		Description: `Shows what one VM believes: its own phase, each team's revision, the snapshot
that new searches of each register pin, every upstream with its state and the
reason for it, the other VMs, the limits in force and any alarms. Views of two
VMs may differ for a second or two.

Examples:
   laburnumvane status
   laburnumvane status --operator-url http://10.1.2.3:8081
   laburnumvane status --json | jq -r '.upstreams[] | select(.state != "serving") | .addr'`,
		Flags:  operatorFlags(),
		Action: statusAction,
	}
}

func statusAction(ctx context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	opr, err := operatorOf(cmd)
	if err != nil {
		return err
	}
	st, err := opr.Status(ctx)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(cmd, st)
	}
	printStatus(cmd.Root().Writer, st)
	return nil
}

func printStatus(out io.Writer, st wire.Status) {
	tbl := newTable(out)
	tbl.row("VM", st.VM)
	tbl.row("data centre", st.DataCentre)
	tbl.row("phase", st.Phase)
	tbl.row("incarnation", number(st.Incarnation))
	tbl.row("version", st.Version)
	tbl.flush()
	for _, alm := range st.Alarms {
		fmt.Fprintf(out, "ALARM %s\n", alm)
	}
	printTeams(out, st.Teams)
	printRegisters(out, st.Registers)
	printUpstreams(out, st.Upstreams)
	printVMs(out, st.VMs)
	printLimits(out, st.Limits)
}

func printTeams(out io.Writer, tms []wire.TeamStatus) {
	if len(tms) == 0 {
		return
	}
	fmt.Fprintln(out)
	tbl := newTable(out, "TEAM", "REVISION", "CHANGE")
	for _, tm := range tms {
		tbl.row(tm.Team, number(tm.Revision), tm.ChangeID)
	}
	tbl.flush()
}

func printRegisters(out io.Writer, regs []wire.RegisterStatus) {
	if len(regs) == 0 {
		return
	}
	fmt.Fprintln(out)
	tbl := newTable(out, "REGISTER", "SNAPSHOT", "SHARDS", "LIVE")
	for _, reg := range regs {
		tbl.row(reg.Register, number(reg.Snapshot), number(reg.Shards), number(reg.Live))
	}
	tbl.flush()
}

func printUpstreams(out io.Writer, ups []wire.UpstreamOfVM) {
	if len(ups) == 0 {
		return
	}
	fmt.Fprintln(out)
	tbl := newTable(out, "UPSTREAM", "DATA CENTRE", "SERVICE", "STATE", "WHY", "IN FLIGHT", "CONNECTIONS", "LATENCY")
	for _, up := range ups {
		load := fmt.Sprintf("%d/%d", up.InFlight, up.Limit)
		tbl.row(up.Addr, up.DataCentre, up.Service, up.State, up.Why, load, number(up.Connections), millis(up.LatencyMs))
	}
	tbl.flush()
}

func printVMs(out io.Writer, vms []wire.VMStatus) {
	if len(vms) == 0 {
		return
	}
	fmt.Fprintln(out)
	tbl := newTable(out, "PEER", "DATA CENTRE", "STATE", "INCARNATION")
	for _, vm := range vms {
		tbl.row(vm.Addr, vm.DataCentre, vm.State, number(vm.Incarnation))
	}
	tbl.flush()
}

func printLimits(out io.Writer, lims map[string]string) {
	if len(lims) == 0 {
		return
	}
	fmt.Fprintln(out)
	tbl := newTable(out, "LIMIT", "VALUE")
	for _, name := range slices.Sorted(maps.Keys(lims)) {
		tbl.row(name, lims[name])
	}
	tbl.flush()
}
