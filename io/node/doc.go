// Package node runs one entry VM. It connects the listeners, the search driver, the platform
// clients and the other VMs, and runs the control goroutine, which owns all state that does not
// belong to a single search.
//
// # Usage
//
//	nd, err := node.Start(node.Config{Settings: settings, Log: logger})
//	...
//	err = nd.Stop(ctx)
//
// The control goroutine processes events one at a time and publishes a new view.View after each
// event that changes something. Searches only read the view.
package node
