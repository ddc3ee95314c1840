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

// Server is a guarded HTTP server that can shut down without aborting requests. Its handlers must
// call accept.BeginRequest.
type Server struct {
	// Routes is where handlers are registered, before Serve.
	Routes *server.Hertz
	ln     *accept.Listener
	name   string
}

// NewServer returns a Server on a listener; the name appears in its errors.
func NewServer(name string, ln net.Listener, cfg Config, extra ...config.Option) *Server {
	sv := &Server{ln: accept.New(Listen(ln, cfg)), name: name}
	opts := []config.Option{server.WithOnAccept(accept.Context), server.WithExitWaitTime(exitWaitTime)}
	sv.Routes = New(sv.ln, cfg, append(opts, extra...)...)
	return sv
}

// Serve serves until Shutdown.
func (sv *Server) Serve() error {
	return errs.Wrap(sv.Routes.Run(), sv.name+".Serve")
}

// Shutdown closes idle connections, stops listening and waits for the requests in progress, at
// most until ctx ends.
func (sv *Server) Shutdown(ctx context.Context) error {
	return errs.Wrap(sv.ln.Shutdown(ctx, sv.Routes), sv.name+".Shutdown")
}

// Accepted reports whether any client has ever connected.
func (sv *Server) Accepted() bool {
	return sv.ln.Accepted()
}

// Abort closes the listener and all connections at once, as a crash of the VM does.
func (sv *Server) Abort() {
	sv.ln.Abort()
}
