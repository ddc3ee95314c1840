// Package wire has the JSON messages and routes of a VM's external interfaces: those to callers,
// operators, upstream servers and the platform. Clients, servers and emulated services share them,
// so that they cannot diverge. Apart from that the package only rejects input that would harm its
// decoder.
//
// # Usage
//
// Encode a request, post it to the route named beside it, decode the reply:
//
//	body, err := json.Marshal(wire.SearchRequest{Team: "wash", Search: "kiosk"})
//
// Durations are whole milliseconds, in fields whose names end in Ms. Field names are camelCase.
// Receivers ignore unknown fields, except in the operators' documents.
package wire
