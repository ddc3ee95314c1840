// Package guard makes the HTTP listeners for callers and operators safe to expose: whatever a
// client sends or fails to send, it gets one clear JSON error within a bounded time, and its
// connection and memory are released.
//
// # Usage
//
//	cfg := guard.Config{MaxBody: 1 << 20, RequestTime: 10 * time.Second}
//	hz := guard.New(guard.Listen(ln, cfg), cfg)
//	hz.POST("/v1/search", handler)
//	err := hz.Run()
//
// In a handler, guard.Body checks the content type and returns the body;
// guard.DecodeError and guard.BadField describe what is wrong with it in the common error
// format, and guard.Refuse answers with such an error.
//
// # Limits
//
// RequestTime limits the time from the first to the last byte of a request, and the time that a
// new or idle connection may send nothing. The library limits each read alone, and does not
// limit the first request of a connection, so that a client which sends a byte now and then could
// hold a connection indefinitely. WriteTime limits each write of an answer. MaxBody limits the
// size of bodies, and MaxHeader that of headers.
//
// A client that closes its sending side counts as disconnected, as with most HTTP servers: the
// context of its request ends.
package guard
