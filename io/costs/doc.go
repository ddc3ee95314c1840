// Package costs holds benchmarks of the resources that one entry VM uses for
// exchanges over real sockets: processor time and bytes per sub-request, per forwarded search
// and per batch, and memory per connection and server.
//
// # Usage
//
//	go test -run '^$' -bench . ./io/costs
//
// The peer of each socket is a second process, the test binary started again, so
// that the processor time of this process is that of one VM alone. Processor time
// is affected less by other load on the machine than elapsed time is, but not
// independent of it: use the minimum of several runs. docs/capacity/serve.md is
// based on the figures.
package costs
