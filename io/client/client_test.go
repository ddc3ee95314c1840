package client_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"laburnumvane/io/client"
	"laburnumvane/io/wire"
)

const (
	jsonAnswer   = `{"id":"a","outcome":"partial","snapshot":7,"coverage":{"shards":10,"answered":9,"share":0.9},"hits":[{"member":"m-1"}],"futureField":1}`
	jsonNotRun   = `{"id":"a","outcome":"notRun","reason":"overload","retryAfterMs":250}`
	jsonUnknown  = `{"id":"a","outcome":"unknown","reason":"lost"}`
	jsonRefusal  = `{"error":"the field is wrong","reason":"badRequest","path":"deadlineMs"}`
	jsonConflict = `{"result":"conflict","changeId":"c2","current":{"team":"wash","revision":9,"changeId":"c1","document":{}}}`
	jsonAccepted = `{"result":"accepted","changeId":"c2","revision":10}`
	htmlError    = `<html>bad gateway</html>`
)

func TestCaller_Search(t *testing.T) {
	for _, tc := range []struct {
		name    string
		status  int
		body    string
		outcome wire.Outcome
		kind    client.Kind
	}{
		{name: "partial", status: 200, body: jsonAnswer, outcome: wire.OutcomePartial},
		{name: "not run, busy", status: 429, body: jsonNotRun, outcome: wire.OutcomeNotRun},
		{name: "not run, leaving", status: 503, body: jsonNotRun, outcome: wire.OutcomeNotRun},
		{name: "unknown", status: 504, body: jsonUnknown, outcome: wire.OutcomeUnknown},
		{name: "refused without an answer", status: 400, body: jsonRefusal, kind: client.KindInvalid},
		{name: "too large", status: 413, body: jsonRefusal, kind: client.KindInvalid},
		{name: "wrong token", status: 401, body: jsonRefusal, kind: client.KindDenied},
		{name: "wrong listener", status: 404, body: "404", kind: client.KindNotFound},
		{name: "busy without an answer", status: 429, body: jsonRefusal, kind: client.KindRefused},
		{name: "redirect", status: 307, body: "", kind: client.KindUnknown},
		{name: "a balancer's error", status: 502, body: htmlError, kind: client.KindUnknown},
		{name: "a balancer's refusal", status: 503, body: htmlError, kind: client.KindUnknown},
		{name: "status 200 without answer", status: 200, body: `{}`, kind: client.KindUnknown},
		{name: "unknown outcome of a later version", status: 200, body: `{"outcome":"perhaps"}`, kind: client.KindUnknown},
		{name: "status 200 without JSON", status: 200, body: htmlError, kind: client.KindUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			srv := startReplyingServer(t, tc.status, tc.body)
			ans, err := newCaller(t, srv.URL).Search(t.Context(), wire.SearchRequest{ID: "a", Team: "wash", Search: "kiosk"})
			is.Equal(client.KindOf(err), tc.kind)
			is.Equal(ans.Outcome, tc.outcome)
			is.Equal(srv.count.Load(), int64(1))
		})
	}
}

func TestOperator_SetConfig(t *testing.T) {
	for _, tc := range []struct {
		name   string
		status int
		body   string
		dryRun bool
		result wire.ChangeResult
		kind   client.Kind
	}{
		{name: "accepted", status: 200, body: jsonAccepted, result: wire.ChangeAccepted},
		{name: "conflict", status: 409, body: jsonConflict, result: wire.ChangeConflict},
		{name: "conflict as a precondition", status: 412, body: jsonConflict, result: wire.ChangeConflict},
		{name: "conflict without the other change", status: 412, body: jsonRefusal, kind: client.KindConflict},
		{name: "unknown", status: 504, body: `{"result":"unknown","changeId":"c2"}`, result: wire.ChangeUnknown},
		{name: "proven not made", status: 503, body: `{"result":"refused","changeId":"c2"}`, result: wire.ChangeRefused},
		{name: "would be accepted", status: 200, body: `{"result":"dryRun"}`, dryRun: true, result: wire.ChangeDryRun},
		{name: "invalid document", status: 400, body: jsonRefusal, kind: client.KindInvalid},
		{name: "another team's token", status: 403, body: jsonRefusal, kind: client.KindDenied},
		{name: "refused, service down", status: 503, body: jsonRefusal, kind: client.KindRefused},
		{name: "a balancer's error", status: 503, body: htmlError, kind: client.KindUnknown},
		{name: "a balancer's error to a dry run", status: 503, body: htmlError, dryRun: true, kind: client.KindRefused},
		{name: "status 200 without result", status: 200, body: `{}`, kind: client.KindUnknown},
		{name: "status 200 without result, dry run", status: 200, body: `{}`, dryRun: true, kind: client.KindReply},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			srv := startReplyingServer(t, tc.status, tc.body)
			chg := client.Change{Team: "wash", Document: json.RawMessage(`{}`), IfRevision: 9, DryRun: tc.dryRun}
			rep, err := newOperator(t, srv.URL).SetConfig(t.Context(), chg)
			is.Equal(client.KindOf(err), tc.kind)
			is.Equal(rep.Result, tc.result)
			is.Equal(srv.count.Load(), int64(1))
		})
	}
}

