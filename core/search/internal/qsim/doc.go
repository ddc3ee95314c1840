// Package qsim simulates searches against a queueing model of upstream servers in
// virtual time, to measure the cost and the benefit of a hedging policy. The model
// has one sender, servers with slots and a bounded queue, a network delay, and a
// few faults. It uses no clock and no goroutine; a seed gives the same figures
// each time.
//
// # Usage
//
//	rs := qsim.Run(qsim.Config{Topology: qsim.Pettigrew(), Load: 0.6, Searches: 20000, Policy: qsim.Tracked()})
//	fmt.Println(rs.Latency.ValueAtQuantile(99.9), rs.Extra())
//
// # Limits of the model
//
// Service times, network delays and queue lengths are assumptions (see Topology).
// The figures compare policies under these assumptions; they do not predict the
// latency in any data centre.
package qsim
