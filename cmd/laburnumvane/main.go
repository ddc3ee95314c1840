// Command laburnumvane is the query tier and its tools in one program: serve
// runs an entry VM, gateway a VM that routes requests; most other commands connect to a VM.
//
// # Usage
//
//	laburnumvane demo
//	laburnumvane serve --help
//	laburnumvane search --team wash --search kiosk plate=KX53
//	laburnumvane config set wash.json --team wash --if-revision 12
//
// # Exit codes
//
//	0  done: a complete or partial answer, an accepted change
//	1  failure: no connection, a fault reported, a file that cannot be read
//	2  usage: wrong flags, arguments, settings or configuration
//	3  not accepted: a search that did not run, a change that conflicts
//	4  unknown: the search may have run, or the change may have been accepted
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"
)

func main() {
	os.Exit(run(context.Background(), os.Args, os.Stdin, os.Stdout, os.Stderr))
}

// run executes the command line args and returns the exit code. Tests call it in place of main.
func run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	root := newCommand()
	root.Reader = in
	root.Writer = out
	root.ErrWriter = errOut

	var trk usageTracker
	trk.track(root)
	err := root.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	printError(errOut, root.Name, err)
	if !trk.started {
		fmt.Fprintf(errOut, "See %s --help.\n", trk.last)
		return exitUsage
	}
	return exitCode(err)
}

// printError prints an error that begins with the program's name. Errors of the commands already
// begin with it, those of other packages do not.
func printError(errOut io.Writer, name string, err error) {
	msg := err.Error()
	if msg == "" {
		return
	}
	if !strings.HasPrefix(msg, name) {
		msg = name + ": " + msg
	}
	fmt.Fprintln(errOut, msg)
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "laburnumvane",
		Usage: "search a sharded register and steer the VMs that do",
		Description: `laburnumvane answers searches over a register split into many shards, and
says with each answer how much of the register it covers and whether it ran
at all. Every entry VM runs "laburnumvane serve"; the other commands speak to
one of them.

Settings are flags; most can come from environment variables, which the help
of each command names.

Exit codes:
   0  done: a complete or partial answer, an accepted change
   1  failure: no connection, a fault reported, a file that cannot be read
   2  usage: wrong flags, arguments, settings or configuration
   3  not accepted: a search that did not run, a change that conflicts
   4  unknown: the search may have run, or the change may have been accepted

Examples:
   laburnumvane demo
   laburnumvane search --team wash --search kiosk plate=KX53
   laburnumvane config get --team wash
   laburnumvane config set wash.json --team wash --if-revision 12
   laburnumvane status --json`,
		Action: rootAction,
		Commands: []*cli.Command{
			serveCommand(),
			gatewayCommand(),
			tryCommand(),
			demoCommand(),
			emulateCommand(),
			loadCommand(),
			searchCommand(),
			ticketCommand(),
			configCommand(),
			statusCommand(),
			storyCommand(),
			accountsCommand(),
			checkCommand(),
			versionCommand(),
		},
		Suggest:        true,
		HideVersion:    true,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

func rootAction(_ context.Context, cmd *cli.Command) error {
	return needSubcommand(cmd)
}

// needSubcommand is the action of a command that only groups subcommands. It prints their help.
func needSubcommand(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usageError(cmd.FullName(), "no such command: %s", cmd.Args().First())
	}
	return cli.ShowSubcommandHelp(cmd)
}

// usageTracker distinguishes usage errors from errors of an action: an error that occurs before an
// action starts is a usage error. The library has no type for usage errors, and prints the whole
// help for each one unless OnUsageError is set.
type usageTracker struct {
	started bool
	last    string
}

func (trk *usageTracker) track(cmd *cli.Command) {
	if trk.last == "" {
		trk.last = cmd.Name
	}
	cmd.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		trk.last = cmd.FullName()
		return err
	}
	if act := cmd.Action; act != nil {
		cmd.Action = func(ctx context.Context, cmd *cli.Command) error {
			trk.started = true
			return act(ctx, cmd)
		}
	}
	for _, sub := range cmd.Commands {
		trk.track(sub)
	}
}
