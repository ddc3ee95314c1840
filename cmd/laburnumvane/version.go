package main

import (
	"context"
	"runtime"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// buildInfo is what version prints.
type buildInfo struct {
	Version string `json:"version"`
	Commit  string `json:"commit,omitempty"`
	Dirty   bool   `json:"dirty,omitempty"`
	Go      string `json:"go"`
	System  string `json:"system"`
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version of this program",
		Description: `Prints the module's version, the commit it was built from where the build
knows it, and the Go release and system it was built for.

Examples:
   laburnumvane version
   laburnumvane version --json`,
		Flags:  []cli.Flag{jsonFlag()},
		Action: versionAction,
	}
}

func versionAction(_ context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	bi := readBuildInfo()
	if cmd.Bool("json") {
		return printJSON(cmd, bi)
	}
	commit := bi.Commit
	if bi.Dirty {
		commit += " with changes"
	}
	tbl := newTable(cmd.Root().Writer)
	tbl.row("laburnumvane", bi.Version)
	tbl.row("commit", commit)
	tbl.row("go", bi.Go)
	tbl.row("system", bi.System)
	tbl.flush()
	return nil
}

func readBuildInfo() buildInfo {
	bi := buildInfo{Version: "(devel)", Go: runtime.Version(), System: runtime.GOOS + "/" + runtime.GOARCH}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return bi
	}
	if info.Main.Version != "" {
		bi.Version = info.Main.Version
	}
	for _, set := range info.Settings {
		switch set.Key {
		case "vcs.revision":
			bi.Commit = set.Value
		case "vcs.modified":
			bi.Dirty = set.Value == "true"
		}
	}
	return bi
}
