// Package contr has contract tests of the external interfaces of a VM. They can be run against any
// implementation: the product's own, an emulated service, or a service of the platform.
//
// # Usage
//
// In a test of the implementation:
//
//	contr.Upstream(t, func(t *testing.T) contr.UpstreamServer { ... })
//	contr.KV(t, func(t *testing.T) string { return startMine(t) })
//
// Each contract is a table of clauses that run as subtests, so that a failure names the violated
// clause.
//
// Talk sends raw HTTP to a listener, for requests that no client library would send.
package contr
