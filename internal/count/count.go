// Package count counts the bytes of connections in tests and benchmarks.
//
// # Usage
//
//	cl := count.New(ln)
//	// serve on cl, send requests, then:
//	n := cl.Bytes()
package count

import (
	"net"
	"sync/atomic"
)

// Listener counts the bytes of all its connections, in both directions.
type Listener struct {
	net.Listener
	bytes atomic.Int64
}

// New returns a listener that counts the bytes of the connections that ln accepts.
func New(ln net.Listener) *Listener { return &Listener{Listener: ln} }

// Bytes returns the number of bytes so far.
func (li *Listener) Bytes() int64 { return li.bytes.Load() }

// Accept waits for the next connection.
func (li *Listener) Accept() (net.Conn, error) {
	cn, err := li.Listener.Accept()
	return &conn{Conn: cn, bytes: &li.bytes}, err
}

type conn struct {
	net.Conn
	bytes *atomic.Int64
}

func (co *conn) Read(p []byte) (int, error) {
	n, err := co.Conn.Read(p)
	co.bytes.Add(int64(n))
	return n, err
}

func (co *conn) Write(p []byte) (int, error) {
	n, err := co.Conn.Write(p)
	co.bytes.Add(int64(n))
	return n, err
}
