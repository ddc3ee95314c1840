// Command standin runs the scripts of the review. It holds the stand-ins of the platform's store, the servers
// and the clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"time"
)

// Exit codes of a case: the rule held, the rule was broken, the case could not run.
const (
	held     = 0
	broken   = 1
	notShown = 2
)

// maxTime is the time that a case may take.
const maxTime = 115 * time.Second

func main() {
	cases := map[string]func(rec *recorder, trouble bool) int{"cold": caseCold, "frozen": caseFrozen}
	if len(os.Args) > 1 && os.Args[1] == "server" {
		serverMain(os.Args[2:])
		return
	}
	if len(os.Args) != 4 || os.Args[1] != "case" || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin case NAME RECORD")
		os.Exit(notShown)
	}
	rec, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notShown)
	}
	// The processes that this thread starts end with it.
	runtime.LockOSThread()
	time.AfterFunc(maxTime, func() { os.Exit(rec.fail(errors.New("it took too long"))) })
	code := cases[os.Args[2]](rec, os.Getenv("TROUBLE") != "0")
	rec.line("result %d", code)
	rec.close()
	os.Exit(code)
}
