// Package warmup bounds the requests that a server gets from all VMs together while it warms up.
//
// # Usage
//
//	li := warmup.New()
//	li.ObserveStore(now, age, listed) // a few times a second
//	if li.Allow(now, up.Process(), bounds.Max(perSecond)) {
//		// send
//	}
//
// # Why a single owner
//
// A server that has just started, or whose data centre was evacuated, can serve a few requests a
// second and crashes if it gets more. The bound holds for the whole fleet and cannot be divided:
// the share of each of a hundred VMs would be less than one request, and every VM that may send
// at all may send one at any moment. So one VM, the server's owner (plan.Warming), sends all
// requests to it and counts them; other VMs send theirs through the owner.
//
// # When a VM may act as owner
//
// Two VMs that both act as owner would send twice what the server can serve. Each VM ranks all
// VMs that it knows by their entries in the store, so two VMs can disagree only if one does not
// know the other. A VM acts as owner only after its own entry has been in its copy of the store
// for OwnerDelay, and if the copy was never older than MaxCopyAge meanwhile. Any other VM that
// acts as owner has an equally fresh copy, so it knows of this VM by then. A VM that has just
// started, or whose copy of the store is not updated, sends nothing to such servers.
//
// # Without updates
//
// A VM that is cut off from the store and from all other VMs does not learn that a data centre
// was evacuated and that its servers are cold since. Its requests to these servers, and those of
// VMs cut off together with it, cannot be bounded by what they know. They therefore send nothing
// to servers that have a bound: see Limiter.Stale.
package warmup
