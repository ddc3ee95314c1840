package accept

import (
	"context"
	"net"

	"laburnumvane/core/lead"
)

type connKey struct{}

// Context carries the connection to its handlers; it has the signature of
// hertz's option OnAccept.
func Context(nc net.Conn) context.Context {
	return context.WithValue(context.Background(), connKey{}, nc)
}

// Begin marks the connection of ctx as busy until the returned function is
// called. It does nothing where ctx carries none.
func Begin(ctx context.Context) (end func()) {
	cn, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return func() {}
	}
	cn.add(1)
	return func() { cn.add(-1) }
}

// Trip tells how far the client of ctx is, and whether it opened its connection for
// the request at hand. It is nothing where ctx carries no connection.
func Trip(ctx context.Context) lead.Trip {
	cn, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return lead.Trip{}
	}
	cn.mu.Lock()
	fresh := cn.begins == 1
	cn.mu.Unlock()
	return lead.Trip{RoundTrip: cn.roundTrip(), Fresh: fresh}
}

func (cn *Conn) add(n int) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.running += n
	if n > 0 {
		cn.begins++
		// The request is here, however it was read; only a reply written
		// from now on is its own.
		cn.begun, cn.answered = true, false
	}
}
