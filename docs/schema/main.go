package main

import (
	"flag"
	"fmt"
	"os"

	"laburnumvane/core/team"
)

const fileMode = 0o644

func main() {
	out := flag.String("out", "team.schema.json", "the file to write")
	flag.Parse()
	if err := write(*out); err != nil {
		fmt.Fprintln(os.Stderr, "schema:", err)
		os.Exit(1)
	}
}

func write(path string) error {
	raw, err := team.Schema()
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, fileMode)
}
