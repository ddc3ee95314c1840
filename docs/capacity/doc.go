// Command capacity works out what each role of a node costs at a given size,
// from slopes that benchmarks measure, and keeps docs/capacity/serve.md in step.
//
// # Usage
//
//	go generate ./docs/capacity            # write the page's tables anew
//	go run ./docs/capacity -measure -only exchange   # measure slopes anew first
//
// The slopes stand in slopes.json, each with the command that measures it and
// the day it was measured. The page's tables stand between markers; the text
// around them is written by hand. A test fails where page and slopes disagree.
package main

//go:generate go run . -dir . -page serve.md