// A request is sent, and no complete reply comes: the VM dies, the connection breaks in the
// middle of the reply, or the time is up. The request may have run, so the error must say
// "unknown" and the request must not be sent again. Only if no connection was opened is it
// certain that nothing ran.
func TestLostReplies(t *testing.T) {
	for _, tc := range []struct {
		name  string
		serve http.HandlerFunc
	}{
		{name: "closed before the reply", serve: func(w http.ResponseWriter, _ *http.Request) { writeAndClose(w, "") }},
		{name: "closed within the headers", serve: func(w http.ResponseWriter, _ *http.Request) { writeAndClose(w, "HTTP/1.1 200 OK\r\nContent-") }},
		{name: "closed within the body", serve: func(w http.ResponseWriter, _ *http.Request) {
			writeAndClose(w, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n"+jsonAnswer)
		}},
		{name: "not HTTP", serve: func(w http.ResponseWriter, _ *http.Request) { writeAndClose(w, "SSH-2.0\r\n\r\n") }},
		{name: "no reply", serve: func(_ http.ResponseWriter, req *http.Request) { awaitCancel(req) }},
		{name: "reply without end", serve: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat(" ", 2000)) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			srv := startServer(t, tc.serve)
			cfg := client.Config{URL: srv.URL, Timeout: 200 * time.Millisecond, MaxReply: 1000}
			clr, err := client.NewCaller(cfg)
			is.NoErr(err)
			opr, err := client.NewOperator(cfg)
			is.NoErr(err)

			_, err = clr.Search(t.Context(), wire.SearchRequest{})
			is.Equal(client.KindOf(err), client.KindUnknown)
			_, err = opr.SetConfig(t.Context(), client.Change{Team: "wash"})
			is.Equal(client.KindOf(err), client.KindUnknown)
			is.Equal(srv.count.Load(), int64(2)) // one each, none resent

			_, err = opr.Status(t.Context())
			is.True(err != nil)
			is.True(client.KindOf(err) != client.KindUnknown) // a read has no effect
		})
	}
}

func TestUnreachable(t *testing.T) {
	is := is.New(t)
	_, err := newCaller(t, "http://"+closedAddr(t)).Search(t.Context(), wire.SearchRequest{})
	is.Equal(client.KindOf(err), client.KindUnreachable)
	_, err = newOperator(t, "http://"+closedAddr(t)).SetConfig(t.Context(), client.Change{Team: "wash"})
	is.Equal(client.KindOf(err), client.KindUnreachable)
}

// An operator cancels a change that is in progress. The call must return at once, and the result
// is unknown, because the VM got the change.
func TestCancelled(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	srv := startServer(t, func(_ http.ResponseWriter, req *http.Request) {
		cancel()
		awaitCancel(req)
	})
	_, err := newOperator(t, srv.URL).SetConfig(ctx, client.Change{Team: "wash"})
	is.Equal(client.KindOf(err), client.KindUnknown)
	is.True(errors.Is(err, context.Canceled))
}

