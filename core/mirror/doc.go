// Package mirror keeps a replica of the entries that the platform's store holds for the fleet,
// and selects the source from which each VM replicates: the store itself or another VM.
//
// # Usage
//
//	re := mirror.NewReplica(mirror.DefaultHistory)
//	re.Apply(update)
//	up, ok := re.Since(asOf)
//
//	se := mirror.NewSelector(mirror.SelectorConfig{Self: self, Rand: rnd})
//	se.SetPeers(peers)
//	st := se.Next(now, age)
//	se.Done(now, st, mirror.Outcome{Age: age})
//
// # Normal operation
//
// If every VM watched the store, the load on the store would grow with the fleet, and its
// rate limits grow more slowly than that. So one VM watches the store. The first-ranked VM
// of each data centre follows the first-ranked VM of a data centre that ranks before it, and
// the other VMs follow the first-ranked VM of their own data centre. Each VM answers as the
// store would, with the changes after a given revision. Each change crosses between data
// centres once per data centre. All VMs compute the same rendezvous order. No agreement is
// needed, because two VMs that both watch do no harm.
//
// # Failure of the watching VM
//
// Each answer carries the age of the data: the time since the store confirmed it. A VM skips
// a source that does not answer or whose data is stale, and so do all other VMs that rank
// after that source. The next VM in the order then asks the store. Meanwhile a VM of another
// data centre is asked, because the store may refuse some VMs and serve others. The lower a
// VM ranks, the longer it waits before it asks the store itself: during an outage of the
// store, a whole fleet that asked at once would use up its rate limits for nothing.
//
// A store that does not answer at all is noticed at the end of a call's timeout only. While such a
// call is in progress and the data is stale, Next returns the steps to take in the meantime.
package mirror
