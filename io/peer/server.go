package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/core/errs"
	"laburnumvane/io/accept"
	"laburnumvane/io/inner"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	maxBodyBytes  = 8 << 20
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Listener net.Listener
	Service  inner.Peer
}

// Server serves the inner protocol.
type Server struct {
	cfg  ServerConfig
	ln   *accept.Listener
	http *http.Server
}

// NewServer returns a server, which Serve starts.
func NewServer(cfg ServerConfig) *Server {
	tw := inner.NewPeerServer(cfg.Service)
	mux := http.NewServeMux()
	mux.Handle(tw.PathPrefix(), withoutDate(http.MaxBytesHandler(tw, maxBodyBytes)))
	return &Server{
		cfg: cfg,
		ln:  accept.New(cfg.Listener),
		http: &http.Server{
			Handler:           mux,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
		},
	}
}

// Serve serves until Shutdown, Abort or Close, and returns nil then.
func (sr *Server) Serve() error {
	err := sr.http.Serve(sr.ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errs.Wrap(err, "peer.Serve")
}

// Shutdown stops accepting requests and waits for those in flight. It closes idle connections
// itself, because net/http waits 5 s for a connection that was opened and never used, and
// net/http's client leaves such connections behind.
func (sr *Server) Shutdown(ctx context.Context) error {
	sr.ln.Drain()
	return errs.Wrap(sr.http.Shutdown(ctx), "peer.Shutdown")
}

// Bytes returns the number of bytes read and written so far.
func (sr *Server) Bytes() (in, out int64) {
	return sr.ln.Bytes()
}

// Abort closes the listener and all connections, as if the VM was killed.
func (sr *Server) Abort() {
	sr.ln.Abort()
	// The listener is already closed, so an error does not matter.
	_ = sr.http.Close()
}

// Close closes the listener and all connections.
func (sr *Server) Close() error {
	return errs.Wrap(sr.http.Close(), "peer.Close")
}
