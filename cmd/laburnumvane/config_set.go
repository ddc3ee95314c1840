package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/urfave/cli/v3"

	"laburnumvane/core/team"
	"laburnumvane/io/client"
	"laburnumvane/io/wire"
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

The change gets an id, printed in any case. The same id is never applied twice:
after an answer was lost, repeating the command with --id and --if-revision is
safe and tells what became of the first attempt.

Exit codes: 0 accepted, 2 a fault in the document, 3 not accepted, for another
change came first, which is shown, or nothing could be written; 4 unknown: the
change may have been accepted. Ask "config status" with the change's id.

Examples:
   laburnumvane config set wash.json --team wash --if-revision 12
   laburnumvane config set wash.json --team wash --if-revision 12 --dry-run
   laburnumvane config get -t wash | jq '.limits.concurrent = 400' |
      laburnumvane config set - --team wash`,
		Flags: operatorFlags(
			teamFlag(),
			&cli.Uint64Flag{Name: "if-revision", Usage: "the revision that the change was made from"},
			changeIDFlag(),
			&cli.BoolFlag{Name: "dry-run", Usage: "have the VM check the change and not make it"},
			&cli.BoolFlag{Name: "skip-check", Usage: "leave the check to the VM, which may be newer than this program"},
		),
		Action: configSetAction,
	}
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
	return offer(ctx, cmd, raw)
}

// offer sends a document as a change made from --if-revision, or else from the
// revision in force.
func offer(ctx context.Context, cmd *cli.Command, doc json.RawMessage) error {
	opr, err := operatorOf(cmd)
	if err != nil {
		return err
	}
	rev := cmd.Uint64("if-revision")
	if !cmd.IsSet("if-revision") {
		if rev, err = revisionInForce(ctx, cmd, opr); err != nil {
			return err
		}
	}
	id := cmd.String("id")
	if id == "" {
		id = newChangeID()
	}
	rep, err := opr.SetConfig(ctx, client.Change{
		Team: cmd.String("team"), Document: doc, IfRevision: rev, DryRun: cmd.Bool("dry-run"), ID: id,
	})
	if err != nil {
		return changeLost(cmd, id, rev, err)
	}
	return printChange(cmd, rep)
}

func changeIDFlag() cli.Flag {
	return &cli.StringFlag{Name: "id", Usage: "the change's `ID`, to repeat one whose answer was lost; without it a new one"}
}

const changeIDBytes = 10

// newChangeID is made here and not by the VM, so that a change can be asked
// about whose reply never came.
func newChangeID() string {
	id := make([]byte, changeIDBytes)
	// Read never fails: the program would end.
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

func revisionInForce(ctx context.Context, cmd *cli.Command, opr *client.Operator) (uint64, error) {
	cfg, err := opr.Config(ctx, cmd.String("team"))
	if client.KindOf(err) == client.KindNotFound {
		return 0, nil
	}
	return cfg.Revision, err
}

// changeLost adds to an error in doubt how to settle it.
func changeLost(cmd *cli.Command, id string, rev uint64, err error) error {
	if client.KindOf(err) != client.KindUnknown {
		return err
	}
	return &Error{
		Op: cmd.FullName(), Kind: KindUnknown, Err: err,
		Msg: fmt.Sprintf("change %s may have been accepted; ask \"config status %s\", or repeat with --id %s --if-revision %d", id, id, id, rev),
	}
}

// faultsError lists every fault of a document, one a line.
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
		Flags: operatorFlags(
			teamFlag(),
			&cli.Uint64Flag{Name: "to", Required: true, Usage: "the `REVISION` to go back to"},
			&cli.Uint64Flag{Name: "if-revision", Usage: "the revision that must still be in force"},
			changeIDFlag(),
			&cli.BoolFlag{Name: "dry-run", Usage: "have the VM check the change and not make it"},
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
	return offer(ctx, cmd, cfg.Document)
}
