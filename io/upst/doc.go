// Package upst talks to upstream servers over connections of its own, so that
// it can tell for each failure whether any byte of the request left this VM.
//
// # Usage
//
//	sv := upst.New(upst.Config{Addr: "127.0.0.1:9000", MaxConns: 4})
//	go upst.Keep(ctx, upst.KeepConfig{Servers: list, Count: count})
//	reply, err := sv.Search(ctx, req)
//	var ue *upst.Error
//	if errors.As(err, &ue) && !ue.Sent {
//		// it did not run
//	}
//	sv.SetLimit(2)
//
// A connection carries one request at a time and is used again only after a
// whole reply. Nothing here tries again on its own: retries are decided by the
// search.
//
// # Connections
//
// Requests wait for whichever comes first: a connection given back or one newly
// opened. Openings are bounded and proved by a ping (core/warm), so that a
// server which refuses one more costs no request. Keep closes connections that
// have gone silent (core/stall), pings idle ones, and keeps as many open as
// were needed lately.
//
// A reply that does not come before its deadline is waited for a little longer
// on its connection, and dropped: the next request must not read it.
package upst
