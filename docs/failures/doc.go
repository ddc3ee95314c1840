// Command failures joins the tables of this folder into docs/FAILURES.md.
//
// # Usage
//
//	go generate ./docs/failures
//
// Each topic has its own table in this folder, which is changed together with its
// tests; operators and callers read the page. A test fails if a table names a test
// that does not exist, or if the page is not up to date with the tables.
package main

//go:generate go run . -dir . -page ../FAILURES.md
