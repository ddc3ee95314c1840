package main

import (
	"context"

	"github.com/urfave/cli/v3"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry VM",
		Action: func(_ context.Context, cmd *cli.Command) error {
			return &Error{Op: cmd.FullName(), Kind: KindFailure, Msg: "not built yet"}
		},
	}
}
