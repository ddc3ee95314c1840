package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
)

func configHistoryCommand() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "list a team's last changes",
		Description: `Lists the accepted changes that are still kept, newest first, with revision,
change id, who made them and when (UTC). With --json each comes with its
document.

Examples:
   laburnumvane config history --team wash
   laburnumvane config history --team wash --json | jq '.entries[0].document'`,
		Flags:  operatorFlags(teamFlag()),
		Action: configHistoryAction,
	}
}

func configHistoryAction(ctx context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	opr, err := operatorOf(cmd)
	if err != nil {
		return err
	}
	hist, err := opr.History(ctx, cmd.String("team"))
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(cmd, hist)
	}
	tbl := newTable(cmd.Root().Writer, "REVISION", "CHANGE", "ACTOR", "WHEN")
	for _, ent := range hist.Entries {
		tbl.row(number(ent.Revision), ent.ChangeID, ent.Actor, time.UnixMilli(ent.UnixMs).UTC().Format(time.RFC3339))
	}
	tbl.flush()
	return nil
}
