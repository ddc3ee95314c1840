package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// awaitStopped waits until every thread of a process has stopped after SIGSTOP. kill returns before
// the signal takes effect, and on a busy machine some threads run on for a while: one of them could
// still read a request that the test sends next.
func awaitStopped(t *testing.T, pr *proc) {
	t.Helper()
	eventually(t, pr.name+" is stopped", func() bool {
		files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pr.cmd.Process.Pid))
		if err != nil || len(files) == 0 {
			return false
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				return false
			}
			// The state follows the command name, which ends at the last closing parenthesis.
			rest := string(text[strings.LastIndexByte(string(text), ')')+1:])
			if !strings.HasPrefix(strings.TrimSpace(rest), "T") {
				return false
			}
		}
		return true
	})
}
