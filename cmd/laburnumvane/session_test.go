package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// step is one command of a session and the replies that the VM gives while it runs.
type step struct {
	args    string
	stdin   string
	replies []scriptedReply
}

// scriptedReply is one reply of a scriptedVM. With closeConn set, the connection is closed without a
// reply.
type scriptedReply struct {
	status    int
	body      string
	closeConn bool
}

// scriptedVM is a stub of a VM. It records each request and gives the next scripted reply.
type scriptedVM struct {
	mu      sync.Mutex
	replies []scriptedReply
	log     bytes.Buffer
}

// setReplies sets the replies for the next command.
func (sv *scriptedVM) setReplies(replies []scriptedReply) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.replies = replies
}

// takeTraffic returns the traffic of the last command and the number of replies not used, and clears
// the record.
func (sv *scriptedVM) takeTraffic() (traffic string, left int) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	traffic = sv.log.String()
	sv.log.Reset()
	return traffic, len(sv.replies)
}

func (sv *scriptedVM) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	body, err := io.ReadAll(req.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(&sv.log, "> %s %s\n", req.Method, req.RequestURI)
	for _, name := range []string{"Authorization", "If-Match", "X-Request-Id", "X-Actor"} {
		if val := req.Header.Get(name); val != "" {
			fmt.Fprintf(&sv.log, "> %s: %s\n", name, val)
		}
	}
	if len(body) > 0 {
		fmt.Fprintf(&sv.log, "> %s\n", strings.Join(strings.Fields(string(body)), " "))
	}
	sv.reply(w)
}

func (sv *scriptedVM) reply(w http.ResponseWriter) {
	if len(sv.replies) == 0 {
		http.Error(w, "no scripted reply is left", http.StatusInternalServerError)
		return
	}
	next := sv.replies[0]
	sv.replies = sv.replies[1:]
	if next.closeConn {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(&sv.log, "< %d %s\n", next.status, next.body)
	w.WriteHeader(next.status)
	_, _ = io.WriteString(w, next.body)
}

// session runs commands one after the other and returns their command lines, output, exit codes and
// traffic.
func session(t *testing.T, steps []step) string {
	t.Helper()
	is := is.New(t)
	sv := &scriptedVM{}
	srv := httptest.NewServer(sv)
	defer srv.Close()
	clearVariables(t)
	t.Setenv("LABURNUMVANE_URL", srv.URL)
	t.Setenv("LABURNUMVANE_OPERATOR_URL", srv.URL)
	t.Setenv("LABURNUMVANE_METRICS_URL", srv.URL)

	var all bytes.Buffer
	for _, stp := range steps {
		sv.setReplies(stp.replies)
		var out, errOut bytes.Buffer
		args := append([]string{"laburnumvane"}, strings.Fields(stp.args)...)
		code := run(t.Context(), args, strings.NewReader(stp.stdin), &out, &errOut)
		traffic, left := sv.takeTraffic()
		is.Equal(left, 0) // every scripted reply was used

		fmt.Fprintf(&all, "$ laburnumvane %s\n%s", stp.args, traffic)
		fmt.Fprintf(&all, "%s%sexit %d\n\n", out.String(), prefixed(errOut.String()), code)
	}
	text := strings.ReplaceAll(all.String(), srv.URL, "http://VM")
	return regexp.MustCompile("[0-9a-f]{32}").ReplaceAllString(text, "RANDOM")
}

// clearVariables removes the LABURNUMVANE_ variables of the environment, which would affect the test.
func clearVariables(t *testing.T) {
	t.Helper()
	for _, pair := range os.Environ() {
		name, _, _ := strings.Cut(pair, "=")
		if strings.HasPrefix(name, "LABURNUMVANE_") {
			t.Setenv(name, "") // restores the old value after the test
			is.New(t).NoErr(os.Unsetenv(name))
		}
	}
}

// prefixed marks each line as one of standard error.
func prefixed(text string) string {
	var all strings.Builder
	for line := range strings.Lines(text) {
		all.WriteString("! " + line)
	}
	return all.String()
}
