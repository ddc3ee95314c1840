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

// loopback is the address so many ports after the first; 0 means a free port.
func loopback(first, after int) string {
	if first == 0 {
		return anyLoopbackPort
	}
	return net.JoinHostPort(loopbackHost, strconv.Itoa(first+after))
}

func orLoopback(addr string) string {
	if addr == "" {
		return anyLoopbackPort
	}
	return addr
}

// host is one life of an HTTP server: it is closed once and not reused.
type host struct {
	gate   *gate
	ctx    context.Context // ends with the server; handlers wait on it
	cancel context.CancelFunc
	ended  chan struct{} // closed when the accept loop has returned

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
func startHost(addr string, setup func(*gate), routes []route) (*host, error) {
	gt, err := openGate(addr)
	if err != nil {
		return nil, err
	}
	setup(gt)
	ho := &host{gate: gt, ended: make(chan struct{})}
	ho.ctx, ho.cancel = context.WithCancel(context.Background())
	hz := server.New(
		server.WithListener(gt),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxBody),
		// A silent connection must stay so until the other end gives it up; the
		// library's timeouts would end the fault after minutes.
		server.WithReadTimeout(0),
		server.WithIdleTimeout(0),
		server.WithDisablePrintRoute(true),
	)
	for _, rt := range routes {
		hz.Handle(rt.method, rt.path, ho.guard(rt.handle))
	}
	go func() {
		defer close(ho.ended)
		_ = hz.Run() // returns once the listener is closed
	}()
	return ho, nil
}

// guard counts running handlers, so that close can wait for them.
func (ho *host) guard(next app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, rc *app.RequestContext) {
		if !ho.enter() {
			_ = rc.GetConn().Close()
			return
		}
		defer ho.active.Done()
		next(ctx, rc)
	}
}

func (ho *host) enter() bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.closed {
		return false
	}
	ho.active.Add(1)
	return true
}

// close breaks the listener and all connections and waits for the handlers.
func (ho *host) close() {
	ho.mu.Lock()
	ho.closed = true
	ho.mu.Unlock()
	_ = ho.gate.Listener.Close()
	ho.cancel()
	<-ho.ended
	ho.gate.dropAll()
	ho.active.Wait()
}

func (ho *host) addr() string { return ho.gate.Addr().String() }

// silence makes the connection of a request go silent for good.
func (ho *host) silence(rc *app.RequestContext) {
	if gc := ho.gate.find(rc.RemoteAddr()); gc != nil {
		gc.silent.Store(true)
	}
}

// decode reads the body; on failure the reply is written already. What it
// returns holds no part of the recycled request buffer.
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
