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
	DefaultDialTimeout   = 2 * time.Second
	DefaultPingAfterOnce = time.Second
	DefaultPingAfter     = 15 * time.Second
	DefaultPingTimeout   = 250 * time.Millisecond
	DefaultIdleClose     = time.Minute
)

const (
	// minSendTime is the time left below which a request is not sent, because the server
	// could not answer in time.
	minSendTime = time.Millisecond
	// pingTimeDivisor limits a ping before a request to this fraction of the time left.
	pingTimeDivisor = 4
	// callTimeout limits exchanges whose context has no deadline.
	callTimeout = 30 * time.Second
	// cancelTimeout limits the exchange that cancels a sub-request.
	cancelTimeout = time.Second
)

// Config configures the connections to one server. Addr and MaxConns are required; other fields
// have defaults.
type Config struct {
	Addr string
	// MaxConns is the initial limit of this VM's connections to the server; SetLimit changes
	// it.
	MaxConns int
	// MinConns is the number of connections kept open without demand.
	MinConns int
	// DialTimeout limits the opening of a connection, including its first ping.
	DialTimeout time.Duration
	// PingAfterOnce is the time since a connection's last answer after which SearchOnce pings
	// before it sends.
	PingAfterOnce time.Duration
	// PingAfter is the same for all requests. It is also the interval at which idle
	// connections are pinged in the background.
	PingAfter time.Duration
	// PingTimeout limits a ping before a request.
	PingTimeout time.Duration
	// IdleClose is how long an unneeded connection stays open.
	IdleClose time.Duration
	// Clock returns the time since a fixed start; nil means real time. Deadlines of exchanges
	// always use real time.
	Clock func() time.Duration
	// Seed seeds the jitter of the backoff between openings.
	Seed uint64
}

func (cf Config) withDefaults() Config {
	cf.DialTimeout = orDefault(cf.DialTimeout, DefaultDialTimeout)
	cf.PingAfterOnce = orDefault(cf.PingAfterOnce, DefaultPingAfterOnce)
	cf.PingAfter = orDefault(cf.PingAfter, DefaultPingAfter)
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

// New returns a server without connections. They are opened when needed, or by MaintainOnce.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	return &Server{cfg: cfg, pool: newPool(cfg)}
}

// Addr returns the server's address.
func (sv *Server) Addr() string {
	return sv.cfg.Addr
}

// Open returns the number of open connections.
func (sv *Server) Open() int {
	return sv.pool.openCount()
}

// Limit returns the limit of connections.
func (sv *Server) Limit() int {
	return sv.pool.limit()
}

// SetLimit replaces the limit of connections. Connections over the limit are closed, idle ones
// at once and others when their exchange ends.
func (sv *Server) SetLimit(n int) {
	sv.pool.setLimit(n)
}

// Search sends one sub-request. The server is sent the time that is left until the context's
// deadline after waiting for a connection. Any error is an *Error.
func (sv *Server) Search(ctx context.Context, rq wire.ShardRequest) (wire.ShardReply, error) {
	return sv.search(ctx, rq, sv.cfg.PingAfter)
}

// SearchOnce sends a sub-request that must not be executed twice. It uses only a connection with
// a recent answer, or pings first; see Config.PingAfterOnce.
func (sv *Server) SearchOnce(ctx context.Context, rq wire.ShardRequest) (wire.ShardReply, error) {
	return sv.search(ctx, rq, min(sv.cfg.PingAfterOnce, sv.cfg.PingAfter))
}

func (sv *Server) search(ctx context.Context, rq wire.ShardRequest, maxAge time.Duration) (wire.ShardReply, error) {
	var rp wire.ShardReply
	at := deadlineOf(ctx)
	cn, err := sv.takeAnswered(ctx, at, maxAge)
	if err != nil {
		return rp, err
	}
	left := time.Until(at)
	if left < minSendTime {
		sv.pool.put(cn)
		return rp, sv.unsent("upst.Search", KindExpired, context.DeadlineExceeded)
	}
	rq.DeadlineMs = left.Milliseconds()
	body, err := json.Marshal(rq)
	if err != nil {
		sv.pool.put(cn)
		return rp, sv.unsent("upst.Search", KindDecode, err)
	}
	err = sv.exchange(cn, at, message{consts.MethodPost, wire.RouteShardSearch, body}, &rp)
	sv.pool.cancels.remove(rq.ID)
	return rp, err
}

// Cancel asks the server to cancel a sub-request. It neither blocks nor opens a connection: the
// message is sent on an idle connection, or on the first one released. If none is released in
// time, the sub-request ends at its deadline.
func (sv *Server) Cancel(id string) {
	sv.pool.cancel(id)
}

// RequirePing makes each connection need an answer later than now, usually to a ping, before its
// next use. It is called when connections to other servers were found silent.
func (sv *Server) RequirePing() {
	sv.pool.mu.Lock()
	defer sv.pool.mu.Unlock()
	sv.pool.requirePing()
}

// Load requests the server's own report of its state and load.
func (sv *Server) Load(ctx context.Context) (wire.UpstreamStatus, error) {
	var rp wire.UpstreamStatus
	at := deadlineOf(ctx)
	cn, err := sv.takeAnswered(ctx, at, sv.cfg.PingAfter)
	if err != nil {
		return rp, err
	}
	err = sv.exchange(cn, at, message{consts.MethodGet, wire.RouteUpLoad, nil}, &rp)
	return rp, err
}

// Close closes idle connections; those in use are closed after their exchange.
func (sv *Server) Close() {
	sv.pool.close()
}

// exchange performs one exchange and gives the connection back.
func (sv *Server) exchange(cn *conn, at time.Time, ms message, out any) error {
	sv.pool.beginExchange(cn, time.Until(at))
	cs, err := cn.exchange(at, ms, out)
	sv.pool.endExchange(cn, cs)
	return err
}

// takeAnswered takes a connection whose last answer is less than maxAge old, or that answers a
// ping now.
func (sv *Server) takeAnswered(ctx context.Context, at time.Time, maxAge time.Duration) (*conn, error) {
	for {
		cn, err := sv.pool.take(ctx)
		if err != nil {
			return nil, err
		}
		if sv.pool.answeredWithin(cn, maxAge) {
			return cn, nil
		}
		left := min(sv.cfg.PingTimeout, time.Until(at)/pingTimeDivisor)
		if sv.pool.ping(cn, left) {
			return cn, nil
		}
		// If one idle connection is dead, the others without a later answer probably
		// are too: close them and open a new one rather than ping each in turn.
		sv.pool.closeIdleUpTo(cn.answeredAt)
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
