// Package upst talks to upstream servers over connections of its own, so that
// it can tell for each failure whether any byte of the request left this VM.
//
// # Usage
//
//	sv := upst.New(upst.Config{Addr: "127.0.0.1:9000", MaxConns: 4, DialTimeout: time.Second})
//	reply, err := sv.Search(ctx, req)
//	var ue *upst.Error
//	if errors.As(err, &ue) && !ue.Sent {
//		// it did not run
//	}
//
// A connection carries one request at a time and is used again only after a
// whole reply. Nothing here tries again on its own: retries are decided by the
// search.
package upst
