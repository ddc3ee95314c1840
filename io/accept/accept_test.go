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

// testTimeout ends a test that hangs; no result depends on it.
const testTimeout = 20 * time.Second

type testServer struct {
	ln      *accept.Listener
	srv     *server.Hertz
	ended   chan error
	entered chan struct{}
	release chan struct{}
}

func start(t *testing.T) *testServer {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ts := &testServer{ln: accept.New(ln), ended: make(chan error, 1), entered: make(chan struct{}, 16), release: make(chan struct{})}
	ts.srv = server.New(
		server.WithListener(ts.ln),
		server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true),
		server.WithIdleTimeout(time.Minute),
		server.WithExitWaitTime(time.Minute),
		server.WithDisablePrintRoute(true),
		server.WithOnAccept(accept.Context),
	)
	ts.srv.Use(func(ctx context.Context, rc *app.RequestContext) {
		defer accept.BeginRequest(ctx)()
		rc.Next(ctx)
	})
	ts.srv.GET("/quick", func(_ context.Context, rc *app.RequestContext) { rc.String(200, "quick") })
	ts.srv.GET("/slow", func(_ context.Context, rc *app.RequestContext) {
		ts.entered <- struct{}{}
		<-ts.release
		rc.String(200, "slow")
	})
	go func() { ts.ended <- ts.srv.Run() }()
	for !ts.srv.IsRunning() {
		time.Sleep(time.Millisecond)
	}
	return ts
}

func (ts *testServer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("tcp", ts.ln.Addr().String())
	is.New(t).NoErr(err)
	is.New(t).NoErr(nc.SetReadDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() { _ = nc.Close() })
	return nc, bufio.NewReader(nc)
}

func sendRequests(t *testing.T, nc net.Conn, paths ...string) {
	t.Helper()
	text := ""
	for _, path := range paths {
		text += "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"
	}
	_, err := nc.Write([]byte(text))
	is.New(t).NoErr(err)
}

func readResponse(t *testing.T, rd *bufio.Reader) string {
	t.Helper()
	is := is.New(t)
	rs, err := http.ReadResponse(rd, nil)
	is.NoErr(err)
	body, err := io.ReadAll(rs.Body)
	is.NoErr(err)
	is.NoErr(rs.Body.Close())
	return string(body)
}

// A client keeps a connection open after its response, as every client with a pool does, and
// another one opened a connection and sent nothing. Without Drain the server would wait for
// them until the stop's grace is used up. The stop must end while the clients still hold their
// connections, and they must see a plain end of stream.
func TestDrainClosesIdleConnections(t *testing.T) {
	is := is.New(t)
	ts := start(t)
	kept, rd := ts.dial(t)
	sendRequests(t, kept, "/quick")
	is.Equal(readResponse(t, rd), "quick")
	_, fresh := ts.dial(t)
	for ts.ln.Len() < 2 {
		time.Sleep(time.Millisecond)
	}

	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	ts.ln.Drain()
	is.NoErr(ts.srv.Shutdown(ctx))

	_, err := rd.ReadByte()
	is.Equal(err, io.EOF)
	_, err = fresh.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(ts.ln.Len(), 0)
}

// A client waits for its response when the stop begins. Another one has sent a second request
// in one packet with its first, so that none of its bytes is left to be read. Both must be
// answered before their connections end.
func TestDrainLetsRequestsFinish(t *testing.T) {
	is := is.New(t)
	ts := start(t)
	single, srd := ts.dial(t)
	sendRequests(t, single, "/slow")
	<-ts.entered
	double, drd := ts.dial(t)
	sendRequests(t, double, "/quick", "/slow")
	is.Equal(readResponse(t, drd), "quick")
	<-ts.entered

	ts.ln.Drain()
	done := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	go func() { done <- ts.srv.Shutdown(ctx) }()
	close(ts.release)
	is.Equal(readResponse(t, srd), "slow")
	is.Equal(readResponse(t, drd), "slow")
	is.NoErr(<-done)
	_, err := srd.ReadByte()
	is.Equal(err, io.EOF)
	_, err = drd.ReadByte()
	is.Equal(err, io.EOF)
}

// The VM crashes: the client's connection ends without a response, although a request was
// running.
func TestAbortClosesAllConnections(t *testing.T) {
	is := is.New(t)
	ts := start(t)
	nc, rd := ts.dial(t)
	sendRequests(t, nc, "/slow")
	<-ts.entered
	ts.ln.Abort()
	_, err := rd.ReadByte()
	is.True(err != nil)
	is.NoErr(<-ts.ended)
	close(ts.release)
	for ts.ln.Len() > 0 {
		time.Sleep(time.Millisecond)
	}
}
