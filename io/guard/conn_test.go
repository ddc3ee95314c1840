package guard

import (
	"encoding/json"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/io/wire"
)

// fakeConn is a connection that records its read deadline and what was written.
type fakeConn struct {
	net.Conn
	in       io.Reader
	deadline time.Time
	out      strings.Builder
	closed   bool
}

func (fc *fakeConn) Read(p []byte) (int, error)         { return fc.in.Read(p) }
func (fc *fakeConn) Write(p []byte) (int, error)        { return fc.out.Write(p) }
func (fc *fakeConn) SetReadDeadline(at time.Time) error { fc.deadline = at; return nil }
func (fc *fakeConn) SetWriteDeadline(time.Time) error   { return nil }
func (fc *fakeConn) CloseWrite() error                  { return nil }
func (fc *fakeConn) Close() error                       { fc.closed = true; return nil }
func newConn(fc *fakeConn, refused func(string)) *conn {
	cn := &conn{Conn: fc, cfg: Config{RequestTime: time.Hour, Refused: refused}.withDefaults()}
	cn.startIdle()
	return cn
}

// The library sets a deadline for each read, and none while a handler runs. The connection's own
// deadline must be set before the first byte, must not be extended by later bytes or by the
// library, and must not apply while a search runs, however long it takes.
func TestDeadlines(t *testing.T) {
	is := is.New(t)
	fc := &fakeConn{in: strings.NewReader("POST /v1/search")}
	cn := newConn(fc, nil)
	is.True(!fc.deadline.IsZero()) // a connection that sends nothing times out
	one := make([]byte, 1)
	read := func() {
		_, err := cn.Read(one)
		is.NoErr(err)
	}
	read()
	deadline := fc.deadline
	is.True(time.Until(deadline) > 59*time.Minute)
	read()
	is.Equal(fc.deadline, deadline) // a later byte does not extend it
	is.NoErr(cn.SetReadDeadline(deadline.Add(time.Hour)))
	is.Equal(fc.deadline, deadline) // nor does the library
	is.NoErr(cn.SetReadDeadline(deadline.Add(-time.Minute)))
	is.Equal(fc.deadline, deadline.Add(-time.Minute)) // which may shorten it

	is.NoErr(cn.SetReadDeadline(time.Time{}))
	is.True(fc.deadline.IsZero()) // a handler runs
	read()
	is.True(fc.deadline.IsZero()) // a pipelined byte sets no deadline
	is.NoErr(cn.SetReadDeadline(time.Unix(1, 0)))
	is.Equal(fc.deadline, time.Unix(1, 0)) // the library ends its check for a disconnect
	idle := time.Now().Add(30 * time.Minute)
	is.NoErr(cn.SetReadDeadline(idle))
	is.Equal(fc.deadline, idle)
	read()
	is.Equal(fc.deadline, idle) // the earlier of both
	is.NoErr(cn.SetReadDeadline(time.Now().Add(3 * time.Hour)))
	is.True(time.Until(fc.deadline) <= time.Hour) // the next request has its own limit
}

// What a handler writes is sent unchanged. An error that the library writes itself is replaced once
// by a JSON error and counted.
func TestReplacedErrors(t *testing.T) {
	const plain = "HTTP/1.1 413 Request Entity Too Large\r\nContent-Type: text/plain\r\n\r\nToo Large"
	cases := []struct {
		name    string
		serving bool
		writes  []string
		status  string
		reason  string
	}{
		{"handler", true, []string{"HTTP/1.1 200 OK\r\n\r\n", "{}"}, "HTTP/1.1 200 OK", ""},
		{"handler's error", true, []string{plain}, "HTTP/1.1 413", ""},
		{"100 Continue", false, []string{"HTTP/1.1 100 Continue\r\n\r\n"}, "HTTP/1.1 100 Continue", ""},
		{"too large", false, []string{plain}, "HTTP/1.1 413 Request Entity Too Large", ReasonTooLarge},
		{"in two writes", false, []string{plain[:50], plain[50:]}, "HTTP/1.1 413 Request Entity Too Large", ReasonTooLarge},
		{"timeout", false, []string{"HTTP/1.1 408 Request Timeout\r\n\r\n"}, "HTTP/1.1 408 Request Timeout", ReasonSlow},
		{"headers", false, []string{"HTTP/1.1 431 X\r\n\r\n"}, "HTTP/1.1 431 Request Header Fields Too Large", ReasonHeaders},
		{"expectation", false, []string{"HTTP/1.1 417 X\r\n\r\n"}, "HTTP/1.1 417 Expectation Failed", ReasonExpectation},
		{"not HTTP", false, []string{"x"}, "HTTP/1.1 400 Bad Request", ReasonBadRequest},
		{"no status", false, []string{"HTTP/1.1 abc \r\n\r\n"}, "HTTP/1.1 400 Bad Request", ReasonBadRequest},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			fc := &fakeConn{in: strings.NewReader("POST and more")}
			var counted []string
			cn := newConn(fc, func(reason string) { counted = append(counted, reason) })
			_, err := cn.Read(make([]byte, 1))
			is.NoErr(err)
			if tc.serving {
				is.NoErr(cn.SetReadDeadline(time.Time{}))
			}
			for _, text := range tc.writes {
				n, err := io.WriteString(cn, text)
				is.NoErr(err)
				is.Equal(n, len(text))
			}
			is.True(strings.HasPrefix(fc.out.String(), tc.status))
			if tc.reason == "" {
				is.Equal(fc.out.String(), strings.Join(tc.writes, ""))
				is.Equal(len(counted), 0)
				return
			}
			_, body, ok := strings.Cut(fc.out.String(), "\r\n\r\n")
			is.True(ok)
			var er wire.ErrorReply
			is.NoErr(json.Unmarshal([]byte(body), &er))
			is.Equal(er.Reason, tc.reason)
			is.Equal(counted, []string{tc.reason})
		})
	}
}

// A refused client is still sending. Its bytes are read, within limits, before the connection is
// closed; otherwise it would see a reset instead of the error.
func TestCloseReadsRefusedRequest(t *testing.T) {
	is := is.New(t)
	in := strings.NewReader(strings.Repeat("x", 1000))
	fc := &fakeConn{in: in}
	cn := newConn(fc, func(string) {})
	_, err := io.WriteString(cn, "HTTP/1.1 413 X\r\n\r\n")
	is.NoErr(err)
	is.NoErr(cn.Close())
	is.Equal(in.Len(), 0)
	is.True(fc.closed)
	is.True(time.Until(fc.deadline) <= lingerTime)
}

func TestMatches(t *testing.T) {
	cases := []struct {
		pattern, path string
		matches       bool
	}{
		{"/v1/search", "/v1/search", true},
		{"/v1/search", "/v1/search/", false},
		{"/v1/teams/:team/config", "/v1/teams/wash/config", true},
		{"/v1/teams/:team/config", "/v1/teams/wash/history", false},
		{"/v1/teams/:team/config", "/v1/teams/config", false},
	}
	for _, tc := range cases {
		is.New(t).Equal(matches(tc.pattern, tc.path), tc.matches)
	}
}
