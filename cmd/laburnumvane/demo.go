package main

import (
	"context"

	"github.com/urfave/cli/v3"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "show three VMs at work in one process",
		Action: func(_ context.Context, cmd *cli.Command) error {
			return &Error{Op: cmd.FullName(), Kind: KindFailure, Msg: "not built yet"}
		},
	}
}
