package guard

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"

	"laburnumvane/core/fault"
	"laburnumvane/io/accept"
)

// exitBound only keeps the library's own bound, 5 s, from cutting off a request
// with a longer deadline; what bounds a stop is Shutdown's context.
const exitBound = time.Hour

// Door is a guarded listener that can stop without cutting off a request. Its
// handlers call accept.Begin.
type Door struct {
	// Routes takes the handlers, before Serve.
	Routes *server.Hertz
	ln     *accept.Listener
	name   string
}

// Open makes a door on a listener; name is in its errors.
func Open(name string, ln net.Listener, cfg Config, more ...config.Option) *Door {
	do := &Door{ln: accept.New(Listen(ln, cfg)), name: name}
	opts := []config.Option{server.WithOnAccept(accept.Context), server.WithExitWaitTime(exitBound)}
	do.Routes = New(do.ln, cfg, append(opts, more...)...)
	return do
}

// Serve serves until Shutdown.
func (do *Door) Serve() error {
	return fault.Wrap(do.Routes.Run(), do.name+".Serve")
}

// Shutdown closes idle connections, stops listening and waits for requests
// under way.
func (do *Door) Shutdown(ctx context.Context) error {
	return fault.Wrap(do.ln.Shutdown(ctx, do.Routes), do.name+".Shutdown")
}

// Accepted tells whether anybody ever connected.
func (do *Door) Accepted() bool {
	return do.ln.Accepted()
}

// Abort cuts off everything, as when the VM dies.
func (do *Door) Abort() {
	do.ln.Abort()
}
