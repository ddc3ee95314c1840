package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"laburnumvane/core/team"
	"laburnumvane/io/client"
	"laburnumvane/io/wire"
)

const (
	changeIDBytes = 16
	// changeTimeout is longer than a VM's own time-out for a slow key-value service, so that the
	// client still receives the VM's reply about the change.
	changeTimeout = time.Minute
)

func configSetCommand() *cli.Command {
	return &cli.Command{
		Name:      "set",
		Usage:     "offer a document as a change",
		ArgsUsage: "FILE",
		Description: `Offers the document in FILE ("-" for standard input) as the team's new
configuration. It is checked here first, all faults at once, then by the VM.

--if-revision names the revision that you edited; 0 says that the team has no
document yet. Without it, the revision in force when the command starts is
taken, which protects only against changes made while the command runs.

Every change has an id. One is made up unless --id gives it; offering the same
id again never makes the change twice; it returns the result of the first offer.

Exit codes: 0 accepted, 2 a fault in the document, 3 not made: a conflict with
another change, which is shown, or a refusal, 4 unknown: the change may have
been accepted. Then ask "config status" with the id that is printed, or repeat
the command with --id.

Examples:
   laburnumvane config set wash.json --team wash --if-revision 12
   laburnumvane config set wash.json --team wash --if-revision 12 --dry-run
   laburnumvane config set wash.json --team wash --id release-41 --actor ada
   laburnumvane config get -t wash | jq '.limits.concurrent = 400' |
      laburnumvane config set - --team wash`,
		Flags: append(changeFlags(),
			&cli.BoolFlag{Name: "skip-check", Usage: "leave the check to the VM, which may be newer than this program"},
		),
		Action: configSetAction,
	}
}

// changeFlags returns the flags of all commands that submit a change.
func changeFlags() []cli.Flag {
	return operatorFlagsWithin(
		changeTimeout,
		teamFlag(),
		&cli.Uint64Flag{Name: "if-revision", Usage: "the `REVISION` that the change is made from; 0 is none yet"},
		&cli.StringFlag{Name: "id", Usage: "the change's `ID`: letters, digits, dots, dashes, underscores; one is made up if absent"},
		&cli.StringFlag{
			Name: "actor", Usage: "`WHO` makes the change, for the history",
			Sources: cli.EnvVars("LABURNUMVANE_ACTOR"),
		},
		&cli.BoolFlag{Name: "dry-run", Usage: "have the VM check the change and not make it"},
	)
}

func configSetAction(ctx context.Context, cmd *cli.Command) error {
	name, err := oneArg(cmd, "the FILE")
	if err != nil {
		return err
	}
	raw, err := readInput(cmd, name)
	if err != nil {
		return err
	}
	if !json.Valid(raw) {
		return usageError(cmd.FullName(), "%s is not JSON", name)
	}
	if !cmd.Bool("skip-check") {
		if _, err := team.Parse(cmd.String("team"), raw); err != nil {
			return faultsError(cmd, name, err)
		}
	}
	return submitChange(ctx, cmd, raw)
}

// submitChange submits a document as a change based on --if-revision or, without that flag, on
// the revision in force.
func submitChange(ctx context.Context, cmd *cli.Command, doc json.RawMessage) error {
	opr, err := operatorOf(cmd)
	if err != nil {
		return err
	}
	rev := cmd.Uint64("if-revision")
	if !cmd.IsSet("if-revision") {
		if rev, err = currentRevision(ctx, cmd, opr); err != nil {
			return err
		}
	}
	id := cmd.String("id")
	if id == "" {
		id = newChangeID()
	}
	rep, err := opr.SetConfig(ctx, client.Change{
		Team: cmd.String("team"), Document: doc, IfRevision: rev, DryRun: cmd.Bool("dry-run"),
		ID: id, Actor: cmd.String("actor"),
	})
	if err != nil {
		return unknownChangeError(cmd, id, err)
	}
	return printChange(cmd, doc, rep)
}

func currentRevision(ctx context.Context, cmd *cli.Command, opr *client.Operator) (uint64, error) {
	cfg, err := opr.Config(ctx, cmd.String("team"))
	if client.KindOf(err) == client.KindNotFound {
		return 0, nil
	}
	return cfg.Revision, err
}

// newChangeID returns a random change id. The client chooses the id, not the VM, so that the status
// of a change can be queried even if its reply was lost.
func newChangeID() string {
	raw := make([]byte, changeIDBytes)
	// Read never returns an error: it crashes the program instead.
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// unknownChangeError adds to an error of kind unknown how to find out whether the change was
// accepted. Other errors are returned unchanged.
func unknownChangeError(cmd *cli.Command, id string, err error) error {
	if client.KindOf(err) != client.KindUnknown {
		return err
	}
	return &Error{
		Op: cmd.FullName(), Kind: KindUnknown, Err: err,
		Msg: fmt.Sprintf("the change may have been accepted; ask \"config status %s\", or repeat with --id %s", id, id),
	}
}

// faultsError prints every fault of a document on standard error, one per line, and returns the
// error that ends the command.
func faultsError(cmd *cli.Command, file string, err error) error {
	flts := team.Faults(err)
	for _, flt := range flts {
		fmt.Fprintln(cmd.Root().ErrWriter, faultLine(file, flt))
	}
	if len(flts) == 0 {
		return &Error{Op: cmd.FullName(), Kind: KindUsage, Msg: file, Err: err}
	}
	return usageError(cmd.FullName(), "%s has %d fault(s), nothing was sent", file, len(flts))
}

func faultLine(file string, flt *team.Error) string {
	if flt.Path == "" {
		return fmt.Sprintf("%s: %s", file, flt.Msg)
	}
	return fmt.Sprintf("%s: %s: %s", file, flt.Path, flt.Msg)
}

func configRollbackCommand() *cli.Command {
	return &cli.Command{
		Name:  "rollback",
		Usage: "offer an earlier document as a new change",
		Description: `Reads the document of an earlier revision from the history and offers it as a
new change, with a new revision: history is never rewritten. It conflicts like
any change when someone else changes the team meanwhile.

Exit codes are those of "config set".

Examples:
   laburnumvane config history --team wash
   laburnumvane config rollback --team wash --to 11 --dry-run
   laburnumvane config rollback --team wash --to 11`,
		Flags: append(changeFlags(),
			&cli.Uint64Flag{Name: "to", Required: true, Usage: "the `REVISION` to go back to"},
		),
		Action: configRollbackAction,
	}
}

func configRollbackAction(ctx context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	opr, err := operatorOf(cmd)
	if err != nil {
		return err
	}
	var cfg wire.ConfigReply
	if cfg, err = configAt(ctx, cmd, opr, cmd.Uint64("to")); err != nil {
		return err
	}
	return submitChange(ctx, cmd, cfg.Document)
}
