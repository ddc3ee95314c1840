// Package peer has the client and the server of the inner protocol between VMs, over twirp.
//
// # Usage
//
//	srv := peer.NewServer(peer.ServerConfig{Listener: ln, Service: impl})
//	go srv.Serve()
//	cl := peer.NewClient(peer.ClientConfig{Timeout: time.Second})
//	reply, err := cl.To(addr).Pull(ctx, request)
//
// The server uses net/http, for which twirp is made.
package peer
