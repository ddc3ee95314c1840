package upst

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/io/wire"
)

// Config sets the connections to one server.
type Config struct {
	Addr string
	// MaxConns bounds the connections of this VM to the server.
	MaxConns int
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
}

// Server is one upstream server with this VM's connections to it.
type Server struct {
	cfg   Config
	slots chan struct{}
	open  atomic.Int64
	mu    sync.Mutex
	idle  []*conn
	shut  bool
}

// New makes a server without connections; they are opened when needed.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, slots: make(chan struct{}, cfg.MaxConns)}
}

// Addr is the server's address.
func (sv *Server) Addr() string {
	return sv.cfg.Addr
}

// Open is the number of open connections.
func (sv *Server) Open() int {
	return int(sv.open.Load())
}

// Search sends one sub-request. The error, where there is one, is an *Error.
func (sv *Server) Search(ctx context.Context, rq wire.ShardRequest) (wire.ShardReply, error) {
	var rp wire.ShardReply
	err := sv.post(ctx, wire.RouteShardSearch, rq, &rp)
	return rp, err
}

// Cancel asks the server to give up a sub-request.
func (sv *Server) Cancel(ctx context.Context, id string) error {
	var rp struct{}
	return sv.post(ctx, wire.RouteShardCancel, wire.CancelRequest{ID: id}, &rp)
}

// Load asks for the server's own account of itself.
func (sv *Server) Load(ctx context.Context) (wire.UpstreamStatus, error) {
	var rp wire.UpstreamStatus
	err := sv.call(ctx, consts.MethodGet, wire.RouteUpLoad, nil, &rp)
	return rp, err
}

// Close closes idle connections; those in use are closed after their exchange.
func (sv *Server) Close() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.shut = true
	for _, cn := range sv.idle {
		sv.drop(cn)
	}
	sv.idle = nil
}

func (sv *Server) post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &Error{Op: "upst.post", Kind: KindDecode, Addr: sv.cfg.Addr, Err: err}
	}
	return sv.call(ctx, consts.MethodPost, path, body, out)
}

func (sv *Server) call(ctx context.Context, method, path string, body []byte, out any) error {
	if err := sv.acquire(ctx); err != nil {
		return err
	}
	defer sv.release()
	cn, err := sv.take(ctx)
	if err != nil {
		return err
	}
	err = cn.exchange(ctx, method, path, body, out)
	if errors.Is(err, errClose) {
		sv.drop(cn)
		return nil
	}
	if err != nil {
		sv.drop(cn)
		return err
	}
	sv.put(cn)
	return nil
}

// acquire waits for the right to use a connection.
func (sv *Server) acquire(ctx context.Context) error {
	select {
	case sv.slots <- struct{}{}:
		return nil
	default:
	}
	select {
	case sv.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return &Error{Op: "upst.acquire", Kind: KindNoConn, Addr: sv.cfg.Addr, Err: ctx.Err()}
	}
}

func (sv *Server) release() {
	<-sv.slots
}

// take returns the idle connection used last, so that the others go stale and
// can be closed, or opens one.
func (sv *Server) take(ctx context.Context) (*conn, error) {
	sv.mu.Lock()
	if n := len(sv.idle); n > 0 {
		cn := sv.idle[n-1]
		sv.idle = sv.idle[:n-1]
		sv.mu.Unlock()
		return cn, nil
	}
	sv.mu.Unlock()
	cn, err := dial(ctx, sv.cfg.Addr, sv.cfg.DialTimeout)
	if err != nil {
		return nil, err
	}
	sv.open.Add(1)
	return cn, nil
}

func (sv *Server) put(cn *conn) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.shut {
		sv.drop(cn)
		return
	}
	sv.idle = append(sv.idle, cn)
}

func (sv *Server) drop(cn *conn) {
	cn.close()
	sv.open.Add(-1)
}
