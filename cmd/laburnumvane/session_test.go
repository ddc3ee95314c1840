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

// step is one command of a session and what the VM replies meanwhile.
type step struct {
	args    string
	stdin   string
	replies []scripted
}

// scripted is one reply of the stub.
type scripted struct {
	status int
	body   string
	hangUp bool
}

// script stands in for a VM: it writes down each request and gives the next
// reply.
type script struct {
	mu      sync.Mutex
	replies []scripted
	log     bytes.Buffer
}

// load sets the replies to the next command.
func (scr *script) load(replies []scripted) {
	scr.mu.Lock()
	defer scr.mu.Unlock()
	scr.replies = replies
}

// drain gives the traffic of the last command, and how many replies it left.
func (scr *script) drain() (traffic string, left int) {
	scr.mu.Lock()
	defer scr.mu.Unlock()
	traffic = scr.log.String()
	scr.log.Reset()
	return traffic, len(scr.replies)
}

func (scr *script) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	scr.mu.Lock()
	defer scr.mu.Unlock()
	body, err := io.ReadAll(req.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(&scr.log, "> %s %s\n", req.Method, req.RequestURI)
	for _, name := range []string{"Authorization", "If-Match", "X-Request-Id", "X-Actor"} {
		if val := req.Header.Get(name); val != "" {
			fmt.Fprintf(&scr.log, "> %s: %s\n", name, val)
		}
	}
	if len(body) > 0 {
		fmt.Fprintf(&scr.log, "> %s\n", strings.Join(strings.Fields(string(body)), " "))
	}
	scr.reply(w)
}

func (scr *script) reply(w http.ResponseWriter) {
	if len(scr.replies) == 0 {
		http.Error(w, "the script has no more replies", http.StatusInternalServerError)
		return
	}
	next := scr.replies[0]
	scr.replies = scr.replies[1:]
	if next.hangUp {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(&scr.log, "< %d %s\n", next.status, next.body)
	w.WriteHeader(next.status)
	_, _ = io.WriteString(w, next.body)
}

// session runs commands one after the other and gives everything that a person
// would see, and the traffic in between.
func session(t *testing.T, steps []step) string {
	t.Helper()
	is := is.New(t)
	scr := &script{}
	srv := httptest.NewServer(scr)
	defer srv.Close()
	clearVariables(t)
	t.Setenv("LABURNUMVANE_URL", srv.URL)
	t.Setenv("LABURNUMVANE_OPERATOR_URL", srv.URL)

	var all bytes.Buffer
	for _, stp := range steps {
		scr.load(stp.replies)
		var out, errOut bytes.Buffer
		args := append([]string{"laburnumvane"}, strings.Fields(stp.args)...)
		code := run(t.Context(), args, strings.NewReader(stp.stdin), &out, &errOut)
		traffic, left := scr.drain()
		is.Equal(left, 0) // replies that nobody asked for

		fmt.Fprintf(&all, "$ laburnumvane %s\n%s", stp.args, traffic)
		fmt.Fprintf(&all, "%s%sexit %d\n\n", out.String(), prefixed(errOut.String()), code)
	}
	text := strings.ReplaceAll(all.String(), srv.URL, "http://VM")
	return regexp.MustCompile("[0-9a-f]{32}").ReplaceAllString(text, "RANDOM")
}

// clearVariables keeps the settings of whoever runs the test out of it.
func clearVariables(t *testing.T) {
	t.Helper()
	for _, pair := range os.Environ() {
		name, _, _ := strings.Cut(pair, "=")
		if strings.HasPrefix(name, "LABURNUMVANE_") {
			t.Setenv(name, "") // puts the old value back at the end
			is.New(t).NoErr(os.Unsetenv(name))
		}
	}
}

func prefixed(text string) string {
	var all strings.Builder
	for line := range strings.Lines(text) {
		all.WriteString("! " + line)
	}
	return all.String()
}
