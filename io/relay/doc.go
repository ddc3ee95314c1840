// Package relay sends requests to upstream servers over a pool of connections. For each failure
// it reports whether any byte of the request may have left this VM.
//
// # Usage
//
//	po := relay.New(relay.Config{Clock: clock, HeaderID: headerID})
//	po.Sync(directory, plan)
//	ca := po.Send(up, relay.Request{ID: id, Message: message, Done: done})
//	ca.Drop(time.Second)
//	po.Tick()
//
// # Matching responses to requests
//
// A connection carries one request at a time. A goroutine reads from it at all times, also
// while it is idle: unsolicited bytes close an idle connection, and a close by the server is
// noticed before a request is lost on it. A response counts only if it echoes the id of the
// current request. A response with another id is a late second response to an earlier request
// and is discarded. A connection on which the response came before the request was completely
// written is not reused, because the server would read the rest of that request as the next
// one.
//
// # Connections
//
// The plan passed to Sync sets the limits of the connections to each server, and how many are
// kept open without demand. A request that finds no free connection waits for the first one
// that is released or opened. Tick closes connections before the server's own timeout does, and
// opens those that the plan wants.
package relay
