package front_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"laburnumvane/internal/golden"
	_ "laburnumvane/internal/quiet"
	"laburnumvane/io/contr"
	"laburnumvane/io/drive"
	"laburnumvane/io/front"
	"laburnumvane/io/wire"
)

// waitTimeout ends a test that hangs; no check depends on it.
const waitTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, contr.LibraryGoroutines()...)
}

// fakeSearcher answers depending on the name of the search.
type fakeSearcher struct {
	mu      sync.Mutex
	got     []wire.SearchRequest
	entered chan struct{}
	ended   chan error
}

func (fs *fakeSearcher) Search(ctx context.Context, rq wire.SearchRequest) wire.SearchAnswer {
	fs.mu.Lock()
	fs.got = append(fs.got, rq)
	fs.mu.Unlock()
	an := wire.SearchAnswer{ID: rq.ID, Hits: []wire.Hit{}}
	switch rq.Search {
	case "all":
		an.Outcome, an.Snapshot = wire.OutcomeComplete, 7
		an.Coverage = wire.Coverage{Shards: 2, Answered: 2, Share: 1}
		an.Hits = append(an.Hits, wire.Hit{Member: "m1", Fields: rq.Query})
	case "half":
		an.Outcome, an.Reason, an.Snapshot = wire.OutcomePartial, "deadline", 7
		an.Coverage = wire.Coverage{Shards: 2, Answered: 1, Share: 0.5}
	case "shed":
		an.Outcome, an.Reason, an.RetryAfterMs = wire.OutcomeNotRun, "shed", 1001
	case "empty":
		an.Outcome, an.Reason = wire.OutcomeNotRun, drive.ReasonNoUpstreams
	case "strange":
		an.Outcome, an.Reason = wire.OutcomeNotRun, drive.ReasonUnknownSearch
	case "lost":
		an.Outcome, an.Reason = wire.OutcomeUnknown, "deadline"
	case "panic":
		panic("fault")
	case "wait":
		fs.entered <- struct{}{}
		<-ctx.Done()
		an.Outcome, an.Reason = wire.OutcomeUnknown, "cancelled"
		fs.ended <- ctx.Err()
	}
	return an
}

func (fs *fakeSearcher) Tickets(team string, n int) []string {
	switch team {
	case "panic":
		panic("fault")
	case "nobody":
		return nil
	}
	return []string{fmt.Sprintf("%s-%d", team, n)}
}

type fixture struct {
	*fakeSearcher
	addr    string
	logged  []string
	panics  []string
	refused map[string]int
}

func startFront(t *testing.T, requestTime time.Duration) *fixture {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	fx := &fixture{
		fakeSearcher: &fakeSearcher{entered: make(chan struct{}, 8), ended: make(chan error, 8)},
		addr:         ln.Addr().String(),
		refused:      map[string]int{},
	}
	var mu sync.Mutex
	fr := front.New(front.Config{
		Listener:    ln,
		Search:      fx.fakeSearcher,
		Leaving:     func() bool { return false },
		MaxBody:     1024,
		ReadTimeout: requestTime,
		MaxDeadline: time.Minute,
		TicketTTL:   time.Minute,
		NewID:       func() string { return "own" },
		Refused: func(reason string) {
			mu.Lock()
			defer mu.Unlock()
			fx.refused[reason]++
		},
		Panicked: func(value any, stack []byte) {
			mu.Lock()
			defer mu.Unlock()
			fx.panics = append(fx.panics, fmt.Sprint(value))
			is.True(strings.Contains(string(stack), "front_test.go"))
		},
		Log: func(_ wire.SearchRequest, an wire.SearchAnswer) {
			mu.Lock()
			defer mu.Unlock()
			fx.logged = append(fx.logged, an.ID)
		},
	})
	ended := make(chan error, 1)
	go func() { ended <- fr.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		is.NoErr(fr.Shutdown(ctx))
		is.NoErr(<-ended)
	})
	return fx
}

const closeHeaders = "Host: a\r\nConnection: close\r\n"

// post returns a request after which the server closes the connection.
func post(path, headers, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\n%s%sContent-Length: %d\r\n\r\n%s", path, closeHeaders, headers, len(body), body)
}

