package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/team"
	"laburnumvane/io/emul"
	"laburnumvane/io/site"
)

const apiPage = "../../docs/API.md"

// exchange is one request of the page and the reply printed below it.
type exchange struct {
	line     int
	operator bool
	request  string
	reply    string
}

// The page's examples are what callers write their clients by. Each is sent to
// real VMs, and the reply must have the status, headers and fields printed.
func TestAPI_Examples(t *testing.T) {
	is := is.New(t)
	st, err := site.Start(apiSite(t))
	is.NoErr(err)
	t.Cleanup(st.Close)
	is.NoErr(st.WaitReady(t.Context()))

	exs := exchanges(t)
	is.True(len(exs) > 15) // the page's blocks are found
	vals := map[string]json.RawMessage{}
	for _, ex := range exs {
		first, _, _ := strings.Cut(ex.request, "\n")
		t.Run(fmt.Sprintf("line %d %s", ex.line, first), func(t *testing.T) {
			addrs := st.Nodes()[0].Addrs()
			addr := addrs.Caller
			if ex.operator {
				addr = addrs.Operator
			}
			check(t, ex, addr, vals)
		})
	}
}

// apiSite is the demonstration's, with time enough for the slowest machine.
func apiSite(t *testing.T) site.Config {
	t.Helper()
	rg, err := emul.SampleRegister(demoRegister, demoSeed, demoMembers)
	is.New(t).NoErr(err)
	cfg := demoSite(rg, "error")
	searches := map[string]team.Search{}
	for name, sch := range cfg.Searches {
		searches[name] = sch.WithDeadlines(0, 10_000)
	}
	cfg.Searches = searches
	return cfg
}

func check(t *testing.T, ex exchange, addr string, vals map[string]json.RawMessage) {
	t.Helper()
	is := is.New(t)
	want, err := http.ReadResponse(bufio.NewReader(strings.NewReader(crlf(ex.reply))), nil)
	is.NoErr(err)
	defer func() { is.NoErr(want.Body.Close()) }()
	res, err := http.DefaultClient.Do(requestOf(t, ex, addr, vals))
	is.NoErr(err)
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.NoErr(res.Body.Close())

	if res.StatusCode != want.StatusCode {
		t.Fatalf("status %d, the page says %d; body %s", res.StatusCode, want.StatusCode, body)
	}
	for name := range want.Header {
		is.Equal(res.Header.Get(name), want.Header.Get(name))
	}
	_, printed, _ := strings.Cut(ex.reply, "\n\n")
	if printed == "" {
		return
	}
	if msg := differs("", []byte(printed), body, vals); msg != "" {
		t.Fatalf("%s\nbody %s", msg, body)
	}
}

// requestOf builds a request, with values of earlier replies in place of names.
func requestOf(t *testing.T, ex exchange, addr string, vals map[string]json.RawMessage) *http.Request {
	t.Helper()
	is := is.New(t)
	head, body, _ := strings.Cut(ex.request, "\n\n")
	for name, val := range vals {
		body = strings.ReplaceAll(body, `"`+name+`"`, string(val))
		if strings.TrimSpace(body) == name {
			body = string(val)
		}
	}
	req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(crlf(head + "\nHost: " + addr + "\n\n"))))
	is.NoErr(err)
	out, err := http.NewRequestWithContext(t.Context(), req.Method, "http://"+addr+req.RequestURI, strings.NewReader(body))
	is.NoErr(err)
	out.Header = req.Header
	return out
}

// differs says where a reply lacks what is printed, or "". Objects may have
// more fields than printed; a printed "$name" takes any value and keeps it.
func differs(at string, printed, got []byte, vals map[string]json.RawMessage) string {
	var name string
	if json.Unmarshal(printed, &name) == nil && strings.HasPrefix(name, "$") {
		vals[name] = got
		return ""
	}
	var want, have map[string]json.RawMessage
	if json.Unmarshal(printed, &want) == nil && want != nil {
		if err := json.Unmarshal(got, &have); err != nil {
			return at + ": " + err.Error()
		}
		for key, sub := range want {
			if _, ok := have[key]; !ok {
				return at + "." + key + ": is absent"
			}
			if msg := differs(at+"."+key, sub, have[key], vals); msg != "" {
				return msg
			}
		}
		return ""
	}
	return differsPlain(at, printed, got, vals)
}

func differsPlain(at string, printed, got []byte, vals map[string]json.RawMessage) string {
	var want, have []json.RawMessage
	if json.Unmarshal(printed, &want) == nil && want != nil {
		if err := json.Unmarshal(got, &have); err != nil || len(have) != len(want) {
			return fmt.Sprintf("%s: is %s, the page says %s", at, got, printed)
		}
		for i := range want {
			if msg := differs(fmt.Sprintf("%s[%d]", at, i), want[i], have[i], vals); msg != "" {
				return msg
			}
		}
		return ""
	}
	if !bytes.Equal(bytes.TrimSpace(printed), bytes.TrimSpace(got)) {
		return fmt.Sprintf("%s: is %s, the page says %s", at, got, printed)
	}
	return ""
}

// exchanges reads the page: each request is followed by its reply.
func exchanges(t *testing.T) []exchange {
	t.Helper()
	is := is.New(t)
	raw, err := os.ReadFile(apiPage)
	is.NoErr(err)
	page := string(raw)
	operators := strings.Index(page, "\n## Operators\n")
	is.True(operators > 0)

	block := regexp.MustCompile("(?s)\n```http\n(.*?)\n```\n")
	var exs []exchange
	for i, loc := range block.FindAllStringSubmatchIndex(page, -1) {
		text := page[loc[2]:loc[3]]
		is.Equal(strings.HasPrefix(text, "HTTP/"), i%2 == 1) // requests and replies in turn
		if i%2 == 0 {
			line := 1 + strings.Count(page[:loc[2]], "\n")
			exs = append(exs, exchange{line: line, operator: loc[0] > operators, request: text})
			continue
		}
		exs[len(exs)-1].reply = text
	}
	return exs
}

// crlf turns an example into what goes over the wire.
func crlf(text string) string {
	head, body, _ := strings.Cut(text, "\n\n")
	return strings.ReplaceAll(head, "\n", "\r\n") + "\r\n\r\n" + body
}
