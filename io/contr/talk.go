package contr

import (
	"io"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"
)

// testTimeout ends a test that hangs. No passing test depends on its value.
const testTimeout = 30 * time.Second

// Step is one step of a raw conversation with a server.
type Step struct {
	// Send is sent unchanged.
	Send string
	// Until is the text up to which, and including which, the reply is read. If it is empty,
	// the reply is read to the end of the stream.
	Until string
	// CloseWrite closes the sending side after Send.
	CloseWrite bool
}

// Talk opens a connection, performs the steps and returns everything that the server sent, with the
// Date header masked.
func Talk(tb testing.TB, addr string, steps ...Step) string {
	tb.Helper()
	is := is.New(tb)
	var dl net.Dialer
	nc, err := dl.DialContext(tb.Context(), "tcp", addr)
	is.NoErr(err)
	defer nc.Close()
	is.NoErr(nc.SetDeadline(time.Now().Add(testTimeout)))
	received := ""
	for _, st := range steps {
		if _, err := io.WriteString(nc, st.Send); err != nil {
			// A server that refuses the request may close before everything is sent.
			tb.Logf("send: %v", err)
		}
		if st.CloseWrite {
			is.NoErr(nc.(*net.TCPConn).CloseWrite())
		}
		received += readUntil(tb, nc, st.Until)
	}
	return maskDate(received)
}

func readUntil(tb testing.TB, nc net.Conn, until string) string {
	tb.Helper()
	var sb strings.Builder
	buf := make([]byte, 1)
	for {
		n, err := nc.Read(buf)
		sb.Write(buf[:n])
		if until != "" && strings.HasSuffix(sb.String(), until) {
			return sb.String()
		}
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			tb.Fatalf("the server neither sent more nor closed the connection; it sent %q", sb.String())
		}
		if err != nil {
			return sb.String()
		}
	}
}

func maskDate(text string) string {
	return regexp.MustCompile(`Date: [^\r\n]*`).ReplaceAllString(text, "Date: *")
}

// Transcript formats a conversation for a golden file. Lines that were sent start with >, lines
// that were received with <. Line ends are shown only if they are not CR LF.
func Transcript(name string, steps []Step, received string) string {
	var sb strings.Builder
	sb.WriteString("== " + name + "\n")
	for _, st := range steps {
		writeLines(&sb, "> ", st.Send)
		if st.CloseWrite {
			sb.WriteString("> (end of sending)\n")
		}
	}
	writeLines(&sb, "< ", received)
	return sb.String() + "\n"
}

func writeLines(sb *strings.Builder, mark, text string) {
	const maxLen = 400
	for line := range strings.SplitSeq(strings.TrimSuffix(text, "\r\n"), "\r\n") {
		if len(line) > maxLen {
			line = line[:maxLen] + "..."
		}
		sb.WriteString(strings.TrimRight(mark+strings.ToValidUTF8(line, `\x`), " ") + "\n")
	}
}

// LibraryGoroutines returns the options that exclude from a leak check the goroutines that
// libraries start once for a process and never end.
func LibraryGoroutines() []goleak.Option {
	return []goleak.Option{
		goleak.IgnoreAnyFunction("github.com/cloudwego/hertz/pkg/protocol.UpdateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"),
	}
}
