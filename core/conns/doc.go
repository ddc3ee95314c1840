// Package conns divides the connections of each upstream server among the VMs that may use it.
// The VMs exchange no messages for this: each one computes its own share from its view of the
// VMs, and the shares stay within the limit even if the views differ a little.
//
// # Usage
//
//	ro := conns.NewRoster(conns.RosterConfig{Self: self, DepartureDelay: time.Minute})
//	pl := conns.NewPlanner(conns.PlannerConfig{Self: self, Remote: true})
//	gr := pl.Add(conns.Group{Service: "pettigrew/members/members-3", DataCentre: "east", Replicas: 3, Limit: 30})
//	for _, ch := range ro.Update(now, vms) {
//		pl.Apply(ch)
//	}
//	n := pl.Share(gr, 0) // this VM's connections to the first replica
//
// # The division
//
// Of a limit L, a reserve R = max(1, L/8 rounded up) is kept back and K = L-R is divided. A
// quarter of K goes to the VMs of other data centres, or nothing if Remote is off, and the rest to
// the VMs of the server's own data centre. Each of the two parts is then divided by itself; below,
// K is such a part. Among the c VMs that share it, the VM of rank r (by rendezvous hash of service
// and VM) gets
//
//   - c <= K: K/c, and one more if r < K mod c;
//   - c > K: one connection to replica i if iK <= r+jc < (i+1)K for some j, so that each replica
//     has exactly K users, and every VM has a replica as long as c <= K times the number of
//     replicas. If c is greater, Unreached lists the services that this VM cannot reach at all.
//
// # The bound
//
// VMs with equal views use exactly K. If each view lacks at most m of the n live VMs, a VM's rank
// is too low by at most m and its c by at most m; Bound adds up what the VMs would use with the
// worst such views. As long as c <= K that is at most the sum over j of min(n, K+m-j(n-m)); for
// the first replica with c > K it is K+m, so that m <= R never exceeds the limit. Dead VMs that
// are still counted only make shares smaller, but can move the others between the replicas of a
// service.
package conns
