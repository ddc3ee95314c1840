package emul

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"laburnumvane/io/wire"
)

const (
	loopbackHost    = "127.0.0.1"
	anyLoopbackPort = loopbackHost + ":0"
	maxBody         = 4 << 20 // bytes; above the key-value service's own limit
	contentJSON     = "application/json"
)

// loopback returns the loopback address with the port first+offset, or with a free port if
// first is 0.
func loopback(first, offset int) string {
	if first == 0 {
		return anyLoopbackPort
	}
	return net.JoinHostPort(loopbackHost, strconv.Itoa(first+offset))
}

func orLoopback(addr string) string {
	if addr == "" {
		return anyLoopbackPort
	}
	return addr
}

// host is one run of an HTTP server: it is closed once and not reused.
type host struct {
	listener  *faultListener
	ctx       context.Context // ends with the server; handlers wait on it
	cancel    context.CancelFunc
	serveDone chan struct{} // closed when the accept loop has returned

	mu     sync.Mutex
	closed bool
	active sync.WaitGroup
}

type route struct {
	method string
	path   string
	handle app.HandlerFunc
}

// startHost serves the routes on addr until close.
func startHost(addr string, setup func(*faultListener), routes []route) (*host, error) {
	li, err := openListener(addr)
	if err != nil {
		return nil, err
	}
	setup(li)
	ho := &host{listener: li, serveDone: make(chan struct{})}
	ho.ctx, ho.cancel = context.WithCancel(context.Background())
	hz := server.New(
		server.WithListener(li),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxBody),
		// A silent connection must stay open until the client closes it; the library's
		// timeouts would end the fault after some minutes.
		server.WithReadTimeout(0),
		server.WithIdleTimeout(0),
		server.WithDisablePrintRoute(true),
	)
	for _, rt := range routes {
		hz.Handle(rt.method, rt.path, ho.trackActive(rt.handle))
	}
	go func() {
		defer close(ho.serveDone)
		_ = hz.Run() // returns once the listener is closed
	}()
	return ho, nil
}

// trackActive counts running handlers, so that close can wait for them. It closes the
// connection of a request that arrives after close.
func (ho *host) trackActive(next app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, rc *app.RequestContext) {
		if !ho.addActive() {
			_ = rc.GetConn().Close()
			return
		}
		defer ho.active.Done()
		next(ctx, rc)
	}
}

func (ho *host) addActive() bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.closed {
		return false
	}
	ho.active.Add(1)
	return true
}

// close closes the listener and all connections and waits for the handlers.
func (ho *host) close() {
	ho.mu.Lock()
	ho.closed = true
	ho.mu.Unlock()
	_ = ho.listener.Listener.Close()
	ho.cancel()
	<-ho.serveDone
	ho.listener.closeAll()
	ho.active.Wait()
}

func (ho *host) addr() string { return ho.listener.Addr().String() }

// silenceConn makes the connection of a request go silent permanently.
func (ho *host) silenceConn(rc *app.RequestContext) {
	if fc := ho.listener.findConn(rc.RemoteAddr()); fc != nil {
		fc.silent.Store(true)
	}
}

// decode decodes the body. On failure it returns false and the reply is already written. The
// result shares no memory with the request buffer, which is reused.
func decode[Q any](rc *app.RequestContext) (Q, bool) {
	var rq Q
	if err := json.Unmarshal(rc.Request.Body(), &rq); err != nil {
		replyError(rc, http.StatusBadRequest, reasonMalformed, err.Error())
		return rq, false
	}
	return rq, true
}

func reply(rc *app.RequestContext, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		rc.String(http.StatusInternalServerError, err.Error())
		return
	}
	rc.Data(status, contentJSON, raw)
}

func replyError(rc *app.RequestContext, status int, reason, message string) {
	reply(rc, status, wire.ErrorReply{Error: message, Reason: reason})
}
