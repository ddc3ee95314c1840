// Package operate checks that the operators' pages name what the program has:
// each setting, and each alarm.
//
// # Usage
//
//	go test ./docs/operate
package operate
