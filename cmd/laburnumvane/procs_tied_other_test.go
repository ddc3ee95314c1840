//go:build !linux

package main

import "syscall"

// killedWithParent returns nil, as only Linux has this attribute; only the test's cleanup ends its
// children.
func tiedToParent() *syscall.SysProcAttr { return nil }
