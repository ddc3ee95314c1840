package contr

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// reply is an HTTP reply: status, headers and body.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// decodeBody decodes the JSON body of a reply.
func decodeBody[T any](tb testing.TB, rp reply) T {
	tb.Helper()
	var out T
	is.New(tb).NoErr(json.Unmarshal(rp.body, &out))
	return out
}

// send makes one request with the standard client, so that contracts cannot share a fault with the
// product's own clients.
func send(tb testing.TB, method, url string, header http.Header, body any) reply {
	tb.Helper()
	is := is.New(tb)
	var raw []byte
	switch bd := body.(type) {
	case nil:
	case string:
		raw = []byte(bd)
	default:
		var err error
		raw, err = json.Marshal(bd)
		is.NoErr(err)
	}
	rq, err := http.NewRequestWithContext(tb.Context(), method, url, bytes.NewReader(raw))
	is.NoErr(err)
	for key, values := range header {
		rq.Header[key] = values
	}
	if raw != nil {
		rq.Header.Set("Content-Type", "application/json")
	}
	cl := http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := cl.Do(rq)
	is.NoErr(err)
	defer rs.Body.Close()
	out, err := io.ReadAll(rs.Body)
	is.NoErr(err)
	return reply{status: rs.StatusCode, header: rs.Header, body: out}
}

// post sends JSON and expects status 200 and a JSON body.
func post[T any](tb testing.TB, url string, body any) T {
	tb.Helper()
	rp := send(tb, http.MethodPost, url, nil, body)
	is.New(tb).Equal(rp.status, http.StatusOK)
	return decodeBody[T](tb, rp)
}

// clause is one requirement of a contract, checked as a subtest.
type clause[S any] struct {
	name  string
	check func(t *testing.T, sv S)
}

// runClauses runs each clause against a newly started implementation.
func runClauses[S any](t *testing.T, start func(t *testing.T) S, clauses []clause[S]) {
	t.Helper()
	for _, cl := range clauses {
		t.Run(cl.name, func(t *testing.T) { cl.check(t, start(t)) })
	}
}
