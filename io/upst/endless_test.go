package upst

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// endlessSlack is how much more than its limit may be read of a reply: what its encoding and the
// buffers add.
const endlessSlack = 1 << 20

// A server sends a reply that never ends. Reading it until the deadline of the search fills the VM's
// memory. The exchange must fail as soon as the limit is reached.
func TestEndlessReplies(t *testing.T) {
	const (
		timeout = 20 * time.Second
		chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
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
		{"interim responses", "", "HTTP/1.1 100 Continue\r\nX: " + chunk + "\r\n\r\n", maxHeadBytes},
		{"body without length", "HTTP/1.1 200 OK\r\n\r\n", chunk, maxReplyBytes},
		{"body longer than allowed", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", chunk, maxHeadBytes},
		{"chunks", chunked, "400\r\n" + chunk + "\r\n", maxReplyBytes},
		{"one chunk", chunked + "7fffffff\r\n", chunk, maxReplyBytes},
		{"chunk size", chunked, "0", maxReplyBytes},
		{"chunk extension", chunked + "1;", chunk, maxReplyBytes},
		{"spaces after a chunk size", chunked + "1", strings.Repeat(" ", 1<<10), maxTotalBytes},
		{"trailer", chunked + "0\r\n", "X: " + chunk + "\r\n", maxReplyBytes},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			local, remote := net.Pipe()
			cn := &conn{tcp: newBufConn(local), addr: "server"}
			result := make(chan error, 1)
			go func() {
				var out any
				_, err := cn.exchange(time.Now().Add(timeout), pingMessage(), &out)
				cn.tcp.close()
				result <- err
			}()
			_, err := remote.Read(make([]byte, 1<<10))
			is.NoErr(err)
			written, err := io.WriteString(remote, tc.once)
			for err == nil {
				var n int
				n, err = io.WriteString(remote, tc.repeated)
				written += n
			}
			t.Logf("%d bytes read", written)
			is.True(written <= tc.most+endlessSlack)
			var ue *Error
			is.True(errors.As(<-result, &ue))
			is.True(ue.Kind != KindTimeout) // ended before its deadline
		})
	}
}
