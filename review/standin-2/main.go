// Command standin has the clients, servers and the store of the cases in review/, and runs these cases.
// It runs in the root of the repository.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseConfig is what a case gets.
type caseConfig struct {
	trouble bool
	fl      *fleet
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		if err := runServer(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		return
	}
	folder := flag.String("folder", ".", "write record.txt here")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	keep := flag.Bool("keep", false, "keep the logs of the VMs")
	flag.Parse()
	os.Exit(runCase(flag.Arg(0), *folder, *trouble, *keep))
}

func runCase(name, folder string, trouble, keep bool) int {
	cases := map[string]func(caseConfig) (bool, error){"cut-watches": runCutWatches, "pages": runPages}
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "standin")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if keep {
		fmt.Println("logs:", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	fl, err := newFleet(dir, filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer fl.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		fl.close()
		os.Exit(exitNotRun)
	}()
	began := time.Now()
	broken, err := run(caseConfig{trouble: trouble, fl: fl})
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	fmt.Printf("%.0f s\n", time.Since(began).Seconds())
	if broken {
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
