// Package entry is the clients' listener for routed requests. It finds the route of a request,
// sends the request to the servers that the route names, and returns the response of one server
// or the gathered responses of several.
//
// # Usage
//
//	en := entry.New(entry.Config{Listener: ln, View: view, Relay: pool, Steer: table, Names: names})
//	go en.Serve()
//	en.Leave()
//	en.Shutdown(ctx)
//
// # A request
//
// A request is read in full, within the limits of the configuration, and refused if its framing
// is ambiguous. One goroutine drives one core/fanout machine for each request; results of
// attempts arrive through a buffered channel on which senders never block. The view is loaded
// once, so that a request uses one version of the configuration until it ends.
//
// # Status codes of failures
//
// 503 and 429 mean that the request did not run and will not run; 408, 413, 431 and 400 are
// returned before anything is sent to a server. 502 and 504 mean that the request may have run.
package entry
