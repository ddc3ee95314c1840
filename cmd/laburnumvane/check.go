package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/urfave/cli/v3"

	"laburnumvane/core/team"
)

// checkReply is what check prints with --json.
type checkReply struct {
	OK       bool         `json:"ok"`
	Settings *checkedPart `json:"settings,omitempty"`
	Files    []checkedDoc `json:"files"`
}

// checkedPart is the verdict on the settings of serve.
type checkedPart struct {
	OK    bool   `json:"ok"`
	Fault string `json:"fault,omitempty"`
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
		Description: `Checks the settings that "serve" would start with, from the same flags and
environment variables, and each configuration FILE ("-" for standard input).
Nothing is started and no connection is made. All faults are listed, each with
the path of its field.

A file is checked for the team that it names itself, or for --team.

Exit codes: 0 no fault, 2 a fault in settings or files.

Examples:
   laburnumvane check wash.json partners.json
   laburnumvane check --team wash - < wash.json
   LABURNUMVANE_DATA_CENTRE=north laburnumvane check --json`,
		Flags: append([]cli.Flag{
			jsonFlag(),
			&cli.StringFlag{Name: "team", Aliases: []string{"t"}, Usage: "the team's `NAME`; without it the one in the file"},
		}, serveCommand().Flags...),
		Action: checkAction,
	}
}

func checkAction(ctx context.Context, cmd *cli.Command) error {
	rep := checkReply{OK: true, Files: []checkedDoc{}}
	// serve checks all its settings in its Before hook and does nothing else
	// there; its flags are flags of this command, so the hook finds them.
	if hook := serveCommand().Before; hook != nil {
		rep.Settings = &checkedPart{OK: true}
		if _, err := hook(ctx, cmd); err != nil {
			rep.Settings = &checkedPart{Fault: err.Error()}
			rep.OK = false
		}
	}
	if rep.Settings == nil && !cmd.Args().Present() {
		return usageError(cmd.FullName(), "wants a FILE")
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
	if rep.Settings != nil && rep.Settings.OK {
		fmt.Fprintln(out, "settings: ok")
	}
	if rep.Settings != nil && !rep.Settings.OK {
		fmt.Fprintf(out, "settings: %s\n", rep.Settings.Fault)
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
