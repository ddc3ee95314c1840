package accept

import (
	"context"
	"net"

	"laburnumvane/core/lead"
)

type connKey struct{}

// Context returns a context that carries the connection to its handlers; it has the signature
// of hertz's option OnAccept.
func Context(nc net.Conn) context.Context {
	return context.WithValue(context.Background(), connKey{}, nc)
}

// BeginRequest marks the connection of ctx as busy until the returned function is called. It does
// nothing if ctx carries no connection.
func BeginRequest(ctx context.Context) (end func()) {
	cn, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return func() {}
	}
	cn.addHandlers(1)
	return func() { cn.addHandlers(-1) }
}

// ClientPath returns what is known of the network path to the client of ctx, and whether the
// client opened its connection for the current request. It returns the zero value if ctx
// carries no connection.
func ClientPath(ctx context.Context) lead.Path {
	cn, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return lead.Path{}
	}
	cn.mu.Lock()
	first := cn.requests == 1
	cn.mu.Unlock()
	return lead.Path{RoundTrip: cn.roundTrip(), FirstRequest: first}
}

func (cn *Conn) addHandlers(n int) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.handlers += n
	if n > 0 {
		cn.requests++
		// The request has arrived, however it was read; only a reply written from now on is its
		// own.
		cn.inRequest, cn.answered = true, false
	}
}
