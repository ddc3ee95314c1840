package accept_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/matryer/is"

	"laburnumvane/io/accept"
)

// bound ends a test that hangs; no verdict depends on it.
const bound = 20 * time.Second

type bench struct {
	ln      *accept.Listener
	srv     *server.Hertz
	ended   chan error
	entered chan struct{}
	release chan struct{}
}

func start(t *testing.T) *bench {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	be := &bench{ln: accept.New(ln), ended: make(chan error, 1), entered: make(chan struct{}, 16), release: make(chan struct{})}
	be.srv = server.New(
		server.WithListener(be.ln),
		server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true),
		server.WithIdleTimeout(time.Minute),
		server.WithExitWaitTime(time.Minute),
		server.WithDisablePrintRoute(true),
		server.WithOnAccept(accept.Context),
	)
	be.srv.Use(func(ctx context.Context, rc *app.RequestContext) {
		defer accept.Begin(ctx)()
		rc.Next(ctx)
	})
	be.srv.GET("/quick", func(_ context.Context, rc *app.RequestContext) { rc.String(200, "quick") })
	be.srv.GET("/slow", func(_ context.Context, rc *app.RequestContext) {
		be.entered <- struct{}{}
		<-be.release
		rc.String(200, "slow")
	})
	go func() { be.ended <- be.srv.Run() }()
	for !be.srv.IsRunning() {
		time.Sleep(time.Millisecond)
	}
	return be
}

func (be *bench) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("tcp", be.ln.Addr().String())
	is.New(t).NoErr(err)
	is.New(t).NoErr(nc.SetReadDeadline(time.Now().Add(bound)))
	t.Cleanup(func() { _ = nc.Close() })
	return nc, bufio.NewReader(nc)
}

func ask(t *testing.T, nc net.Conn, paths ...string) {
	t.Helper()
	text := ""
	for _, path := range paths {
		text += "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"
	}
	_, err := nc.Write([]byte(text))
	is.New(t).NoErr(err)
}

func answer(t *testing.T, rd *bufio.Reader) string {
	t.Helper()
	is := is.New(t)
	rs, err := http.ReadResponse(rd, nil)
	is.NoErr(err)
	body, err := io.ReadAll(rs.Body)
	is.NoErr(err)
	is.NoErr(rs.Body.Close())
	return string(body)
}

// The caller keeps a connection open after its answer, as every client with a
// pool does, and others opened one and sent nothing. Left to itself the server
// waits for them to go away, until the stop's grace is used up. The stop must
// end while they still hold on, and they must see a plain end of stream.
func TestDrainClosesIdleConnections(t *testing.T) {
	is := is.New(t)
	be := start(t)
	kept, rd := be.dial(t)
	ask(t, kept, "/quick")
	is.Equal(answer(t, rd), "quick")
	_, fresh := be.dial(t)
	for be.ln.Len() < 2 {
		time.Sleep(time.Millisecond)
	}

	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	be.ln.Drain()
	is.NoErr(be.srv.Shutdown(ctx))

	_, err := rd.ReadByte()
	is.Equal(err, io.EOF)
	_, err = fresh.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(be.ln.Len(), 0)
}

// A caller waits for its answer when the stop begins; another has sent a second
// request in one packet with its first, so that no byte of it is left to be
// read. Both must be answered before their connections end.
func TestDrainLetsRequestsFinish(t *testing.T) {
	is := is.New(t)
	be := start(t)
	single, srd := be.dial(t)
	ask(t, single, "/slow")
	<-be.entered
	double, drd := be.dial(t)
	ask(t, double, "/quick", "/slow")
	is.Equal(answer(t, drd), "quick")
	<-be.entered

	be.ln.Drain()
	done := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	go func() { done <- be.srv.Shutdown(ctx) }()
	close(be.release)
	is.Equal(answer(t, srd), "slow")
	is.Equal(answer(t, drd), "slow")
	is.NoErr(<-done)
	_, err := srd.ReadByte()
	is.Equal(err, io.EOF)
	_, err = drd.ReadByte()
	is.Equal(err, io.EOF)
}

// The VM dies. The caller's connection ends without an answer, whatever was
// under way.
func TestAbortCutsEverything(t *testing.T) {
	is := is.New(t)
	be := start(t)
	nc, rd := be.dial(t)
	ask(t, nc, "/slow")
	<-be.entered
	be.ln.Abort()
	_, err := rd.ReadByte()
	is.True(err != nil)
	is.NoErr(<-be.ended)
	close(be.release)
	for be.ln.Len() > 0 {
		time.Sleep(time.Millisecond)
	}
}
