// Package client speaks to a VM from outside: Caller runs searches, Operator
// reads and changes configuration.
//
// # Usage
//
//	clr, err := client.NewCaller(client.Config{URL: "http://127.0.0.1:8080"})
//	ans, err := clr.Search(ctx, wire.SearchRequest{Team: "wash", Search: "kiosk"})
//
// An answer to a search is no error, whatever its outcome: look at
// ans.Outcome. The same holds for a change that was not accepted: look at
// Result. An error is always an *Error; its Kind says whether the request can
// have had an effect. KindUnreachable promises that not one byte of it left
// this process, KindUnknown that some may have and that no reply was
// understood.
//
// Searches and changes are never sent a second time. The package uses net/http
// rather than the library of the servers, whose client resends a PUT when a
// pooled connection turns out to be closed: a change that was taken the first
// time would then come back as a conflict with itself. A read may be resent on
// such a connection. Redirects are not followed, so a token goes to the
// configured host alone, and no proxy is read from the environment.
//
// A deadline on the context and Config.Timeout both bound a call; the earlier
// one wins.
package client
