package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
)

const (
	slopesFile = "slopes.json"
	fileMode   = 0o644
)

func main() {
	dir := flag.String("dir", "docs/capacity", "the folder of "+slopesFile)
	page := flag.String("page", "docs/capacity/serve.md", "the page")
	measure := flag.Bool("measure", false, "run the benchmarks of the slopes first; takes minutes")
	only := flag.String("only", "", "measure only slopes whose names have this prefix")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := run(ctx, *dir, *page, *measure, *only)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, dir, page string, measure bool, only string) error {
	path := filepath.Join(dir, slopesFile)
	sl, err := readSlopes(path)
	if err != nil {
		return err
	}
	if measure {
		if err := sl.measure(ctx, only); err != nil {
			return err
		}
		if err := sl.write(path); err != nil {
			return err
		}
	}
	old, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	text, err := fillTables(string(old), tables(sl))
	if err != nil {
		return err
	}
	return os.WriteFile(page, []byte(text), fileMode)
}
