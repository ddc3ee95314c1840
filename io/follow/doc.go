// Package follow keeps this VM's copy of the platform's store up to date, with updates from the
// store or from other VMs as core/mirror decides, and serves updates to other VMs.
//
// # Usage
//
//	fo := follow.New(follow.Config{Self: self, Store: store, OnChange: onChange})
//	go fo.Run(ctx)
//	mux.Handle(inner.FeedPathPrefix, inner.NewFeedServer(fo))
//	fo.SetPeers(vms)
//
// Each call has its own timeout, because nothing else shows that a connection is dead. OnChange
// is called on Run's goroutine, with the changes and the previous age of the copy. From the age
// it can distinguish an entry that was removed from one whose lease expired while the store was
// unavailable.
package follow
