package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"laburnumvane/io/wire"
)

func configStatusCommand() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "tell what became of a change and where it is in force",
		ArgsUsage: "ID",
		Description: `Asks for a change by its id, and shows for each data centre on how many VMs
the change, or a later one, is in force, and then each VM that lacks it or did
not answer; --all shows every VM. One that cannot be reached takes the change up
when it is back.

Exit codes: 0 in force on every VM, 1 not on all of them yet, 4 the change is
not known: it was not accepted, or is older than the history.

Examples:
   laburnumvane config status 01j9-7f3a
   until laburnumvane config status 01j9-7f3a >/dev/null; do sleep 1; done`,
		Flags: operatorFlags(
			&cli.BoolFlag{Name: "all", Usage: "show every VM"},
		),
		Action: configStatusAction,
	}
}

func configStatusAction(ctx context.Context, cmd *cli.Command) error {
	id, err := oneArg(cmd, "the ID of a change")
	if err != nil {
		return err
	}
	opr, err := operatorOf(cmd)
	if err != nil {
		return err
	}
	cs, err := opr.ChangeStatus(ctx, id)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		err = printJSON(cmd, cs)
	} else {
		printChangeStatus(cmd, cs)
	}
	if err != nil {
		return err
	}
	return changeStatusError(cmd, cs)
}

func printChangeStatus(cmd *cli.Command, cs wire.ChangeStatus) {
	out := cmd.Root().Writer
	if !cs.Known {
		fmt.Fprintf(out, "change %s is not known\n", cs.ChangeID)
		return
	}
	fmt.Fprintf(out, "change %s is revision %d of team %s, in force on %d of %d VMs\n\n",
		cs.ChangeID, cs.Revision, cs.Team, countInForce(cs), len(cs.VMs))
	dcs := newTable(out, "DATA CENTRE", "IN FORCE", "VMS", "REACHABLE")
	for _, dc := range cs.DataCentres {
		dcs.row(dc.DataCentre, strconv.Itoa(dc.InForce), strconv.Itoa(dc.VMs), yesNo(dc.Reachable))
	}
	dcs.flush()
	vms := shownVMs(cmd, cs)
	if len(vms) == 0 {
		return
	}
	fmt.Fprintln(out)
	tbl := newTable(out, "VM", "DATA CENTRE", "REVISION", "IN FORCE", "REACHABLE")
	for _, vm := range vms {
		tbl.row(vm.Addr, vm.DataCentre, number(vm.Revision), yesNo(vm.InForce), yesNo(vm.Reachable))
	}
	tbl.flush()
}

// shownVMs are the VMs that lack the change, or with --all every one.
func shownVMs(cmd *cli.Command, cs wire.ChangeStatus) []wire.ChangeStatusOfVM {
	if cmd.Bool("all") {
		return cs.VMs
	}
	var vms []wire.ChangeStatusOfVM
	for _, vm := range cs.VMs {
		if !vm.InForce {
			vms = append(vms, vm)
		}
	}
	return vms
}

func changeStatusError(cmd *cli.Command, cs wire.ChangeStatus) error {
	if !cs.Known {
		return silent(cmd.FullName(), KindUnknown)
	}
	if countInForce(cs) < len(cs.VMs) {
		return silent(cmd.FullName(), KindFailure)
	}
	return nil
}

func countInForce(cs wire.ChangeStatus) int {
	cnt := 0
	for _, vm := range cs.VMs {
		if vm.InForce {
			cnt++
		}
	}
	return cnt
}

func yesNo(val bool) string {
	if val {
		return "yes"
	}
	return "no"
}
