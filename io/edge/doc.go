// Package edge runs one VM of the query tier: the listener for clients, the local copy of the
// platform's store, which says where requests go, the connections to servers, and the
// balancer's readiness check.
//
// # Usage
//
//	eg, err := edge.Start(edge.Config{Settings: set, Store: store, Decoder: decoder, Log: logger})
//	eg.Reload(set)
//	err = eg.Stop()
//
// # Goroutines
//
// One goroutine owns the VM's state. It applies changes of the store's copy, runs periodic
// work, and publishes an immutable plan.View. Requests read the view through an atomic pointer
// and share only the statistics of core/steer and the connections.
//
// # Readiness
//
// The VM reports ready once it knows the configuration and the servers and has a connection to
// each server that it keeps warm, or has waited long enough for these connections. It stays
// ready while the store is down, because requests are served from the last known state. It
// reports not ready while it stops or is cut off.
package edge
