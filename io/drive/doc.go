// Package drive runs callers' searches on a VM. It reads the team's configuration from the
// published view, checks tickets, and performs the actions of the search state machine.
//
// # Usage
//
//	dr := drive.New(drive.Config{View: published.Load, Upstream: servers.Of, ...})
//	answer := dr.Search(ctx, request)
//
// Answers, requests and events own their memory: a sub-request may outlive its search, and a
// search the HTTP handler that started it, while the HTTP library reuses its buffers.
//
// A Driver is safe for concurrent use. Each search has one goroutine that owns its state machine.
// Sub-requests run on the worker pool and pass their events through a mailbox, so that they never
// wait for a search that has already been answered.
package drive
