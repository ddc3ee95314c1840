package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"laburnumvane/core/team"
	"laburnumvane/io/setup"
)

// checkReply is what check prints with --json.
type checkReply struct {
	OK       bool         `json:"ok"`
	Settings *checkedPart `json:"settings,omitempty"`
	Files    []checkedDoc `json:"files"`
}

// checkedPart is the verdict on the settings of serve.
type checkedPart struct {
	OK     bool             `json:"ok"`
	Faults []checkedSetting `json:"faults,omitempty"`
}

// checkedSetting is one wrong setting.
type checkedSetting struct {
	Kind     setup.Kind `json:"kind"`
	Flag     string     `json:"flag"`
	Variable string     `json:"variable"`
	Message  string     `json:"message"`
}

// checkedDoc is the verdict on one configuration file.
type checkedDoc struct {
	File   string         `json:"file"`
	Team   string         `json:"team,omitempty"`
	OK     bool           `json:"ok"`
	Faults []checkedFault `json:"faults,omitempty"`
}

// checkedFault is one fault of a file.
type checkedFault struct {
	Kind    team.Kind `json:"kind"`
	Path    string    `json:"path,omitempty"`
	Message string    `json:"message"`
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check settings and configuration files without starting anything",
		ArgsUsage: "[FILE ...]",
		Description: `Checks each configuration FILE ("-" for standard input), and the settings
that "serve" would start with, from the same flags and environment variables.
Settings are checked where one of them is given, or where there is no FILE.
Nothing is started and no connection is made. All faults are listed, each with
the path of its field or the name of its flag.

A file is checked for the team that it names itself, or for --team.

Exit codes: 0 no fault, 1 a file that cannot be read, 2 a fault in settings or
files.

Examples:
   laburnumvane check wash.json partners.json
   laburnumvane check --team wash - < wash.json
   laburnumvane check --data-centre north --region home \
      --kv 10.0.0.5:7800 --vm-list 10.0.0.5:7801
   laburnumvane check --json`,
		Flags: append([]cli.Flag{
			jsonFlag(),
			&cli.StringFlag{Name: "team", Aliases: []string{"t"}, Usage: "the team's `NAME`; without it the one in the file"},
		}, setup.Flags()...),
		Action: checkAction,
	}
}

func checkAction(_ context.Context, cmd *cli.Command) error {
	rep := checkReply{OK: true, Files: []checkedDoc{}}
	if !cmd.Args().Present() || anySetting(cmd) {
		rep.Settings = checkSettings(cmd)
		rep.OK = rep.Settings.OK
	}
	for _, name := range cmd.Args().Slice() {
		raw, err := readInput(cmd, name)
		if err != nil {
			return err
		}
		chk := checkDocument(name, cmd.String("team"), raw)
		rep.Files = append(rep.Files, chk)
		rep.OK = rep.OK && chk.OK
	}
	if err := printCheck(cmd, rep); err != nil {
		return err
	}
	if !rep.OK {
		return silent(cmd.FullName(), KindUsage)
	}
	return nil
}

func anySetting(cmd *cli.Command) bool {
	for _, fl := range setup.Flags() {
		if cmd.IsSet(fl.Names()[0]) {
			return true
		}
	}
	return false
}

func checkSettings(cmd *cli.Command) *checkedPart {
	_, err := setup.FromCommand(cmd)
	part := &checkedPart{OK: err == nil}
	for _, one := range unjoin(err) {
		var flt *setup.Error
		if !errors.As(one, &flt) {
			part.Faults = append(part.Faults, checkedSetting{Message: one.Error()})
			continue
		}
		part.Faults = append(part.Faults, checkedSetting{
			Kind: flt.Kind, Flag: flt.Flag, Variable: setup.Variable(flt.Flag), Message: flt.Msg,
		})
	}
	return part
}

// unjoin gives the errors that were joined into one.
func unjoin(err error) []error {
	if err == nil {
		return nil
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()
	}
	return []error{err}
}

func checkDocument(file, name string, raw []byte) checkedDoc {
	chk := checkedDoc{File: file, Team: name}
	if chk.Team == "" {
		chk.Team = teamNamedIn(raw)
	}
	_, err := team.Parse(chk.Team, raw)
	for _, flt := range team.Faults(err) {
		chk.Faults = append(chk.Faults, checkedFault{Kind: flt.Kind, Path: flt.Path, Message: flt.Msg})
	}
	chk.OK = err == nil
	return chk
}

// teamNamedIn is the team that a document says it is for, or "" where it cannot
// be read; the strict reading then says why.
func teamNamedIn(raw []byte) string {
	var head struct {
		Team string `json:"team"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return ""
	}
	return head.Team
}

func printCheck(cmd *cli.Command, rep checkReply) error {
	if cmd.Bool("json") {
		return printJSON(cmd, rep)
	}
	out := cmd.Root().Writer
	if rep.Settings != nil {
		printSettings(out, rep.Settings)
	}
	for _, chk := range rep.Files {
		if chk.OK {
			fmt.Fprintf(out, "%s: ok, team %s\n", chk.File, chk.Team)
		}
		for _, flt := range chk.Faults {
			fmt.Fprintln(out, faultLine(chk.File, &team.Error{Path: flt.Path, Msg: flt.Message}))
		}
	}
	return nil
}

func printSettings(out io.Writer, part *checkedPart) {
	if part.OK {
		fmt.Fprintln(out, "settings: ok")
	}
	for _, flt := range part.Faults {
		fmt.Fprintf(out, "settings: --%s (%s): %s\n", flt.Flag, flt.Variable, flt.Message)
	}
}
