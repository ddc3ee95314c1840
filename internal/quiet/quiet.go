// Package quiet keeps the HTTP library silent in tests. It logs each connection
// that a failure test breaks on purpose; hundreds of such lines hide the one
// that says which test failed.
//
// # Usage
//
// Import it for its effect in a test package that starts servers:
//
//	import _ "laburnumvane/internal/quiet"
//
// No verdict is lost: what a test holds is in answers and counters, never in the
// library's log.
package quiet

import "github.com/cloudwego/hertz/pkg/common/hlog"

func init() { //nolint:gochecknoinits // before any server of a test binary starts
	hlog.SetLevel(hlog.LevelFatal)
}
