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
	"laburnumvane/platform"
)

// checkReply is what check prints with --json.
type checkReply struct {
	OK       bool            `json:"ok"`
	Settings *settingsResult `json:"settings,omitempty"`
	Files    []fileResult    `json:"files"`
}

// settingsResult is the result of checking the settings of serve.
type settingsResult struct {
	OK     bool           `json:"ok"`
	Faults []settingFault `json:"faults,omitempty"`
}

// settingFault is one invalid setting.
type settingFault struct {
	Kind     setup.Kind `json:"kind"`
	Flag     string     `json:"flag"`
	Variable string     `json:"variable"`
	Message  string     `json:"message"`
}

// fileResult is the result of checking one configuration file.
type fileResult struct {
	File string `json:"file"`
	Team string `json:"team,omitempty"`
	// Gateway is set if the file is a configuration of gateway instead of a team's.
	Gateway *gatewayFile `json:"gateway,omitempty"`
	OK      bool         `json:"ok"`
	Faults  []fileFault  `json:"faults,omitempty"`
}

// fileFault is one fault in a configuration file.
type fileFault struct {
	Kind    string `json:"kind"`
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
}

// gatewayFile describes a configuration of gateway; it is zero if the file could not be decoded.
type gatewayFile struct {
	Version  uint64 `json:"version"`
	Accounts int    `json:"accounts"`
	Routes   int    `json:"routes"`
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

A file is checked for the team that it names itself, or for --team. A file with
"tenants" or "routes" is a configuration of "gateway": its client accounts are
checked. Keys of accounts are not printed; their place in the file is.

Exit codes: 0 no fault, 1 a file that cannot be read, 2 a fault in settings or
files.

Examples:
   laburnumvane check wash.json partners.json
   laburnumvane check --team wash - < wash.json
   laburnumvane check gateway.json
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
	rep := checkReply{OK: true, Files: []fileResult{}}
	if !cmd.Args().Present() || anySetting(cmd) {
		rep.Settings = checkSettings(cmd)
		rep.OK = rep.Settings.OK
	}
	for _, name := range cmd.Args().Slice() {
		raw, err := readInput(cmd, name)
		if err != nil {
			return err
		}
		res := checkDocument(name, cmd.String("team"), raw)
		rep.Files = append(rep.Files, res)
		rep.OK = rep.OK && res.OK
	}
	if err := printCheck(cmd, rep); err != nil {
		return err
	}
	if !rep.OK {
		return silentError(cmd.FullName(), KindUsage)
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

func checkSettings(cmd *cli.Command) *settingsResult {
	_, err := setup.FromCommand(cmd)
	res := &settingsResult{OK: err == nil}
	for _, one := range splitJoined(err) {
		var flt *setup.Error
		if !errors.As(one, &flt) {
			res.Faults = append(res.Faults, settingFault{Message: one.Error()})
			continue
		}
		res.Faults = append(res.Faults, settingFault{
			Kind: flt.Kind, Flag: flt.Flag, Variable: setup.EnvVar(flt.Flag), Message: flt.Msg,
		})
	}
	return res
}

// splitJoined returns the errors that were joined into err, or err alone if it is not a joined
// error.
func splitJoined(err error) []error {
	if err == nil {
		return nil
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()
	}
	return []error{err}
}

func checkDocument(file, name string, raw []byte) fileResult {
	if platform.IsManifest(raw) {
		return checkGateway(file, raw)
	}
	res := fileResult{File: file, Team: name}
	if res.Team == "" {
		res.Team = teamNamedIn(raw)
	}
	_, err := team.Parse(res.Team, raw)
	for _, flt := range team.Faults(err) {
		res.Faults = append(res.Faults, fileFault{Kind: string(flt.Kind), Path: flt.Path, Message: flt.Msg})
	}
	res.OK = err == nil
	return res
}

// checkGateway checks the client accounts of a configuration of gateway.
func checkGateway(file string, raw []byte) fileResult {
	mc := platform.CheckManifest(raw)
	res := fileResult{File: file, OK: len(mc.Faults) == 0}
	for _, flt := range mc.Faults {
		res.Faults = append(res.Faults, fileFault{Kind: flt.Kind, Path: flt.Path, Message: flt.Msg})
	}
	res.Gateway = &gatewayFile{Version: mc.Version, Accounts: mc.Accounts, Routes: mc.Routes}
	return res
}

// teamNamedIn returns the team named in a document, or "" if the document cannot be decoded.
// team.Parse then reports the reason.
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
	for _, doc := range rep.Files {
		switch {
		case doc.OK && doc.Gateway != nil:
			gf := doc.Gateway
			fmt.Fprintf(out, "%s: ok, gateway version %d, accounts: %d, routes: %d\n", doc.File, gf.Version, gf.Accounts, gf.Routes)
		case doc.OK:
			fmt.Fprintf(out, "%s: ok, team %s\n", doc.File, doc.Team)
		}
		for _, flt := range doc.Faults {
			fmt.Fprintln(out, faultLine(doc.File, &team.Error{Path: flt.Path, Msg: flt.Message}))
		}
	}
	return nil
}

func printSettings(out io.Writer, res *settingsResult) {
	if res.OK {
		fmt.Fprintln(out, "settings: ok")
	}
	for _, flt := range res.Faults {
		fmt.Fprintf(out, "settings: --%s (%s): %s\n", flt.Flag, flt.Variable, flt.Message)
	}
}
