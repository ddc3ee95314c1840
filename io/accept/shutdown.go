package accept

import "context"

// Server is what serves the connections of a listener.
type Server interface {
	IsRunning() bool
	Shutdown(ctx context.Context) error
}

// Shutdown closes idle connections, stops listening, and waits for requests
// under way or for the context's end.
func (ln *Listener) Shutdown(ctx context.Context, srv Server) error {
	ln.Drain()
	if !srv.IsRunning() {
		// The stop overtook the boot, and the library refuses it: without
		// a listener its Run ends as soon as it begins.
		_ = ln.Close()
		return nil
	}
	return srv.Shutdown(ctx)
}
