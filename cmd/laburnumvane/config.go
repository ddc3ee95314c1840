package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"laburnumvane/io/client"
	"laburnumvane/io/wire"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "read and change a team's configuration",
		Description: `Reads and changes the configuration of one team. A configuration is one JSON
document; docs/CONFIG.md describes each field. Every change has a revision and
an id. A change is made from a revision: when another operator's change came in
between, yours is refused as a conflict, and theirs is shown.

Examples:
   laburnumvane config get --team wash > wash.json
   laburnumvane config diff wash.json --team wash
   laburnumvane config set wash.json --team wash --if-revision 12
   laburnumvane config status 01j9-7f3a
   laburnumvane config rollback --team wash --to 12`,
		Action: func(_ context.Context, cmd *cli.Command) error { return needSubcommand(cmd) },
		Commands: []*cli.Command{
			configGetCommand(),
			configSetCommand(),
			configDiffCommand(),
			configHistoryCommand(),
			configStatusCommand(),
			configRollbackCommand(),
		},
	}
}

func configGetCommand() *cli.Command {
	return &cli.Command{
		Name:  "get",
		Usage: "print a team's document",
		Description: `Prints the document in force, indented, on standard output, and its revision
on standard error; so the output can go straight into a file. With --revision
it prints an earlier document, as far back as the history goes. With --json the
document comes wrapped, with team, revision and change id.

Examples:
   laburnumvane config get --team wash > wash.json
   laburnumvane config get --team wash --revision 11
   laburnumvane config get --team wash --json`,
		Flags: operatorFlags(
			teamFlag(),
			&cli.Uint64Flag{Name: "revision", Usage: "an earlier revision, from the history"},
		),
		Action: configGetAction,
	}
}

func configGetAction(ctx context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	opr, err := operatorOf(cmd)
	if err != nil {
		return err
	}
	cfg, err := configAt(ctx, cmd, opr, cmd.Uint64("revision"))
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(cmd, cfg)
	}
	if err := printJSON(cmd, cfg.Document); err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().ErrWriter, "team %s, revision %d, change %s\n", cfg.Team, cfg.Revision, cfg.ChangeID)
	return nil
}

// configAt reads a revision of a team's document; revision 0 means the one in force.
func configAt(ctx context.Context, cmd *cli.Command, opr *client.Operator, rev uint64) (wire.ConfigReply, error) {
	team := cmd.String("team")
	if rev == 0 {
		return opr.Config(ctx, team)
	}
	hist, err := opr.History(ctx, team)
	if err != nil {
		return wire.ConfigReply{}, err
	}
	ent, err := entryAt(cmd.FullName(), hist, rev)
	if err != nil {
		return wire.ConfigReply{}, err
	}
	return wire.ConfigReply{Team: team, Revision: ent.Revision, ChangeID: ent.ChangeID, Document: ent.Document}, nil
}

// entryAt returns the history entry of a revision. It fails if the history has no such entry or no
// longer holds its document.
func entryAt(op string, hist wire.HistoryReply, rev uint64) (wire.HistoryEntry, error) {
	for _, ent := range hist.Entries {
		if ent.Revision != rev {
			continue
		}
		if len(ent.Document) == 0 {
			return ent, &Error{Op: op, Kind: KindFailure, Msg: fmt.Sprintf("the history no longer holds the document of revision %d", rev)}
		}
		return ent, nil
	}
	return wire.HistoryEntry{}, &Error{Op: op, Kind: KindFailure, Msg: fmt.Sprintf("the history holds no revision %d", rev)}
}

// printChange prints the result of a change and returns the error whose exit code matches it.
func printChange(cmd *cli.Command, submitted json.RawMessage, rep wire.ChangeReply) error {
	if cmd.Bool("json") {
		if err := printJSON(cmd, rep); err != nil {
			return err
		}
	} else if err := printChangeText(cmd, submitted, rep); err != nil {
		return failure(cmd.FullName(), err)
	}
	switch rep.Result {
	case wire.ChangeConflict, wire.ChangeRefused:
		return silentError(cmd.FullName(), KindNotAccepted)
	case wire.ChangeUnknown:
		return silentError(cmd.FullName(), KindUnknown)
	}
	return nil
}

func printChangeText(cmd *cli.Command, submitted json.RawMessage, rep wire.ChangeReply) error {
	out := cmd.Root().Writer
	tbl := newTable(out)
	tbl.row("result", string(rep.Result))
	if rep.Revision != 0 {
		tbl.row("revision", number(rep.Revision))
	}
	if rep.ChangeID != "" {
		tbl.row("change", rep.ChangeID)
	}
	if rep.Message != "" {
		tbl.row("message", rep.Message)
	}
	tbl.flush()
	switch {
	case rep.Result == wire.ChangeUnknown:
		fmt.Fprintf(out, "\nAsk later: laburnumvane config status %s\n", rep.ChangeID)
	case rep.Result == wire.ChangeConflict && rep.Current != nil:
		return printConflict(out, submitted, *rep.Current)
	}
	return nil
}

// printConflict prints the difference between the document in force and the submitted one. It
// prints no whole document: documents can be long, and the operator knows the submitted one.
func printConflict(out io.Writer, submitted json.RawMessage, current wire.ConfigReply) error {
	text, err := unifiedDiff(
		diffDoc{label: fmt.Sprintf("revision %d", current.Revision), text: indented(current.Document)},
		diffDoc{label: "offered", text: indented(submitted)},
	)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "\nRevision %d (change %s) came first.", current.Revision, current.ChangeID)
	if text == "" {
		fmt.Fprintln(out, " It is the same document.")
		return nil
	}
	fmt.Fprintf(out, " From it to the offered document:\n%s", text)
	return nil
}

// indented formats a document so that two documents can be compared line by line: sorted keys,
// numbers as written, one value per line. A document that is not JSON is returned unchanged.
func indented(doc json.RawMessage) string {
	val, err := decodeAny(doc)
	if err != nil {
		return string(doc) + "\n"
	}
	raw, err := json.MarshalIndent(val, "", "  ")
	if err != nil {
		return string(doc) + "\n"
	}
	return string(raw) + "\n"
}
