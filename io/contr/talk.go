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

// patience ends a test that hangs; no verdict depends on it.
const patience = 30 * time.Second

// Step is one move of a raw conversation.
type Step struct {
	// Send is written as it is.
	Send string
	// Until is read up to and including this text; empty reads to the end of
	// the stream.
	Until string
	// Hang closes the sending side after Send.
	Hang bool
}

// Talk opens a connection, makes the moves and gives what the server said, with
// the date masked.
func Talk(tb testing.TB, addr string, steps ...Step) string {
	tb.Helper()
	is := is.New(tb)
	var dl net.Dialer
	nc, err := dl.DialContext(tb.Context(), "tcp", addr)
	is.NoErr(err)
	defer nc.Close()
	is.NoErr(nc.SetDeadline(time.Now().Add(patience)))
	said := ""
	for _, st := range steps {
		if _, err := io.WriteString(nc, st.Send); err != nil {
			// A server that has refused may close before all is sent.
			tb.Logf("send: %v", err)
		}
		if st.Hang {
			is.NoErr(nc.(*net.TCPConn).CloseWrite())
		}
		said += hear(tb, nc, st.Until)
	}
	return maskDate(said)
}

func hear(tb testing.TB, nc net.Conn, until string) string {
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
			tb.Fatalf("the server neither went on nor closed; it said %q", sb.String())
		}
		if err != nil {
			return sb.String()
		}
	}
}

func maskDate(text string) string {
	return regexp.MustCompile(`Date: [^\r\n]*`).ReplaceAllString(text, "Date: *")
}

// Transcript writes a conversation down so that it can be read in a file: what
// went out behind >, what came back behind <, line ends shown only where they
// are not the usual ones.
func Transcript(name string, steps []Step, said string) string {
	var sb strings.Builder
	sb.WriteString("== " + name + "\n")
	for _, st := range steps {
		quote(&sb, "> ", st.Send)
		if st.Hang {
			sb.WriteString("> (end of sending)\n")
		}
	}
	quote(&sb, "< ", said)
	return sb.String() + "\n"
}

func quote(sb *strings.Builder, mark, text string) {
	const most = 400
	for line := range strings.SplitSeq(strings.TrimSuffix(text, "\r\n"), "\r\n") {
		if len(line) > most {
			line = line[:most] + "..."
		}
		sb.WriteString(strings.TrimRight(mark+strings.ToValidUTF8(line, `\x`), " ") + "\n")
	}
}

// LibraryGoroutines are those that libraries start once for a process and never
// end; a check for leaks must not count them.
func LibraryGoroutines() []goleak.Option {
	return []goleak.Option{
		goleak.IgnoreAnyFunction("github.com/cloudwego/hertz/pkg/protocol.UpdateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"),
	}
}
