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
	DefaultMaxBody     = 4 << 10
)

// Config configures the limits. All fields have defaults.
type Config struct {
	// MaxBody is the maximum size of a request's body, in bytes. The default is for listeners whose
	// requests need no body.
	MaxBody int
	// MaxHeader is the maximum size of a request's headers, in bytes.
	MaxHeader int
	// RequestTime limits how long a request takes to arrive, and how long an idle connection
	// is kept.
	RequestTime time.Duration
	// Times, if set, overrides RequestTime. It is called for each request, for limits that
	// change while the listener is open.
	Times func() Times
	// WriteTime limits each write of an answer.
	WriteTime time.Duration
	// HandlersCheckFraming is set if the handlers read all headers and check Framing themselves.
	HandlersCheckFraming bool
	// Refused is called for each refusal, with its reason; it may be nil.
	Refused func(reason string)
	// Panicked is called for each panic of a handler; it may be nil.
	Panicked func(value any, stack []byte)
}

// Times are the time limits for clients.
type Times struct {
	// Request is how long a request may take to arrive.
	Request time.Duration
	// Idle is how long a connection is kept without a request.
	Idle time.Duration
}

// maxLibraryTimeout replaces the library's own time limits if Times sets the limits.
const maxLibraryTimeout = time.Hour

// Listen returns a listener that applies the limits to all its connections.
func Listen(ln net.Listener, cfg Config) net.Listener {
	return &listener{Listener: ln, cfg: cfg.withDefaults()}
}

// New returns the library's server on a listener from Listen, or on one that wraps it. The caller
// adds the routes.
func New(ln net.Listener, cfg Config, extra ...config.Option) *server.Hertz {
	cfg = cfg.withDefaults()
	opts := []config.Option{
		server.WithListener(ln),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(cfg.MaxBody),
		server.WithMaxHeaderBytes(cfg.MaxHeader),
		server.WithReadTimeout(cfg.RequestTime),
		server.WithIdleTimeout(cfg.RequestTime),
		// This ends the context of a request whose client has disconnected. It also sets
		// the deadlines by which conn distinguishes a handler's answer from the library's.
		server.WithSenseClientDisconnection(true),
		// Parsed forms would be written to disk, and VMs have none.
		server.WithDisablePreParseMultipartForm(true),
		server.WithRedirectTrailingSlash(false),
		server.WithHandleMethodNotAllowed(true),
		server.WithDisablePrintRoute(true),
	}
	hz := server.New(append(opts, extra...)...)
	hz.Use(countRefusals(cfg.Refused), recoverPanics(cfg.Panicked), checkHost)
	if !cfg.HandlersCheckFraming {
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
		cfg.RequestTime = maxLibraryTimeout
	}
	if cfg.WriteTime <= 0 {
		cfg.WriteTime = DefaultWriteTime
	}
	if cfg.MaxBody <= 0 {
		// The library takes 0 for no limit, and allocates what a request claims.
		cfg.MaxBody = DefaultMaxBody
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

// countRefusals is middleware that passes the reason of each refusal to refused.
func countRefusals(refused func(string)) app.HandlerFunc {
	return func(ctx context.Context, rc *app.RequestContext) {
		rc.Next(ctx)
		if reason := rc.GetString(keyReason); reason != "" {
			refused(reason)
		}
	}
}

// recoverPanics is middleware that answers a request whose handler panicked, so that the panic
// does not end the process with all other requests. What the request has done before is unknown.
func recoverPanics(panicked func(any, []byte)) app.HandlerFunc {
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

// checkHost is middleware that refuses requests without a host or path. For these the library sets
// the status, runs the handlers, and adds a plain text if none of them answered.
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
		allowed := allowedMethods(eng.Routes(), string(rc.Path()))
		rc.Header("Allow", strings.Join(allowed, ", "))
		Refuse(rc, consts.StatusMethodNotAllowed, wire.ErrorReply{
			Error:  "the route takes " + strings.Join(allowed, " and ") + " only",
			Reason: ReasonNoMethod,
		})
	}
}

func allowedMethods(routes route.RoutesInfo, path string) []string {
	var methods []string
	for _, ri := range routes {
		if matches(ri.Path, path) {
			methods = append(methods, ri.Method)
		}
	}
	return methods
}

// matches reports whether a path matches a route whose parameters begin with a colon.
func matches(pattern, path string) bool {
	want, got := strings.Split(pattern, "/"), strings.Split(path, "/")
	if len(want) != len(got) {
		return false
	}
	for i, part := range want {
		if !strings.HasPrefix(part, ":") && part != got[i] {
			return false
		}
	}
	return true
}
