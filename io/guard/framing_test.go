package guard_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/matryer/is"

	"laburnumvane/io/accept"
	"laburnumvane/io/guard"
)

// waitTimeout ends a test that hangs; no check depends on it.
const waitTimeout = 20 * time.Second

const smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"

// A request with ambiguous framing has a body that another reader takes for a second request. The
// listener must answer once, with 400, and close the connection; no handler may see the second
// request.
func TestAmbiguousRequests(t *testing.T) {
	const head = "POST /x HTTP/1.1\r\nHost: h\r\n"
	cases := []struct {
		name, text string
		status     int
	}{
		{"length and chunks", head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled, 400},
		{"chunks and length", head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + smuggled, 400},
		{"two lengths", head + "Content-Length: 5\r\nContent-Length: 0\r\n\r\n" + smuggled, 400},
		{"length with a sign", head + "Content-Length: +0\r\n\r\n" + smuggled, 400},
		{"unknown coding", head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + smuggled, 400},
		{"space before the colon", head + "Content-Length : 0\r\n\r\n" + smuggled, 400},
		{"two hosts", head + "Host: other\r\nContent-Length: 0\r\n\r\n" + smuggled, 400},
		{"valid with length", head + "Content-Length: 5\r\n\r\nabcde", 200},
		{"valid with chunks", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n", 200},
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	sv := guard.NewServer("door", ln, guard.Config{MaxBody: 1 << 10})
	sv.Routes.NoRoute(func(ctx context.Context, rc *app.RequestContext) {
		defer accept.BeginRequest(ctx)()
		rc.SetStatusCode(http.StatusOK)
		if string(rc.Path()) == "/smuggled" {
			rc.SetStatusCode(http.StatusTeapot)
		}
	})
	ended := make(chan error, 1)
	go func() { ended <- sv.Serve() }()
	t.Cleanup(func() {
		sv.Abort()
		if err := <-ended; err != nil {
			t.Log("ended by the abort:", err)
		}
	})
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			nc, err := net.Dial("tcp", ln.Addr().String())
			is.NoErr(err)
			defer nc.Close()
			is.NoErr(nc.SetDeadline(time.Now().Add(waitTimeout)))
			_, err = io.WriteString(nc, tc.text)
			is.NoErr(err)
			br := bufio.NewReader(nc)
			rs, err := http.ReadResponse(br, nil)
			is.NoErr(err)
			defer rs.Body.Close()
			_, err = io.Copy(io.Discard, rs.Body)
			is.NoErr(err)
			is.Equal(rs.StatusCode, tc.status)
			if tc.status == http.StatusOK {
				return
			}
			is.True(rs.Close)
			_, err = br.ReadByte()
			is.Equal(err, io.EOF) // no further answer
		})
	}
}

// FuzzFraming reads headers with this package and with the standard library: headers that pass the
// check must have a single length, and the standard library must agree.
func FuzzFraming(f *testing.F) {
	for _, seed := range []string{
		"Host: h\r\nContent-Length: 5", "Host: h\r\nContent-Length: 5\r\nContent-Length: 5",
		"Host: h\r\nTransfer-Encoding: chunked", "Host: h\r\nTransfer-Encoding: chunked\r\ncontent-length:0",
		"Host: h\nContent-Length: 5", "Host:h\r\nContent-Length:\t5", "Host: h\r\n Content-Length: 5", "Host: h\r\nContent-Length: 0x5",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, header string) {
		var fr guard.Framing
		header = strings.Trim(header, "\r\n")
		if strings.Contains(header, "\n\n") || strings.Contains(header, "\n\r\n") {
			return // the header ends there
		}
		if !guard.EachField([]byte(header), fr.AddField) || fr.Check(true) != "" {
			return
		}
		text := "POST / HTTP/1.1\r\n" + header + "\r\n\r\n"
		rq, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		is := is.New(t)
		chunked := len(rq.TransferEncoding) > 0
		is.Equal(fr.HasBody(), chunked || len(rq.Header["Content-Length"]) > 0)
		is.True(!chunked || len(rq.Header["Content-Length"]) == 0)
		is.True(len(rq.Header["Content-Length"]) < 2)
	})
}
