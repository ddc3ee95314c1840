//go:build !linux

package main

import "syscall"

// tiedToParent has no means here: a test's cleanup alone ends its children.
func tiedToParent() *syscall.SysProcAttr { return nil }