// A VM closes a pooled connection just as a change is sent on it. The client must not resend the
// change: if the VM had accepted it, the second one would be reported as a conflict with the
// first.
func TestChangeOnClosedConnection(t *testing.T) {
	is := is.New(t)
	var puts atomic.Int64
	srv := startServer(t, func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodGet {
			_, _ = io.WriteString(w, `{}`)
			return
		}
		puts.Add(1)
		writeAndClose(w, "")
	})
	opr := newOperator(t, srv.URL)
	_, err := opr.Config(t.Context(), "wash") // leaves a connection in the pool
	is.NoErr(err)
	_, err = opr.SetConfig(t.Context(), client.Change{Team: "wash", Document: json.RawMessage(`{}`)})
	is.Equal(client.KindOf(err), client.KindUnknown)
	is.Equal(puts.Load(), int64(1))
}

func TestRequests(t *testing.T) {
	doc := json.RawMessage(`{"version":1}`)
	for _, tc := range []struct {
		name   string
		call   func(ctx context.Context, clr *client.Caller, opr *client.Operator) error
		method string
		uri    string
		header http.Header
		body   string
	}{
		{
			name: "search", method: "POST", uri: "/v1/search", header: http.Header{"X-Request-Id": {"a"}},
			body: `{"id":"a","team":"wash","search":"kiosk","query":{"plate":"KX53"},"deadlineMs":300}`,
			call: func(ctx context.Context, clr *client.Caller, _ *client.Operator) error {
				_, err := clr.Search(ctx, wire.SearchRequest{ID: "a", Team: "wash", Search: "kiosk", Query: json.RawMessage(`{"plate":"KX53"}`), DeadlineMs: 300})
				return err
			},
		},
		{
			name: "tickets", method: "POST", uri: "/v1/tickets", body: `{"team":"wash","count":3}`,
			call: func(ctx context.Context, clr *client.Caller, _ *client.Operator) error {
				_, err := clr.Tickets(ctx, wire.TicketRequest{Team: "wash", Count: 3})
				return err
			},
		},
		{
			name: "first change", method: "PUT", uri: "/v1/teams/wash/config", header: http.Header{"If-Match": {`"0"`}}, body: string(doc),
			call: func(ctx context.Context, _ *client.Caller, opr *client.Operator) error {
				_, err := opr.SetConfig(ctx, client.Change{Team: "wash", Document: doc})
				return err
			},
		},
		{
			name: "dry run", method: "PUT", uri: "/v1/teams/wash/config?dryRun=true&id=c1", header: http.Header{"If-Match": {`"12"`}, "X-Actor": {"ada"}}, body: string(doc),
			call: func(ctx context.Context, _ *client.Caller, opr *client.Operator) error {
				_, err := opr.SetConfig(ctx, client.Change{Team: "wash", Document: doc, IfRevision: 12, DryRun: true, ID: "c1", Actor: "ada"})
				return err
			},
		},
		{
			name: "team name with path characters", method: "GET", uri: "/v1/teams/..%2Fhr%3F/history",
			call: func(ctx context.Context, _ *client.Caller, opr *client.Operator) error {
				_, err := opr.History(ctx, "../hr?")
				return err
			},
		},
		{
			name: "change", method: "GET", uri: "/v1/changes/c%2F1",
			call: func(ctx context.Context, _ *client.Caller, opr *client.Operator) error {
				_, err := opr.ChangeStatus(ctx, "c/1")
				return err
			},
		},
		{
			name: "metrics", method: "GET", uri: "/v1/metrics",
			call: func(ctx context.Context, _ *client.Caller, opr *client.Operator) error {
				_, err := opr.Metrics(ctx)
				return err
			},
		},
		{
			name: "health", method: "GET", uri: "/v1/health",
			call: func(ctx context.Context, clr *client.Caller, _ *client.Operator) error { return clr.Health(ctx) },
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			srv := startServer(t, func(w http.ResponseWriter, req *http.Request) {
				body, err := io.ReadAll(req.Body)
				is.NoErr(err)
				is.Equal(req.Method, tc.method)
				is.Equal(req.RequestURI, "/base"+tc.uri)
				is.Equal(req.Header.Get("Authorization"), "Bearer secret")
				is.Equal(string(body), tc.body)
				for name := range tc.header {
					is.Equal(req.Header.Get(name), tc.header.Get(name))
				}
				_, _ = io.WriteString(w, `{"outcome":"complete","result":"accepted"}`)
			})
			cfg := client.Config{URL: srv.URL + "/base/", Token: "secret"}
			clr, err := client.NewCaller(cfg)
			is.NoErr(err)
			opr, err := client.NewOperator(cfg)
			is.NoErr(err)
			is.NoErr(tc.call(t.Context(), clr, opr))
			is.Equal(srv.count.Load(), int64(1))
		})
	}
}

