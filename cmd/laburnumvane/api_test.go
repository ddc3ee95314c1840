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

// exchange is one request on the API page and the reply printed below it.
type exchange struct {
	line     int
	operator bool
	request  string
	reply    string
}

// Users write their clients from the examples on the API page. Each example is sent to real VMs,
// and the reply must have the status, headers and fields that the page shows.
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

// apiSite returns the demo's configuration with deadlines of 10 s, so that no search times out on a
// slow machine.
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
	if msg := mismatch("", []byte(printed), body, vals); msg != "" {
		t.Fatalf("%s\nbody %s", msg, body)
	}
}

// requestOf builds a request. It replaces "$name" in the body by the value that an earlier reply
// had there.
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

// mismatch describes the first difference between the printed reply and the one received, or returns
// "". Objects may have more fields than printed. A printed "$name" matches any value, which is stored
// in vals.
func mismatch(path string, printed, got []byte, vals map[string]json.RawMessage) string {
	var name string
	if json.Unmarshal(printed, &name) == nil && strings.HasPrefix(name, "$") {
		vals[name] = got
		return ""
	}
	var want, have map[string]json.RawMessage
	if json.Unmarshal(printed, &want) == nil && want != nil {
		if err := json.Unmarshal(got, &have); err != nil {
			return path + ": " + err.Error()
		}
		for key, sub := range want {
			if _, ok := have[key]; !ok {
				return path + "." + key + ": is absent"
			}
			if msg := mismatch(path+"."+key, sub, have[key], vals); msg != "" {
				return msg
			}
		}
		return ""
	}
	return mismatchNonObject(path, printed, got, vals)
}

// mismatchNonObject is mismatch for arrays, strings, numbers, booleans and null.
func mismatchNonObject(path string, printed, got []byte, vals map[string]json.RawMessage) string {
	var want, have []json.RawMessage
	if json.Unmarshal(printed, &want) == nil && want != nil {
		if err := json.Unmarshal(got, &have); err != nil || len(have) != len(want) {
			return fmt.Sprintf("%s: is %s, the page says %s", path, got, printed)
		}
		for i := range want {
			if msg := mismatch(fmt.Sprintf("%s[%d]", path, i), want[i], have[i], vals); msg != "" {
				return msg
			}
		}
		return ""
	}
	if !bytes.Equal(bytes.TrimSpace(printed), bytes.TrimSpace(got)) {
		return fmt.Sprintf("%s: is %s, the page says %s", path, got, printed)
	}
	return ""
}

// exchanges reads the examples from the page, where each request is followed by its reply.
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

// crlf converts an example to HTTP wire format, with CRLF line ends in the head.
func crlf(text string) string {
	head, body, _ := strings.Cut(text, "\n\n")
	return strings.ReplaceAll(head, "\n", "\r\n") + "\r\n\r\n" + body
}
