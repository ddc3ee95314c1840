// Package plan combines what one VM needs to route requests: the routes in force, the known
// servers, and this VM's share of the connections to each server.
//
// # Usage
//
//	vw := plan.New(plan.Config{Routes: routes, Upstreams: directory, Self: self, Fleet: vms})
//	for _, up := range vw.Candidates("members-07") { ... }
//	limits := vw.Limits(up)
//	vw = vw.WithRoutes(newer)
//
// A View is immutable; requests read it through one atomic pointer.
//
// # Connections
//
// A server accepts a fixed number of connections from all VMs together and resets any beyond
// that. Every VM computes the same division from its own list of VMs, without coordination. If
// there are enough connections, each VM gets the same number. If there are fewer connections
// than VMs, the VMs of the server's own data centre come first and the rest goes to other VMs by
// rank. The ranking is rotated from server to server, so that each VM has a second server for
// most shards. One eighth of the connections is reserved for VMs that have just started and for
// VMs whose lists of VMs differ.
package plan
