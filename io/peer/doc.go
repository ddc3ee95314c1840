// Package peer carries the inner protocol between VMs over twirp.
//
// # Usage
//
//	srv := peer.NewServer(peer.ServerConfig{Listener: ln, Service: impl})
//	go srv.Serve()
//	cl := peer.NewClient(peer.ClientConfig{Timeout: time.Second})
//	reply, err := cl.To(addr).Pull(ctx, request)
//
// The listener is net/http's, which twirp is made for.
package peer
