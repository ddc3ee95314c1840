// Package node is one entry VM: it joins listeners, driver, platform and peers,
// and runs the control goroutine that owns all state which is not a search's.
//
// # Usage
//
//	nd, err := node.Start(node.Config{Settings: settings, Log: logger})
//	...
//	err = nd.Stop(ctx)
//
// The control goroutine takes events one at a time and publishes a new
// view.View after each that changes something. Traffic only reads the view.
package node
