package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"laburnumvane/io/wire"
)

const maxTickets = 1000

func ticketCommand() *cli.Command {
	return &cli.Command{
		Name:  "ticket",
		Usage: "take tickets for searches that must not be repeated",
		Description: `Takes tickets from a VM and prints them, one a line. Each is good for one
search, for as long as the second line on standard error says. A ticket that is
not used costs nothing.

A ticket belongs to the VM process that issued it; any VM of the fleet accepts
it and forwards the search. When that process is gone, the ticket is void: the
search is refused as not run, and may be sent with a new ticket only if it was
never sent before.

Examples:
   laburnumvane ticket --team wash
   laburnumvane ticket --team wash --count 20 --json`,
		Flags: callerFlags(
			teamFlag(),
			&cli.IntFlag{Name: "count", Aliases: []string{"n"}, Value: 1, Usage: "how many, at most 1000"},
		),
		Action: ticketAction,
	}
}

func ticketAction(ctx context.Context, cmd *cli.Command) error {
	op := cmd.FullName()
	if err := noArgs(cmd); err != nil {
		return err
	}
	count := cmd.Int("count")
	if count < 1 || count > maxTickets {
		return usageError(op, "--count is 1 to %d, not %d", maxTickets, count)
	}
	clr, err := callerOf(cmd)
	if err != nil {
		return err
	}
	rep, err := clr.Tickets(ctx, wire.TicketRequest{Team: cmd.String("team"), Count: count})
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(cmd, rep)
	}
	for _, tck := range rep.Tickets {
		fmt.Fprintln(cmd.Root().Writer, tck)
	}
	life := time.Duration(rep.ExpiresMs) * time.Millisecond
	fmt.Fprintf(cmd.Root().ErrWriter, "good for %s\n", life)
	return nil
}
