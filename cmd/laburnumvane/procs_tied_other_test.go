//go:build !linux

package main

import "syscall"

// killedWithParent returns nil, as only Linux has this attribute; only the test's cleanup ends its
// children.
func killedWithParent() *syscall.SysProcAttr { return nil }
