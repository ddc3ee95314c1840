package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// endlessTestTimeout fails a test that waits in vain.
	endlessTestTimeout = 20 * time.Second
	// endlessSlack is how much more than its limit may be read of a response: what its encoding
	// and the buffers add.
	endlessSlack = 1 << 20
)

// A server sends a response that never ends. Reading it until the request's deadline fills the VM's
// memory and delays the answer to the client. The request must fail, and its connection be closed, as
// soon as the limit is reached.
func TestEndlessResponses(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := strings.Repeat("x", 1<<10)
	for _, tc := range []struct {
		name, once, repeated string
		// most is how many bytes may be read of it.
		most int
	}{
		{"status line", "HTTP/1.1 200 ", chunk, maxHeadBytes},
		{"no line end", "", chunk, maxHeadBytes},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X: " + chunk + "\r\n", maxHeadBytes},
		{"header value", "HTTP/1.1 200 OK\r\nX: ", chunk, maxHeadBytes},
		{"continued header", "HTTP/1.1 200 OK\r\nX: y", "\r\n " + chunk, maxHeadBytes},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nX: " + chunk + "\r\n\r\n", maxHeadBytes},
		{"body without length", "HTTP/1.1 200 OK\r\nId: a\r\n\r\n", chunk, maxReplyBytes},
		{"body without length of another request", "HTTP/1.1 200 OK\r\nId: b\r\n\r\n", chunk, maxReplyBytes},
		{"body longer than allowed", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1000000000000\r\n\r\n", chunk, maxHeadBytes},
		{"chunks", chunked, "400\r\n" + chunk + "\r\n", maxReplyBytes},
		{"one chunk", chunked + "ffffffffff\r\n", chunk, maxReplyBytes},
		{"chunk size", chunked, "0", maxHeadBytes},
		{"chunk extension", chunked + "1;", chunk, maxHeadBytes},
		{"trailer", chunked + "0\r\n", "X: " + chunk + "\r\n", maxHeadBytes},
		{"after the response", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n", chunk, maxHeadBytes},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			local, remote := net.Pipe()
			defer remote.Close()
			is.NoErr(remote.SetDeadline(time.Now().Add(endlessTestTimeout)))
			fs := newFakeServer(Limits{Max: 1}, func() (net.Conn, error) { return local, nil })
			fs.po.cfg.HeaderID = "Id"
			result := make(chan Result, 1)
			fs.po.Send(fs.up, Request{ID: "a", Method: http.MethodGet, Done: func(rs Result) { result <- rs }, Message: func() []byte { return []byte("x") }})
			go fs.run()
			_, err := remote.Read(make([]byte, 1))
			is.NoErr(err)
			written, err := io.WriteString(remote, tc.once)
			for err == nil {
				var n int
				n, err = io.WriteString(remote, tc.repeated)
				written += n
			}
			is.Equal(err, io.ErrClosedPipe) // the VM closes the connection
			t.Logf("%d bytes read", written)
			is.True(written <= tc.most+endlessSlack)
			rs := <-result
			is.True(rs.Err != nil || tc.name == "after the response")
		})
	}
}

// Many servers send bodies without end at the same time. Each is within its limit, but all of them
// together would fill the memory of a small VM. The requests beyond the common limit must fail, and
// when the bodies have ended, large ones must be read again.
func TestUnfinishedBodiesAreLimitedTogether(t *testing.T) {
	is := is.New(t)
	const bodyBytes = maxReplyBytes - 1
	var bodies bodyReader
	begin := func() (chan error, *io.PipeWriter) {
		rd, wr := io.Pipe()
		result := make(chan error, 1)
		go func() {
			body, err := bodies.read(&http.Response{Body: rd, ContentLength: -1})
			_ = rd.Close()
			if err == nil && len(body) != bodyBytes {
				err = io.ErrShortBuffer
			}
			result <- err
		}()
		return result, wr
	}
	var results []chan error
	var open []*io.PipeWriter
	for range 3 * maxUnfinishedBytes / maxReplyBytes {
		result, wr := begin()
		if _, err := wr.Write(make([]byte, bodyBytes)); err != nil {
			is.Equal(<-result, errTooLarge)
			continue
		}
		results, open = append(results, result), append(open, wr)
	}
	t.Logf("%d bodies are unfinished", len(open))
	is.True(len(open) > 0)
	is.True(len(open)*bodyBytes <= maxUnfinishedBytes)
	for k, wr := range open {
		is.NoErr(wr.Close())
		is.NoErr(<-results[k])
	}
	is.Equal(bodies.unfinished.Load(), int64(0))
}
