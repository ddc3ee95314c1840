package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/core/fault"
	"laburnumvane/io/accept"
	"laburnumvane/io/inner"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	maxBodyBytes  = 8 << 20
)

// ServerConfig sets the inner listener.
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

// NewServer makes a server; Serve starts it.
func NewServer(cfg ServerConfig) *Server {
	tw := inner.NewPeerServer(cfg.Service)
	mux := http.NewServeMux()
	mux.Handle(tw.PathPrefix(), undated(http.MaxBytesHandler(tw, maxBodyBytes)))
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

// Serve serves until Shutdown or Close.
func (sr *Server) Serve() error {
	err := sr.http.Serve(sr.ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fault.Wrap(err, "peer.Serve")
}

// Shutdown stops taking requests and waits for those under way. Idle
// connections are closed here: net/http waits 5 s for one that was opened and
// has carried nothing yet, and its own client leaves such ones behind.
func (sr *Server) Shutdown(ctx context.Context) error {
	sr.ln.Drain()
	return fault.Wrap(sr.http.Shutdown(ctx), "peer.Shutdown")
}

// Bytes is what was read and written so far.
func (sr *Server) Bytes() (in, out int64) {
	return sr.ln.Bytes()
}

// Abort cuts off everything, as when the VM dies.
func (sr *Server) Abort() {
	sr.ln.Abort()
	// The listener is closed already.
	_ = sr.http.Close()
}

// Close cuts everything off.
func (sr *Server) Close() error {
	return fault.Wrap(sr.http.Close(), "peer.Close")
}
