package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/pmezard/go-difflib/difflib"
	"github.com/urfave/cli/v3"

	"laburnumvane/io/client"
)

const diffContext = 3

// diffReply is what config diff prints with --json.
type diffReply struct {
	Team string `json:"team"`
	From string `json:"from"`
	To   string `json:"to"`
	Same bool   `json:"same"`
	Diff string `json:"diff,omitempty"`
}

func configDiffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what a change would change",
		ArgsUsage: "[FILE]",
		Description: `Shows the difference between two documents as a unified diff. Both are put
into one form first, with sorted keys and a value a line, so that only real
differences show.

With FILE ("-" for standard input): from the document in force to FILE. Without
it: from --from to --to, two revisions of the history; --to may be left out and
is then the document in force.

Examples:
   laburnumvane config diff wash.json --team wash
   laburnumvane config diff wash.json --team wash --from 9
   laburnumvane config diff --team wash --from 11 --to 12
   laburnumvane config diff wash.json --team wash --exit-code || echo changed`,
		Flags: operatorFlags(
			teamFlag(),
			&cli.Uint64Flag{Name: "from", Usage: "the older `REVISION`; without it the one in force"},
			&cli.Uint64Flag{Name: "to", Usage: "the newer `REVISION`; without it the one in force"},
			&cli.BoolFlag{Name: "exit-code", Usage: "end in 1 where the documents differ"},
		),
		Action: configDiffAction,
	}
}

// diffDoc is one of the two documents that a diff compares, in normalised form.
type diffDoc struct {
	label string
	text  string
}

func configDiffAction(ctx context.Context, cmd *cli.Command) error {
	from, to, err := diffDocs(ctx, cmd)
	if err != nil {
		return err
	}
	text, err := unifiedDiff(from, to)
	if err != nil {
		return failure(cmd.FullName(), err)
	}
	rep := diffReply{Team: cmd.String("team"), From: from.label, To: to.label, Same: text == "", Diff: text}
	if err := printDiff(cmd, rep); err != nil {
		return err
	}
	if cmd.Bool("exit-code") && !rep.Same {
		return silentError(cmd.FullName(), KindFailure)
	}
	return nil
}

// unifiedDiff returns the difference of two documents as a unified diff, or "" if they are equal.
func unifiedDiff(from, to diffDoc) (string, error) {
	return difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(from.text), FromFile: from.label,
		B: difflib.SplitLines(to.text), ToFile: to.label,
		Context: diffContext,
	})
}

func printDiff(cmd *cli.Command, rep diffReply) error {
	if cmd.Bool("json") {
		return printJSON(cmd, rep)
	}
	if rep.Same {
		fmt.Fprintf(cmd.Root().Writer, "no difference between %s and %s\n", rep.From, rep.To)
		return nil
	}
	fmt.Fprint(cmd.Root().Writer, rep.Diff)
	return nil
}

func diffDocs(ctx context.Context, cmd *cli.Command) (from, to diffDoc, err error) {
	op := cmd.FullName()
	if cmd.Args().Len() > 1 {
		return from, to, usageError(op, "takes one FILE, and got %d", cmd.Args().Len())
	}
	file := cmd.Args().First()
	if file != "" && cmd.IsSet("to") {
		return from, to, usageError(op, "give FILE or --to, not both")
	}
	if file == "" && !cmd.IsSet("from") {
		return from, to, usageError(op, "wants a FILE or --from")
	}
	opr, err := operatorOf(cmd)
	if err != nil {
		return from, to, err
	}
	if from, err = revisionDoc(ctx, cmd, opr, cmd.Uint64("from")); err != nil {
		return from, to, err
	}
	if file == "" {
		to, err = revisionDoc(ctx, cmd, opr, cmd.Uint64("to"))
		return from, to, err
	}
	to, err = fileDoc(cmd, file)
	return from, to, err
}

func revisionDoc(ctx context.Context, cmd *cli.Command, opr *client.Operator, rev uint64) (diffDoc, error) {
	cfg, err := configAt(ctx, cmd, opr, rev)
	if err != nil {
		return diffDoc{}, err
	}
	return diffDoc{label: fmt.Sprintf("revision %d", cfg.Revision), text: indented(cfg.Document)}, nil
}

func fileDoc(cmd *cli.Command, file string) (diffDoc, error) {
	raw, err := readInput(cmd, file)
	if err != nil {
		return diffDoc{}, err
	}
	if _, err := decodeAny(raw); err != nil {
		return diffDoc{}, &Error{Op: cmd.FullName(), Kind: KindUsage, Msg: file, Err: err}
	}
	return diffDoc{label: file, text: indented(raw)}, nil
}

// decodeAny decodes exactly one JSON value and keeps its numbers as written.
func decodeAny(raw []byte) (any, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var val any
	if err := dec.Decode(&val); err != nil {
		return nil, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("more follows after the document")
	}
	return val, nil
}
