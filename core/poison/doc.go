// Package poison identifies requests that crash the servers which run them, and records what this
// VM knows about each.
//
// # Usage
//
//	tb := poison.New()
//	fp := poison.FingerprintOf(poison.Request{Method: "GET", Host: host, URI: uri, Fields: fields})
//	switch st, _ := tb.Arrive(now, fp); st {
//	case poison.Blocked: // refuse it
//	case poison.Suspect: // try it at one server first
//	}
//
// Call RecordBroken for an attempt whose connection the server ended, and RecordServerEnd once a
// server's process has ended, in any order; enclose a trial in BeginTrial and EndTrial.
// RecordAnswer clears a request. The updates that these return are to be logged, and sent to other
// VMs where Share is set; those pass them to Merge, or, if they arrive as a hint ahead of the
// store, to Hint.
package poison
