package main

import "syscall"

// killedWithParent returns the attribute that kills a child when the test binary ends, even by the
// panic of the test time-out, after which no cleanup runs.
func killedWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
