// Package seed fixes the seed of property tests, so that every run of the tests
// gives the same result.
//
// # Usage
//
// Import it for its side effect in each test package that uses rapid:
//
//	import _ "laburnumvane/internal/seed"
//
// To search for new failures, set another seed and more checks with flags:
//
//	go test ./core/search -rapid.seed=7 -rapid.checks=100000
package seed

import (
	"flag"

	// The flag must exist before it can be set.
	_ "pgregory.net/rapid"
)

// defaultSeed is the seed of every run that does not set another one by flag.
const defaultSeed = "20261202"

func init() { //nolint:gochecknoinits // must run before the flags of the test binary are parsed
	// Set cannot fail: the import of rapid above defines the flag.
	_ = flag.Set("rapid.seed", defaultSeed)
}
