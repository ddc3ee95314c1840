package upst

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"laburnumvane/io/wire"
)

// Defaults of a Config.
const (
	DefaultDialTimeout = 2 * time.Second
	DefaultProveOnce   = time.Second
	DefaultProveIdle   = 15 * time.Second
	DefaultPingTimeout = 250 * time.Millisecond
	DefaultIdleClose   = time.Minute
)

const (
	// leastSend is the time below which a request is not sent: the server
	// could not answer it in time.
	leastSend = time.Millisecond
	// proveShare is the part of the time left that proving may cost.
	proveShare = 4
	// callTimeout bounds exchanges whose context has no deadline.
	callTimeout = 30 * time.Second
	// cancelTimeout bounds a message that gives up a sub-request.
	cancelTimeout = time.Second
)

// Config sets the connections to one server. Addr and MaxConns are required;
// the rest takes defaults.
type Config struct {
	Addr string
	// MaxConns bounds the connections of this VM to the server until SetLimit.
	MaxConns int
	// Floor is the number of connections kept open without demand.
	Floor int
	// DialTimeout bounds the opening of a connection with its first ping.
	DialTimeout time.Duration
	// ProveOnce is the silence of a connection after which a request that must
	// not be repeated is preceded by a ping.
	ProveOnce time.Duration
	// ProveIdle is the same for any request. Idle connections are pinged in
	// the background that often.
	ProveIdle time.Duration
	// PingTimeout bounds a ping.
	PingTimeout time.Duration
	// IdleClose is how long a connection that is not needed stays open.
	IdleClose time.Duration
	// Clock tells the time since a fixed start; nil means real time. Deadlines
	// of exchanges always pass in real time.
	Clock func() time.Duration
	// Seed seeds the jitter of openings.
	Seed uint64
}

func (cf Config) withDefaults() Config {
	cf.DialTimeout = orDefault(cf.DialTimeout, DefaultDialTimeout)
	cf.ProveOnce = orDefault(cf.ProveOnce, DefaultProveOnce)
	cf.ProveIdle = orDefault(cf.ProveIdle, DefaultProveIdle)
	cf.PingTimeout = orDefault(cf.PingTimeout, DefaultPingTimeout)
	cf.IdleClose = orDefault(cf.IdleClose, DefaultIdleClose)
	if cf.Clock == nil {
		start := time.Now()
		cf.Clock = func() time.Duration { return time.Since(start) }
	}
	return cf
}

func orDefault(val, def time.Duration) time.Duration {
	if val == 0 {
		return def
	}
	return val
}

// Server is one upstream server with this VM's connections to it. It may be
// used from many goroutines.
type Server struct {
	cfg  Config
	pool *pool
}

// New makes a server without connections; they are opened when needed, or by
// Tick.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	return &Server{cfg: cfg, pool: newPool(cfg)}
}

// Addr is the server's address.
func (sv *Server) Addr() string {
	return sv.cfg.Addr
}

// Open is the number of open connections.
func (sv *Server) Open() int {
	return sv.pool.opened()
}

// Limit is the number of connections allowed.
func (sv *Server) Limit() int {
	return sv.pool.limit()
}

// SetLimit replaces the number of connections allowed. Those over it are closed
// when their exchange ends, idle ones at once.
func (sv *Server) SetLimit(n int) {
	sv.pool.setLimit(n)
}

// Search sends one sub-request. The context's deadline, less the time spent
// waiting for a connection, is told to the server. The error, where there is
// one, is an *Error.
func (sv *Server) Search(ctx context.Context, rq wire.ShardRequest) (wire.ShardReply, error) {
	return sv.search(ctx, rq, sv.cfg.ProveIdle)
}

// SearchOnce sends a sub-request that must not be repeated: only on a
// connection that has just been answered on, or is proved by a ping first.
func (sv *Server) SearchOnce(ctx context.Context, rq wire.ShardRequest) (wire.ShardReply, error) {
	return sv.search(ctx, rq, min(sv.cfg.ProveOnce, sv.cfg.ProveIdle))
}

func (sv *Server) search(ctx context.Context, rq wire.ShardRequest, prove time.Duration) (wire.ShardReply, error) {
	var rp wire.ShardReply
	at := deadlineOf(ctx)
	cn, err := sv.proven(ctx, at, prove)
	if err != nil {
		return rp, err
	}
	left := time.Until(at)
	if left < leastSend {
		sv.pool.put(cn)
		return rp, sv.unsent("upst.Search", KindExpired, context.DeadlineExceeded)
	}
	rq.DeadlineMs = left.Milliseconds()
	body, err := json.Marshal(rq)
	if err != nil {
		sv.pool.put(cn)
		return rp, sv.unsent("upst.Search", KindDecode, err)
	}
	err = sv.run(cn, at, message{consts.MethodPost, wire.RouteShardSearch, body}, &rp)
	sv.pool.cancels.forget(rq.ID)
	return rp, err
}

// Cancel asks the server to give up a sub-request. It never waits and never
// opens a connection: the message goes out on an idle one, or on the first that
// comes back; where none does in time, the sub-request's deadline ends it.
func (sv *Server) Cancel(id string) {
	sv.pool.cancel(id)
}

// Doubt has each connection proved before its next use that was not answered on
// since. Connections of other servers that were found silent are a reason.
func (sv *Server) Doubt() {
	sv.pool.mu.Lock()
	defer sv.pool.mu.Unlock()
	sv.pool.doubt()
}

// Load asks for the server's own account of itself.
func (sv *Server) Load(ctx context.Context) (wire.UpstreamStatus, error) {
	var rp wire.UpstreamStatus
	at := deadlineOf(ctx)
	cn, err := sv.proven(ctx, at, sv.cfg.ProveIdle)
	if err != nil {
		return rp, err
	}
	err = sv.run(cn, at, message{consts.MethodGet, wire.RouteUpLoad, nil}, &rp)
	return rp, err
}

// Close closes idle connections; those in use are closed after their exchange.
func (sv *Server) Close() {
	sv.pool.close()
}

// run performs one exchange and gives the connection back.
func (sv *Server) run(cn *conn, at time.Time, ms message, out any) error {
	sv.pool.begin(cn, time.Until(at))
	end, err := cn.exchange(at, ms, out)
	sv.pool.end(cn, end)
	return err
}

// proven takes a connection that was answered on less than prove ago, or is
// answered on now.
func (sv *Server) proven(ctx context.Context, at time.Time, prove time.Duration) (*conn, error) {
	for {
		cn, err := sv.pool.take(ctx)
		if err != nil {
			return nil, err
		}
		if sv.pool.proof(cn, prove) {
			return cn, nil
		}
		left := min(sv.cfg.PingTimeout, time.Until(at)/proveShare)
		if sv.pool.ping(cn, left) {
			return cn, nil
		}
		// What took the state of one idle connection has likely taken that
		// of the others: have a new one rather than try each in turn.
		sv.pool.dropIdle(cn.proved)
	}
}

func (sv *Server) unsent(op string, kind Kind, err error) error {
	return &Error{Op: op, Kind: kind, Addr: sv.cfg.Addr, Err: err}
}

func deadlineOf(ctx context.Context) time.Time {
	if at, ok := ctx.Deadline(); ok {
		return at
	}
	return time.Now().Add(callTimeout)
}
