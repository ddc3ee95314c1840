package main

import "syscall"

// tiedToParent ends a child with the test binary, also where that ends by a
// panic of the test's time limit, which runs no cleanup.
func tiedToParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
