// Package contr holds the contracts of the interfaces at a VM's borders, as
// tests that any implementation can be run through: the product's own, a
// stand-in, or a service of the platform.
//
// # Usage
//
// In a test of the implementation:
//
//	contr.Upstream(t, func(t *testing.T) contr.UpstreamServer { ... })
//	contr.KV(t, func(t *testing.T) string { return startMine(t) })
//
// Each contract is a table whose cases are subtests, so that a failure names
// the clause that is broken.
//
// Talk speaks raw HTTP to a listener, for what no client library would send.
package contr
