// Package probe decides when another VM is probed, and whether it counts as silent: cut off,
// stopped or frozen.
//
// # Usage
//
//	tb := probe.New(probe.Config{Limits: probe.DefaultLimits()})
//	tb.Want(now, probe.VM{Addr: addr, DataCentre: dataCentre})
//	if !tb.Avoid(addr) {
//		tb.Begin(now, addr)
//		// send a request, then:
//		tb.Answer(now, addr, took)
//	}
//	// at the time of tb.Next():
//	for _, ac := range tb.Tick(now) {
//		// run the probe, then tb.EndProbe(now, ac.VM.Addr, outcome, took)
//	}
//
// A Table may be used from many goroutines.
//
// # Rules
//
// A VM whose answer is overdue, by the latencies that it had before, is probed at once. The probe
// opens a connection, which the kernel of a busy VM accepts without any processor time of the
// process, and then waits for an answer of the process, for which a busy VM gets several times
// as long. It takes two observations to call a VM silent: one lost packet is not enough. If a
// connection cannot be opened, the other VMs of the same data centre are probed at the same time,
// because a partition mostly affects all of them. A silent VM gets no requests. It is probed in
// the background while requests would use it, and is used again after the first answer.
package probe
