package guard

import (
	"context"
	"net"
	"runtime/debug"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/route"

	"laburnumvane/io/wire"
)

// Defaults of a Config.
const (
	DefaultRequestTime = 10 * time.Second
	DefaultWriteTime   = 10 * time.Second
	DefaultMaxHeader   = 16 << 10
)

// Config sets the bounds. All but MaxBody have defaults.
type Config struct {
	// MaxBody bounds a request's body, in bytes.
	MaxBody int
	// MaxHeader bounds a request's headers, in bytes.
	MaxHeader int
	// RequestTime bounds how long a request takes to arrive, and how long a
	// connection is kept without one.
	RequestTime time.Duration
	// Times, if set, goes before RequestTime and is asked anew for each
	// request, for bounds that change while the listener is open.
	Times func() Times
	// WriteTime bounds each write of an answer.
	WriteTime time.Duration
	// OwnFraming is set where the handlers read all headers, and check Framing
	// themselves.
	OwnFraming bool
	// Refused is told of each refusal, with its reason; it may be nil.
	Refused func(reason string)
	// Panicked is told of each panic of a handler; it may be nil.
	Panicked func(value any, stack []byte)
}

// Times bound what clients may take.
type Times struct {
	// Request is how long a request may take to arrive.
	Request time.Duration
	// Idle is how long a connection is kept without one.
	Idle time.Duration
}

// longest stands in for the library's own bounds where Times sets them.
const longest = time.Hour

// Listen puts the bounds on all connections of a listener.
func Listen(ln net.Listener, cfg Config) net.Listener {
	return &listener{Listener: ln, cfg: cfg.withDefaults()}
}

// New makes the library's server on a listener that Listen made, or on one
// around that. Routes are added by the caller.
func New(ln net.Listener, cfg Config, more ...config.Option) *server.Hertz {
	cfg = cfg.withDefaults()
	opts := []config.Option{
		server.WithListener(ln),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(cfg.MaxBody),
		server.WithMaxHeaderBytes(cfg.MaxHeader),
		server.WithReadTimeout(cfg.RequestTime),
		server.WithIdleTimeout(cfg.RequestTime),
		// Besides ending the context of a client that went away, this sets the
		// deadlines by which conn tells a handler's answer from the library's.
		server.WithSenseClientDisconnection(true),
		// Forms would be written to a disk that VMs do not have.
		server.WithDisablePreParseMultipartForm(true),
		server.WithRedirectTrailingSlash(false),
		server.WithHandleMethodNotAllowed(true),
		server.WithDisablePrintRoute(true),
	}
	hz := server.New(append(opts, more...)...)
	hz.Use(count(cfg.Refused), catch(cfg.Panicked), checkHost)
	if !cfg.OwnFraming {
		hz.Use(checkFraming)
	}
	hz.NoRoute(noRoute)
	hz.NoMethod(noMethod(hz.Engine))
	return hz
}

func (cfg Config) withDefaults() Config {
	if cfg.RequestTime <= 0 {
		cfg.RequestTime = DefaultRequestTime
	}
	if cfg.Times == nil {
		same := Times{Request: cfg.RequestTime, Idle: cfg.RequestTime}
		cfg.Times = func() Times { return same }
	} else {
		cfg.RequestTime = longest
	}
	if cfg.WriteTime <= 0 {
		cfg.WriteTime = DefaultWriteTime
	}
	if cfg.MaxHeader <= 0 {
		cfg.MaxHeader = DefaultMaxHeader
	}
	if cfg.Refused == nil {
		cfg.Refused = func(string) {}
	}
	if cfg.Panicked == nil {
		cfg.Panicked = func(any, []byte) {}
	}
	return cfg
}

// count tells of what Refuse answered with.
func count(refused func(string)) app.HandlerFunc {
	return func(ctx context.Context, rc *app.RequestContext) {
		rc.Next(ctx)
		if reason := rc.GetString(keyReason); reason != "" {
			refused(reason)
		}
	}
}

// catch keeps a fault that one request brings out from ending all others with
// the process. What the request has done by then is not known.
func catch(panicked func(any, []byte)) app.HandlerFunc {
	return func(ctx context.Context, rc *app.RequestContext) {
		defer func() {
			if value := recover(); value != nil {
				panicked(value, debug.Stack())
				Refuse(rc, consts.StatusInternalServerError, wire.ErrorReply{
					Error:  "a fault of this VM; whether the request had an effect is not known",
					Reason: ReasonInternal,
				})
			}
		}()
		rc.Next(ctx)
	}
}

// checkHost stands before all handlers: the library sets the status of a request
// without a host or path, runs them, and adds a plain text if none spoke.
func checkHost(ctx context.Context, rc *app.RequestContext) {
	if rc.Response.StatusCode() == consts.StatusBadRequest {
		rc.SetConnectionClose()
		Refuse(rc, consts.StatusBadRequest, wire.ErrorReply{Error: "the request has no host or no path", Reason: ReasonBadRequest})
		return
	}
	rc.Next(ctx)
}

func noRoute(_ context.Context, rc *app.RequestContext) {
	Refuse(rc, consts.StatusNotFound, wire.ErrorReply{Error: "there is no such route", Reason: ReasonNoRoute})
}

func noMethod(eng *route.Engine) app.HandlerFunc {
	return func(_ context.Context, rc *app.RequestContext) {
		allowed := allowedOn(eng.Routes(), string(rc.Path()))
		rc.Header("Allow", strings.Join(allowed, ", "))
		Refuse(rc, consts.StatusMethodNotAllowed, wire.ErrorReply{
			Error:  "the route takes " + strings.Join(allowed, " and ") + " only",
			Reason: ReasonNoMethod,
		})
	}
}

func allowedOn(routes route.RoutesInfo, path string) []string {
	var methods []string
	for _, ri := range routes {
		if matches(ri.Path, path) {
			methods = append(methods, ri.Method)
		}
	}
	return methods
}

// matches tells whether a path fits a route whose parameters begin with a colon.
func matches(pattern, path string) bool {
	ps, ss := strings.Split(pattern, "/"), strings.Split(path, "/")
	if len(ps) != len(ss) {
		return false
	}
	for i, part := range ps {
		if !strings.HasPrefix(part, ":") && part != ss[i] {
			return false
		}
	}
	return true
}
