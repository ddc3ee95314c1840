package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"laburnumvane/io/wire"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show a VM's view of itself, its peers and its upstreams",
		Description: `Shows what one VM believes: its own phase, each team's revision, the snapshot
that new searches of each register pin, every upstream with its state and the
reason for it, the other VMs, the limits in force and any alarms. The views of
two VMs may differ for a second or two.

Of the limits it shows, for each upstream, the sub-requests in flight and
allowed by its replies, and the connections open and planned; for each team the
VM's share of the team's limits, and whether it is held, that is, may not rise;
for each register what waits, by class; and the tokens left for hedges and
retries.

Examples:
   laburnumvane status
   laburnumvane status --operator-url http://10.1.2.3:8081
   laburnumvane status --json | jq -r '.upstreams[] | select(.state != "serving") | .addr'
   laburnumvane status --json | jq -r '.limits.teams[] | select(.held) | .team'`,
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
		open := usedOf(up.Connections, up.ConnectionPlan)
		tbl.row(up.Addr, up.DataCentre, up.Service, up.State, up.Why, usedOf(up.InFlight, up.Limit), open, millis(up.LatencyMs))
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
