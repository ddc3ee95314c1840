// Package guard makes the HTTP listeners that face callers and operators safe
// to expose: whatever a client sends or fails to send, it gets one clear error
// in JSON within a bounded time and nothing of it is held on to.
//
// # Usage
//
//	cfg := guard.Config{MaxBody: 1 << 20, RequestTime: 10 * time.Second}
//	hz := guard.New(guard.Listen(ln, cfg), cfg)
//	hz.POST("/v1/search", handler)
//	err := hz.Run()
//
// In a handler, guard.Body checks the content type and gives the body;
// guard.DecodeError and guard.BadField put what is wrong with it into the form
// of all errors, and guard.Refuse answers with one.
//
// # What it bounds
//
// A whole request, from its first byte to its last, has RequestTime; so has a
// new connection that sends nothing. The library bounds each read alone, and
// the first request of a connection not at all, so that a client which sends a
// byte now and then would hold a connection for ever. An idle connection is
// closed after RequestTime too. Each write of an answer has WriteTime. Bodies
// are bounded by MaxBody, headers by MaxHeader.
//
// A client that closes its sending side is taken as gone, as by most HTTP
// servers: its request's context ends.
package guard
