// Package poison tells requests apart that crash the servers which run them, and keeps what
// is known of each.
//
// # Usage
//
//	tb := poison.New()
//	fp := poison.Of(poison.Request{Method: "GET", Host: host, URI: uri, Fields: fields})
//	switch st, _ := tb.Arrive(now, fp); st {
//	case poison.Blocked: // refuse it
//	case poison.Suspect: // try it at one server first
//	}
//
// An attempt that a server broke is told with Broken, a server's end with Ended, in any
// order; a trial stands between BeginTrial and EndTrial. Answered clears a request. What the
// updates that come of it say is logged, and told to other VMs where Share is set; they take
// it in with Learn, or sooner with Hint.
package poison
