// Package upst is the client of upstream servers. It manages its own connections, so that it
// knows for each failure whether any byte of the request may have left this VM.
//
// # Usage
//
//	sv := upst.New(upst.Config{Addr: "127.0.0.1:9000", MaxConns: 4})
//	go upst.Maintain(ctx, upst.MaintainConfig{Servers: list, Count: count})
//	reply, err := sv.Search(ctx, req)
//	var ue *upst.Error
//	if errors.As(err, &ue) && !ue.Sent {
//		// the sub-request was not executed
//	}
//	sv.SetLimit(2)
//
// A connection carries one request at a time and is reused only after a complete reply. The
// package never retries: the search decides on retries.
//
// # Connections
//
// A request waits for a released or a newly opened connection, whichever comes first. The rate
// of openings is limited (core/warm), and a new connection is pinged before use, so that no
// request is lost on a connection that the server closes at once. Maintain closes connections
// that have gone silent (core/stall), pings idle ones, and keeps as many open as were needed
// recently.
//
// If a reply misses its deadline, the connection waits for it a little longer and discards it,
// so that the next request does not read it as its own.
package upst