// A name that is not escaped would ask for another account.
func TestGateway_Accounts(t *testing.T) {
	for _, tc := range []struct{ account, uri string }{
		{"", "/metrics/accounts"},
		{"orders", "/metrics/accounts?account=orders"},
		{"a&account=b#c d", "/metrics/accounts?account=a%26account%3Db%23c+d"},
	} {
		is := is.New(t)
		var got string
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			got = req.RequestURI
			_, _ = io.WriteString(w, `{"version":7}`)
		}))
		gw, err := client.NewGateway(client.Config{URL: srv.URL})
		is.NoErr(err)
		var rep struct {
			Version int `json:"version"`
		}
		is.NoErr(gw.Accounts(t.Context(), tc.account, &rep))
		is.Equal(rep.Version, 7)
		is.Equal(got, tc.uri)
		srv.Close()
		fresh, err := client.NewGateway(client.Config{URL: srv.URL}) // has no connection open
		is.NoErr(err)
		is.Equal(client.KindOf(fresh.Accounts(t.Context(), tc.account, &rep)), client.KindUnreachable)
	}
}

func TestNew_Config(t *testing.T) {
	for _, tc := range []struct {
		name  string
		cfg   client.Config
		valid bool
	}{
		{name: "valid", cfg: client.Config{URL: "http://127.0.0.1:8080"}, valid: true},
		{name: "no scheme", cfg: client.Config{URL: "127.0.0.1:8080"}},
		{name: "no host", cfg: client.Config{URL: "http://"}},
		{name: "other scheme", cfg: client.Config{URL: "ftp://127.0.0.1"}},
		{name: "empty", cfg: client.Config{}},
		{name: "negative timeout", cfg: client.Config{URL: "http://127.0.0.1", Timeout: -1}},
		{name: "negative size", cfg: client.Config{URL: "http://127.0.0.1", MaxReply: -1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, err := client.NewCaller(tc.cfg)
			is.Equal(err == nil, tc.valid)
			is.Equal(client.KindOf(err) == client.KindConfig, !tc.valid)
		})
	}
}

func TestError(t *testing.T) {
	is := is.New(t)
	srv := startReplyingServer(t, 400, jsonRefusal)
	_, err := newOperator(t, srv.URL).Config(t.Context(), "wash")
	is.Equal(err.Error(), "client.Config: invalid (400 Bad Request): badRequest: deadlineMs: the field is wrong")
}

// countingServer is a server that counts its requests.
type countingServer struct {
	*httptest.Server
	count atomic.Int64
}

func startServer(t *testing.T, serve http.HandlerFunc) *countingServer {
	t.Helper()
	srv := &countingServer{}
	srv.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		srv.count.Add(1)
		serve(w, req)
	}))
	t.Cleanup(srv.Close)
	return srv
}

func startReplyingServer(t *testing.T, status int, body string) *countingServer {
	return startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	})
}

// awaitCancel waits until the client cancels the request. The server only notices that after it
// has read the body.
func awaitCancel(req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	<-req.Context().Done()
}

// writeAndClose writes bytes and closes the connection.
func writeAndClose(w http.ResponseWriter, bytes string) {
	cn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(cn, bytes)
	_ = cn.Close()
}

// closedAddr returns an address that nothing listens on.
func closedAddr(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(lis.Close())
	return lis.Addr().String()
}

func newCaller(t *testing.T, url string) *client.Caller {
	t.Helper()
	clr, err := client.NewCaller(client.Config{URL: url})
	is.New(t).NoErr(err)
	return clr
}

func newOperator(t *testing.T, url string) *client.Operator {
	t.Helper()
	opr, err := client.NewOperator(client.Config{URL: url})
	is.New(t).NoErr(err)
	return opr
}
