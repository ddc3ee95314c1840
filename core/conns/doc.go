// Package conns divides each upstream server's connections among the VMs that
// may use it, without any message: each VM works out its own part from its view
// of the VMs, and the parts add up even where the views differ a little.
//
// # Usage
//
//	ro := conns.NewRoster(conns.RosterConfig{Self: self, Hold: time.Minute})
//	pl := conns.NewPlanner(conns.PlannerConfig{Self: self, Far: true})
//	gr := pl.Add(conns.Group{Service: "pettigrew/members/members-3", DataCentre: "east", Replicas: 3, Limit: 30})
//	for _, ch := range ro.Update(now, vms) {
//		pl.Apply(ch)
//	}
//	n := pl.Share(gr, 0) // this VM's connections to the first replica
//
// # The division
//
// Of a limit L, R = max(1, L/8 rounded up) is kept back and K = L-R divided.
// VMs in the server's own data centre divide K less a quarter, all others the
// quarter; with Far off the others get nothing. Among c VMs of such a part, the
// VM of rank r (by rendezvous hash of service and VM) gets
//
//   - c <= K: K/c, and one more if r < K mod c;
//   - c > K: one connection to replica i if iK <= r+jc < (i+1)K for some j, so
//     that each replica has exactly K users, and every VM has a replica as long
//     as c <= K times the replicas. Beyond, Unreached tells the services that
//     this VM cannot reach at all.
//
// # The bound
//
// Equal views use exactly K. If each view lacks at most m of the n live VMs,
// a VM's rank is too low by at most m and its c by at most m; Bound adds up
// what the worst such views would use. As long as c <= K that is at most the
// sum over j of min(n, K+m-j(n-m)); for the first replica of a c > K it is K+m,
// so that m <= R never passes the limit. VMs that are counted and dead only
// make parts smaller, but can move the others between the replicas of a service.
package conns
