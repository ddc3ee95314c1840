// Package costs holds benchmarks of what one entry VM spends on exchanges over
// real sockets: processor time and bytes per sub-request, per forwarded search
// and per batch, and memory per connection and server.
//
// # Usage
//
//	go test -run '^$' -bench . ./io/costs
//
// The other end of each socket is a second process, the test binary started
// again, so that the processor time of this process is that of one VM alone.
// Processor time is less moved by other load on the machine than elapsed time
// is, but not free of it: take the least of several runs. The figures carry
// docs/capacity/serve.md.
package costs
