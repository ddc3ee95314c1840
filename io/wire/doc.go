// Package wire holds the JSON messages that cross the borders of a VM: those of
// callers, operators, upstreams and the platform. It has no behaviour of its
// own beyond naming the routes and refusing what would harm whoever decodes it, so that clients, servers and stand-ins cannot
// drift apart.
//
// # Usage
//
// Encode a request, post it to the route named beside it, decode the reply:
//
//	body, err := json.Marshal(wire.SearchRequest{Team: "wash", Search: "kiosk"})
//
// Durations on the wire are whole milliseconds and end in Ms. Field names are
// camelCase. Receivers ignore fields they do not know, except where a document
// of the operators is read, which is strict.
package wire
