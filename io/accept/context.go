package accept

import (
	"context"
	"net"
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

func (cn *Conn) add(n int) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.running += n
	if n > 0 {
		// The request is here, however it was read; only a reply written
		// from now on is its own.
		cn.begun, cn.answered = true, false
	}
}
