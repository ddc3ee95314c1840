// Command capacity computes the costs of each role of a node at a given size from
// slopes that benchmarks measure, and updates docs/capacity/serve.md.
//
// # Usage
//
//	go generate ./docs/capacity            # rewrite the page's tables
//	go run ./docs/capacity -measure -only exchange   # measure slopes first
//
// The slopes are in slopes.json, each with its benchmark or command and the day on
// which it was measured. The page's tables are between markers; the text around
// them is written by hand. A test fails if page and slopes do not match.
package main

//go:generate go run . -dir . -page serve.md
