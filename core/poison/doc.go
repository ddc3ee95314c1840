// Package poison tells requests apart that crash the servers which run them.
//
// # Usage
//
//	fp := poison.Of(poison.Request{Method: "GET", Host: host, URI: uri, Fields: fields})
//	log(fp.String())
package poison
