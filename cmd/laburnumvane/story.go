package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/urfave/cli/v3"

	"laburnumvane/io/reqlog"
)

// storyTimeLayout has microseconds: two lines of a request are often less than a millisecond apart.
const storyTimeLayout = "15:04:05.000000"

// storyReply is what story prints with --json.
type storyReply struct {
	ID       string        `json:"id"`
	Lines    []reqlog.Line `json:"lines"`
	BadLines int           `json:"badLines"`
	LeftOut  int           `json:"leftOut"`
}

func storyCommand() *cli.Command {
	return &cli.Command{
		Name:      "story",
		Usage:     "print the log lines of one request from many VMs, in order",
		ArgsUsage: "ID FILE [FILE ...]",
		Description: `Reads the logs of any number of VMs of "gateway" ("-" for standard input) and
prints the lines of one request in the order of their times: the VM that a client
reached, the one that took the request, those that joined answers for it. Lines of
several VMs may stand in one file, each with its VM's name before the JSON.

Memory does not grow with the logs. Lines that cannot be read are counted and skipped;
of a request with more than 1,000 lines the first ones read are shown.

The time is that of each VM's clock. docs/OPERATIONS.md says what the fields mean.

Exit codes: 0 found, 1 a file that cannot be read or no line of the request, 2 wrong
arguments.

Examples:
   laburnumvane story 4f7c8f65fcdc5ff2 /var/log/vms/*.log
   zcat old.gz | laburnumvane story 4f7c8f65fcdc5ff2 - --json`,
		Flags:  []cli.Flag{jsonFlag()},
		Action: storyAction,
	}
}

func storyAction(_ context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) < 2 || args[0] == "" {
		return usageError(cmd.FullName(), "an ID and at least one FILE are needed")
	}
	co := reqlog.New(reqlog.Config{ID: args[0]})
	for _, name := range args[1:] {
		if err := readStory(cmd, co, name); err != nil {
			return failure(cmd.FullName(), err)
		}
	}
	rep := storyReply{ID: args[0], Lines: co.Lines(), BadLines: co.BadLines, LeftOut: co.LeftOut}
	if len(rep.Lines) == 0 {
		return &Error{Op: cmd.FullName(), Kind: KindFailure, Msg: fmt.Sprintf("no line names %s; %d could not be read", rep.ID, rep.BadLines)}
	}
	if cmd.Bool("json") {
		return printJSON(cmd, rep)
	}
	printStory(cmd, rep)
	return nil
}

// readStory streams one file, as a log may be larger than memory.
func readStory(cmd *cli.Command, co *reqlog.Collector, name string) error {
	if name == "-" {
		return co.Read("stdin", cmd.Root().Reader)
	}
	file, err := os.Open(name) //nolint:gosec // the user names the file
	if err != nil {
		return err
	}
	// The file was only read, so an error of Close does not matter.
	defer func() { _ = file.Close() }()
	return co.Read(filepath.Base(name), file)
}

func printStory(cmd *cli.Command, rep storyReply) {
	tbl := newTable(cmd.Root().Writer, "TIME", "VM", "WHAT", "DETAILS")
	for _, ln := range rep.Lines {
		tbl.row(ln.Time.Format(storyTimeLayout), ln.VM, ln.Message, details(ln))
	}
	tbl.flush()
	if rep.BadLines > 0 || rep.LeftOut > 0 {
		fmt.Fprintf(cmd.Root().ErrWriter, "%d lines could not be read, %d are left out\n", rep.BadLines, rep.LeftOut)
	}
}

// details formats a line's fields, sorted by name.
func details(ln reqlog.Line) string {
	parts := make([]string, 0, len(ln.Fields))
	for name, value := range ln.Fields {
		parts = append(parts, name+"="+string(value))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}
