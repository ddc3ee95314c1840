// Package drive takes callers' searches through a VM: it reads the team's
// configuration from the published view, judges tickets, and performs what the
// search machine decides.
//
// # Usage
//
//	dr := drive.New(drive.Config{View: published.Load, Upstream: servers.Of, ...})
//	answer := dr.Search(ctx, request)
//
// Answers, requests and events hold memory of their own: a sub-request may
// outlive the search, and a search the handler that brought it, while the HTTP
// library recycles its buffers.
//
// A Driver is used from many goroutines at once. Each search has one goroutine
// that owns its machine; sub-requests run on the worker pool and hand their
// events over through a mailbox, so that none of them ever waits for a search
// that has already been answered.
package drive
