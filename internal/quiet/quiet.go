// Package quiet turns off the log of the HTTP library in tests. The library logs
// each connection that a failure test breaks on purpose, and hundreds of such
// lines hide the one that names the failed test.
//
// # Usage
//
// Import it for its side effect in a test package that starts servers:
//
//	import _ "laburnumvane/internal/quiet"
//
// No test depends on the library's log: tests check answers and counters.
package quiet

import "github.com/cloudwego/hertz/pkg/common/hlog"

func init() { //nolint:gochecknoinits // before any server of a test binary starts
	hlog.SetLevel(hlog.LevelFatal)
}
