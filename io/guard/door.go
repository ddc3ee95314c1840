package guard

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"

	"laburnumvane/core/errs"
	"laburnumvane/io/accept"
)

// exitWaitTime replaces the library's own limit of 5 s, which would abort requests with a longer
// deadline. Shutdown's context limits a shutdown.
const exitWaitTime = time.Hour

// Door is a guarded HTTP server that can shut down without aborting requests. Its handlers must
// call accept.Begin.
type Server struct {
	// Routes is where handlers are registered, before Serve.
	Routes *server.Hertz
	ln     *accept.Listener
	name   string
}

// Open returns a Door on a listener; the name appears in its errors.
func NewServer(name string, ln net.Listener, cfg Config, extra ...config.Option) *Server {
	do := &Server{ln: accept.New(Listen(ln, cfg)), name: name}
	opts := []config.Option{server.WithOnAccept(accept.Context), server.WithExitWaitTime(exitWaitTime)}
	do.Routes = New(do.ln, cfg, append(opts, extra...)...)
	return do
}

// Serve serves until Shutdown.
func (do *Server) Serve() error {
	return errs.Wrap(do.Routes.Run(), do.name+".Serve")
}

// Shutdown closes idle connections, stops listening and waits for the requests in progress, at
// most until ctx ends.
func (do *Server) Shutdown(ctx context.Context) error {
	return errs.Wrap(do.ln.Shutdown(ctx, do.Routes), do.name+".Shutdown")
}

// Accepted reports whether any client has ever connected.
func (do *Server) Accepted() bool {
	return do.ln.Accepted()
}

// Abort closes the listener and all connections at once, as a crash of the VM does.
func (do *Server) Abort() {
	do.ln.Abort()
}
