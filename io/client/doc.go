// Package client is the client of a VM: Caller runs searches, Operator reads and changes
// configuration, Gateway reads the use of client accounts on a VM of gateway.
//
// # Usage
//
//	clr, err := client.NewCaller(client.Config{URL: "http://127.0.0.1:8080"})
//	ans, err := clr.Search(ctx, wire.SearchRequest{Team: "wash", Search: "kiosk"})
//
// An answer to a search is not an error, whatever its outcome: see ans.Outcome. The same holds
// for a change that was not accepted: see Result. An error is always an *Error; its Kind says
// whether the request can have had an effect. KindUnreachable guarantees that no byte of the
// request left this process. KindUnknown means that some bytes may have been sent and that no
// usable reply came.
//
// Searches and changes are never sent a second time. The package uses net/http instead of the
// servers' HTTP library, whose client resends a PUT if a pooled connection turns out to be
// closed: a change that was accepted the first time would then be reported as a conflict with
// itself. A read may be resent on such a connection. Redirects are not followed, so that a token
// is only sent to the configured host, and no proxy is read from the environment.
//
// Each call is limited by the context's deadline and by Config.Timeout, whichever is earlier.
package client
