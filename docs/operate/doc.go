// Package operate tests that the operators' pages describe every setting and every
// alarm of the program, and that their links are valid.
//
// # Usage
//
//	go test ./docs/operate
package operate
