// Command failures joins the tables of this folder into docs/FAILURES.md.
//
// # Usage
//
//	go generate ./docs/failures
//
// Each matter keeps its own table here, beside the change that adds a test; the
// page is what operators and callers read. A test fails where a table names a
// test that is not in the tree, or the page lags behind the tables.
package main

//go:generate go run . -dir . -page ../FAILURES.md