func oneStep(raw string) []contr.Step {
	return []contr.Step{{Send: raw}}
}

const validSearch = `{"team":"wash","search":"all","query":{"plate":"KX53"}}`

// Each case sends other bytes; the golden file shows the answers. Whatever a client sends, it must
// get one JSON answer with a status that HTTP libraries understand, and the connection must not be
// left half open.
func TestSessions(t *testing.T) {
	fx := startFront(t, waitTimeout)
	body := func(fields string) []contr.Step {
		return oneStep(post(wire.RouteSearch, "", `{"team":"wash","search":"all","query":{}`+fields+`}`))
	}
	search := func(name string) []contr.Step {
		return oneStep(post(wire.RouteSearch, "X-Request-Id: r1\r\n", `{"team":"wash","search":"`+name+`","query":{}}`))
	}
	cases := []struct {
		name  string
		steps []contr.Step
	}{
		{"complete", oneStep(post(wire.RouteSearch, "X-Request-Id: r1\r\nContent-Type: application/json\r\n", validSearch))},
		{"partial", search("half")},
		{"not run, retry later", search("shed")},
		{"not run, no register", search("empty")},
		{"not run, unknown search", search("strange")},
		{"unknown", search("lost")},
		{"no id", oneStep(post(wire.RouteSearch, "", validSearch))},
		{"id in the body overrides the header's", oneStep(post(wire.RouteSearch, "X-Request-Id: r1\r\n", `{"id":"r2",`+validSearch[1:]))},
		{"id too long", body(`,"id":"` + strings.Repeat("x", 129) + `"`)},
		{"id with a line break", body(`,"id":"a\r\nSet-Cookie: b"`)},
		{"header's id too long", oneStep(post(wire.RouteSearch, "X-Request-Id: "+strings.Repeat("x", 129)+"\r\n", validSearch))},
		{"not JSON", oneStep(post(wire.RouteSearch, "", `team=wash`))},
		{"empty body", oneStep(post(wire.RouteSearch, "", ``))},
		{"truncated body", oneStep(post(wire.RouteSearch, "", validSearch[:20]))},
		{"trailing garbage", oneStep(post(wire.RouteSearch, "", validSearch+"x"))},
		{"two values", oneStep(post(wire.RouteSearch, "", validSearch+validSearch))},
		{"an array", oneStep(post(wire.RouteSearch, "", `[]`))},
		{"null", oneStep(post(wire.RouteSearch, "", `null`))},
		{"wrong type", oneStep(post(wire.RouteSearch, "", `{"team":7}`))},
		{"wrong type of a number", body(`,"deadlineMs":"soon"`)},
		{"fraction of a millisecond", body(`,"deadlineMs":1.5`)},
		{"deadline beyond a number's range", body(`,"deadlineMs":1e30`)},
		{"zero deadline", body(`,"deadlineMs":0`)},
		{"negative deadline", body(`,"deadlineMs":-1`)},
		{"deadline of a year", body(`,"deadlineMs":31536000000`)},
		{"coverage above one", body(`,"minCoverage":1.01`)},
		{"repeat", body(`,"repeat":"sometimes"`)},
		{"no team", oneStep(post(wire.RouteSearch, "", `{"search":"all","query":{}}`))},
		{"no search", oneStep(post(wire.RouteSearch, "", `{"team":"wash","query":{}}`))},
		{"no query", oneStep(post(wire.RouteSearch, "", `{"team":"wash","search":"all"}`))},
		{"null query", oneStep(post(wire.RouteSearch, "", `{"team":"wash","search":"all","query":null}`))},
		{"query is text", oneStep(post(wire.RouteSearch, "", `{"team":"wash","search":"all","query":"x"}`))},
		{"long team", oneStep(post(wire.RouteSearch, "", `{"team":"`+strings.Repeat("x", 257)+`","search":"all","query":{}}`))},
		{"unknown field is ignored", body(`,"colour":"red"`)},
		{"invalid UTF-8", oneStep(post(wire.RouteSearch, "", `{"team":"wash","search":"all","query":{"plate":"`+"\xff"+`"}}`))},
		{"XML", oneStep(post(wire.RouteSearch, "Content-Type: text/xml\r\n", `<a/>`))},
		{"form with files", oneStep(post(wire.RouteSearch, "Content-Type: multipart/form-data; boundary=x\r\n", "--x--"))},
		{"other character set", oneStep(post(wire.RouteSearch, "Content-Type: application/json; charset=latin1\r\n", validSearch))},
		{"compressed", oneStep(post(wire.RouteSearch, "Content-Encoding: gzip\r\n", validSearch))},
		{"what curl -d sends", oneStep(post(wire.RouteSearch, "Content-Type: application/x-www-form-urlencoded\r\n", validSearch))},
		{"oversized", oneStep(post(wire.RouteSearch, "", strings.Repeat(" ", 1025)))},
		{"oversized, far more than a buffer", oneStep(post(wire.RouteSearch, "", strings.Repeat(" ", 4<<20)))},
		{"oversized, body not sent", oneStep("POST /v1/search HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000\r\n\r\n")},
		{"oversized in chunks", oneStep("POST /v1/search HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n401\r\n" + strings.Repeat(" ", 1025) + "\r\n0\r\n\r\n")},
		{"in chunks", oneStep("POST /v1/search HTTP/1.1\r\n" + closeHeaders + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(validSearch), validSearch))},
		{"negative length", oneStep("POST /v1/search HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n")},
		{"long headers", oneStep("POST /v1/search HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", 20000) + "\r\n\r\n")},
		{"not HTTP", oneStep("\x16\x03\x01 hello\r\n\r\n")},
		{"two lengths", oneStep("POST /v1/search HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 0\r\n\r\n" + post(wire.RouteSearch, "", `{}`))},
		{"length and chunks", oneStep("POST /v1/search HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + post(wire.RouteSearch, "", `{}`))},
		{"no host", oneStep("POST /v1/search HTTP/1.1\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}")},
		{"HTTP/1.0", oneStep(fmt.Sprintf("POST /v1/search HTTP/1.0\r\nContent-Length: %d\r\n\r\n%s", len(validSearch), validSearch))},
		{"unknown route", oneStep("GET /v2/search HTTP/1.1\r\n" + closeHeaders + "\r\n")},
		{"trailing slash", oneStep(post(wire.RouteSearch+"/", "", validSearch))},
		{"unknown method", oneStep("GET /v1/search HTTP/1.1\r\n" + closeHeaders + "\r\n")},
		{"health", oneStep("GET /v1/health HTTP/1.1\r\n" + closeHeaders + "\r\n")},
		{"two pipelined requests", oneStep(fmt.Sprintf("POST /v1/search HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(validSearch), validSearch) + post(wire.RouteSearch, "", `{}`))},
		{"expect", []contr.Step{
			{Send: fmt.Sprintf("POST /v1/search HTTP/1.1\r\n%sExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", closeHeaders, len(validSearch)), Until: "100 Continue\r\n\r\n"},
			{Send: validSearch},
		}},
		{"expect, oversized", oneStep("POST /v1/search HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1025\r\n\r\n")},
		{"ends within the body", []contr.Step{{Send: post(wire.RouteSearch, "", validSearch)[:120], CloseWrite: true}}},
		{"ends within the headers", []contr.Step{{Send: "POST /v1/search HTTP/1.1\r\nHost:", CloseWrite: true}}},
		{"nothing sent", []contr.Step{{CloseWrite: true}}},
		{"ticket", oneStep(post(wire.RouteTickets, "", `{"team":"wash"}`))},
		{"tickets", oneStep(post(wire.RouteTickets, "", `{"team":"wash","count":3}`))},
		{"no tickets", oneStep(post(wire.RouteTickets, "", `{"team":"wash","count":0}`))},
		{"too many tickets", oneStep(post(wire.RouteTickets, "", `{"team":"wash","count":1001}`))},
		{"tickets while leaving", oneStep(post(wire.RouteTickets, "", `{"team":"nobody"}`))},
		{"tickets without a team", oneStep(post(wire.RouteTickets, "", `{}`))},
	}
	var all strings.Builder
	for _, tc := range cases {
		all.WriteString(contr.Transcript(tc.name, tc.steps, contr.Talk(t, fx.addr, tc.steps...)))
	}
	golden.Check(t, "sessions", all.String())
}

// The caller's id must appear in the answer's header and body, in the log and in the search.
func TestRequestID(t *testing.T) {
	is := is.New(t)
	fx := startFront(t, waitTimeout)
	answer := contr.Talk(t, fx.addr, oneStep(post(wire.RouteSearch, "X-Request-Id: r1\r\n", validSearch))...)
	is.True(strings.Contains(answer, "X-Request-Id: r1\r\n"))
	is.True(strings.Contains(answer, `"id":"r1"`))
	is.Equal(fx.logged, []string{"r1"})
	is.Equal(fx.got[0].ID, "r1")
}

// The library reuses a request's buffer for the next request. The data of a search must not change
// with it, because a search with a ticket can continue after its request has ended.
func TestRequestOutlivesBuffer(t *testing.T) {
	is := is.New(t)
	fx := startFront(t, waitTimeout)
	raw := ""
	for i := range 20 {
		body := fmt.Sprintf(`{"team":"t%02d","search":"all","query":{"n":1%02d},"ticket":"k%02d"}`, i, i, i)
		raw += fmt.Sprintf("POST /v1/search HTTP/1.1\r\nHost: a\r\nX-Request-Id: r%02d\r\nContent-Length: %d\r\n\r\n%s", i, len(body), body)
	}
	contr.Talk(t, fx.addr, oneStep(raw+post(wire.RouteSearch, "", validSearch))...)
	for i := range 20 {
		rq := fx.got[i]
		is.Equal(rq.Team, fmt.Sprintf("t%02d", i))
		is.Equal(rq.ID, fmt.Sprintf("r%02d", i))
		is.Equal(rq.Ticket, fmt.Sprintf("k%02d", i))
		is.Equal(string(rq.Query), fmt.Sprintf(`{"n":1%02d}`, i))
		is.True(json.Valid(rq.Query))
	}
}

// One request causes a panic. Its caller must not be told that nothing ran, and other callers must
// not be affected.
func TestPanic(t *testing.T) {
	is := is.New(t)
	fx := startFront(t, waitTimeout)
	answer := contr.Talk(t, fx.addr, oneStep(post(wire.RouteSearch, "X-Request-Id: r1\r\n", `{"team":"wash","search":"panic","query":{}}`))...)
	is.True(strings.HasPrefix(answer, "HTTP/1.1 504 "))
	is.True(strings.Contains(answer, `"id":"r1","outcome":"unknown","reason":"internal"`))
	is.Equal(fx.logged, []string{"r1"})
	answer = contr.Talk(t, fx.addr, oneStep(post(wire.RouteTickets, "", `{"team":"panic"}`))...)
	is.True(strings.HasPrefix(answer, "HTTP/1.1 500 "))
	is.True(strings.Contains(answer, `"reason":"internal"`))
	is.Equal(fx.panics, []string{"fault", "fault"})
	is.Equal(fx.refused, map[string]int{"internal": 1})
	answer = contr.Talk(t, fx.addr, oneStep(post(wire.RouteSearch, "", validSearch))...)
	is.True(strings.HasPrefix(answer, "HTTP/1.1 200 "))
}

// Each refusal is counted under its reason.
func TestRefusalsAreCounted(t *testing.T) {
	is := is.New(t)
	fx := startFront(t, waitTimeout)
	contr.Talk(t, fx.addr, oneStep(post(wire.RouteSearch, "", `{}`))...)
	contr.Talk(t, fx.addr, oneStep(post(wire.RouteTickets, "", `{}`))...)
	contr.Talk(t, fx.addr, oneStep(post(wire.RouteSearch, "Content-Type: text/xml\r\n", `{}`))...)
	contr.Talk(t, fx.addr, oneStep(post(wire.RouteSearch, "", strings.Repeat(" ", 1025)))...)
	contr.Talk(t, fx.addr, oneStep(post("/v2", "", validSearch))...)
	contr.Talk(t, fx.addr, oneStep(post(wire.RouteSearch, "", validSearch))...)
	is.Equal(fx.refused, map[string]int{"badRequest": 2, "mediaType": 1, "tooLarge": 1, "noSuchRoute": 1})
}
