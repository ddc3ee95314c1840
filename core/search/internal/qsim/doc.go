// Package qsim drives search machines against queues in virtual time, to measure
// what a policy costs and brings. It is a queueing model of upstream servers and
// nothing more: one sender, servers with slots and a bounded queue, a hop of
// network, and a few faults. There is no clock and no goroutine; a seed gives the
// same figures each time.
//
// # Usage
//
//	rs := qsim.Run(qsim.Config{Plant: qsim.Pettigrew(), Load: 0.6, Searches: 20000, Policy: qsim.Tracked()})
//	fmt.Println(rs.Latency.ValueAtQuantile(99.9), rs.Extra())
//
// # What the figures are not
//
// Service times, hops and queue lengths are assumptions (see Plant); the figures
// compare policies under them and predict no data centre.
package qsim
