package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"laburnumvane/io/wire"
)

func configStatusCommand() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "show the state of a change and where it is in force",
		ArgsUsage: "ID",
		Description: `Asks for a change by its id, and shows for each data centre and each VM whether
the change, or a later one, is in force there. Those that did not answer are
shown as not reachable; they apply the change when they are back.

Exit codes: 0 in force on every VM, 1 not on all of them yet, 4 the change is
not known: it was not accepted, or is older than the history.

Examples:
   laburnumvane config status 01j9-7f3a
   until laburnumvane config status 01j9-7f3a >/dev/null; do sleep 1; done`,
		Flags:  operatorFlags(),
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
	return notInForceError(cmd, cs)
}

func printChangeStatus(cmd *cli.Command, cs wire.ChangeStatus) {
	out := cmd.Root().Writer
	if !cs.Known {
		fmt.Fprintf(out, "change %s is not known\n", cs.ChangeID)
		return
	}
	inForce, vms := countInForce(cs)
	fmt.Fprintf(out, "change %s is revision %d of team %s, in force on %d of %d VMs\n\n",
		cs.ChangeID, cs.Revision, cs.Team, inForce, vms)
	tbl := newTable(out, "DATA CENTRE", "VMS", "IN FORCE", "REACHABLE")
	for _, dc := range cs.DataCentres {
		tbl.row(dc.DataCentre, number(dc.VMs), number(dc.InForce), yesNo(dc.Reachable))
	}
	tbl.flush()
	fmt.Fprintln(out)
	tbl = newTable(out, "VM", "DATA CENTRE", "REVISION", "IN FORCE", "REACHABLE")
	for _, vm := range cs.VMs {
		tbl.row(vm.Addr, vm.DataCentre, number(vm.Revision), yesNo(vm.InForce), yesNo(vm.Reachable))
	}
	tbl.flush()
}

func notInForceError(cmd *cli.Command, cs wire.ChangeStatus) error {
	if !cs.Known {
		return silentError(cmd.FullName(), KindUnknown)
	}
	if inForce, vms := countInForce(cs); inForce < vms || anyUnreachable(cs) {
		return silentError(cmd.FullName(), KindFailure)
	}
	return nil
}

// countInForce adds up the counts of the data centres. It does not count the entries of single VMs,
// which may lack those of a data centre that did not answer.
func countInForce(cs wire.ChangeStatus) (inForce, vms int) {
	for _, dc := range cs.DataCentres {
		inForce += dc.InForce
		vms += dc.VMs
	}
	return inForce, vms
}

func anyUnreachable(cs wire.ChangeStatus) bool {
	for _, dc := range cs.DataCentres {
		if !dc.Reachable {
			return true
		}
	}
	return false
}

func yesNo(val bool) string {
	if val {
		return "yes"
	}
	return "no"
}
