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

// recorder is a connection that remembers its deadline and what was written.
type recorder struct {
	net.Conn
	in       io.Reader
	deadline time.Time
	out      strings.Builder
	closed   bool
}

func (rc *recorder) Read(p []byte) (int, error)         { return rc.in.Read(p) }
func (rc *recorder) Write(p []byte) (int, error)        { return rc.out.Write(p) }
func (rc *recorder) SetReadDeadline(at time.Time) error { rc.deadline = at; return nil }
func (rc *recorder) SetWriteDeadline(time.Time) error   { return nil }
func (rc *recorder) CloseWrite() error                  { return nil }
func (rc *recorder) Close() error                       { rc.closed = true; return nil }
func newConn(rc *recorder, refused func(string)) *conn {
	cn := &conn{Conn: rc, cfg: Config{RequestTime: time.Hour, Refused: refused}.withDefaults()}
	cn.begin()
	return cn
}

// The library sets a deadline for each read, and none while a handler runs. The
// connection's own must be there before the first byte, must not move with later
// bytes or later wishes of the library, and must be gone while a search runs,
// however long it takes.
func TestDeadlines(t *testing.T) {
	is := is.New(t)
	rc := &recorder{in: strings.NewReader("POST /v1/search")}
	cn := newConn(rc, nil)
	is.True(!rc.deadline.IsZero()) // a connection that sends nothing ends
	one := make([]byte, 1)
	read := func() {
		_, err := cn.Read(one)
		is.NoErr(err)
	}
	read()
	begun := rc.deadline
	is.True(time.Until(begun) > 59*time.Minute)
	read()
	is.Equal(rc.deadline, begun) // a later byte buys no time
	is.NoErr(cn.SetReadDeadline(begun.Add(time.Hour)))
	is.Equal(rc.deadline, begun) // nor does the library
	is.NoErr(cn.SetReadDeadline(begun.Add(-time.Minute)))
	is.Equal(rc.deadline, begun.Add(-time.Minute)) // which may shorten it

	is.NoErr(cn.SetReadDeadline(time.Time{}))
	is.True(rc.deadline.IsZero()) // a handler runs
	read()
	is.True(rc.deadline.IsZero()) // a pipelined byte does not end it
	is.NoErr(cn.SetReadDeadline(time.Unix(1, 0)))
	is.Equal(rc.deadline, time.Unix(1, 0)) // the library ends its watch
	idle := time.Now().Add(30 * time.Minute)
	is.NoErr(cn.SetReadDeadline(idle))
	is.Equal(rc.deadline, idle)
	read()
	is.Equal(rc.deadline, idle) // the shorter of both
	is.NoErr(cn.SetReadDeadline(time.Now().Add(3 * time.Hour)))
	is.True(time.Until(rc.deadline) <= time.Hour) // the next request has its own bound
}

// What a handler writes goes through; what the library writes by itself is put
// into the form of all errors, once, and counted.
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
		{"go on", false, []string{"HTTP/1.1 100 Continue\r\n\r\n"}, "HTTP/1.1 100 Continue", ""},
		{"too large", false, []string{plain}, "HTTP/1.1 413 Request Entity Too Large", ReasonTooLarge},
		{"in two writes", false, []string{plain[:50], plain[50:]}, "HTTP/1.1 413 Request Entity Too Large", ReasonTooLarge},
		{"timeout", false, []string{"HTTP/1.1 408 Request Timeout\r\n\r\n"}, "HTTP/1.1 408 Request Timeout", ReasonSlow},
		{"headers", false, []string{"HTTP/1.1 431 X\r\n\r\n"}, "HTTP/1.1 431 Request Header Fields Too Large", ReasonHeaders},
		{"expectation", false, []string{"HTTP/1.1 417 X\r\n\r\n"}, "HTTP/1.1 417 Expectation Failed", ReasonExpectation},
		{"whatever else", false, []string{"x"}, "HTTP/1.1 400 Bad Request", ReasonBadRequest},
		{"no status", false, []string{"HTTP/1.1 abc \r\n\r\n"}, "HTTP/1.1 400 Bad Request", ReasonBadRequest},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			rc := &recorder{in: strings.NewReader("POST and more")}
			var counted []string
			cn := newConn(rc, func(reason string) { counted = append(counted, reason) })
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
			is.True(strings.HasPrefix(rc.out.String(), tc.status))
			if tc.reason == "" {
				is.Equal(rc.out.String(), strings.Join(tc.writes, ""))
				is.Equal(len(counted), 0)
				return
			}
			_, body, ok := strings.Cut(rc.out.String(), "\r\n\r\n")
			is.True(ok)
			var er wire.ErrorReply
			is.NoErr(json.Unmarshal([]byte(body), &er))
			is.Equal(er.Reason, tc.reason)
			is.Equal(counted, []string{tc.reason})
		})
	}
}

// A refused client is still sending. Its bytes are read, within bounds, before
// the connection is closed, or it would see a reset and not the reason.
func TestRefusedClientMayFinish(t *testing.T) {
	is := is.New(t)
	in := strings.NewReader(strings.Repeat("x", 1000))
	rc := &recorder{in: in}
	cn := newConn(rc, func(string) {})
	_, err := io.WriteString(cn, "HTTP/1.1 413 X\r\n\r\n")
	is.NoErr(err)
	is.NoErr(cn.Close())
	is.Equal(in.Len(), 0)
	is.True(rc.closed)
	is.True(time.Until(rc.deadline) <= lingerTime)
}

func TestMatches(t *testing.T) {
	cases := []struct {
		pattern, path string
		fits          bool
	}{
		{"/v1/search", "/v1/search", true},
		{"/v1/search", "/v1/search/", false},
		{"/v1/teams/:team/config", "/v1/teams/wash/config", true},
		{"/v1/teams/:team/config", "/v1/teams/wash/history", false},
		{"/v1/teams/:team/config", "/v1/teams/config", false},
	}
	for _, tc := range cases {
		is.New(t).Equal(matches(tc.pattern, tc.path), tc.fits)
	}
}
