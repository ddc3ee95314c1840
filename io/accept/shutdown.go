package accept

import "context"

// Server is the server that handles the connections of a listener.
type Server interface {
	IsRunning() bool
	Shutdown(ctx context.Context) error
}

// Shutdown closes idle connections, stops listening, and waits until all requests have ended or
// the context ends.
func (ln *Listener) Shutdown(ctx context.Context, srv Server) error {
	ln.Drain()
	if !srv.IsRunning() {
		// The stop came before the server had started, and the library refuses Shutdown then.
		// Without a listener its Run returns as soon as it starts.
		_ = ln.Close()
		return nil
	}
	return srv.Shutdown(ctx)
}
