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

// patience ends a test that hangs; no verdict depends on it.
const patience = 30 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, contr.LibraryGoroutines()...)
}

// fake answers by the name of the search.
type fake struct {
	mu      sync.Mutex
	got     []wire.SearchRequest
	entered chan struct{}
	ended   chan error
}

func (fk *fake) Search(ctx context.Context, rq wire.SearchRequest) wire.SearchAnswer {
	fk.mu.Lock()
	fk.got = append(fk.got, rq)
	fk.mu.Unlock()
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
		an.Outcome, an.Reason = wire.OutcomeNotRun, drive.ReasonNoRegister
	case "strange":
		an.Outcome, an.Reason = wire.OutcomeNotRun, drive.ReasonNoSearch
	case "lost":
		an.Outcome, an.Reason = wire.OutcomeUnknown, "deadline"
	case "panic":
		panic("fault")
	case "wait":
		fk.entered <- struct{}{}
		<-ctx.Done()
		an.Outcome, an.Reason = wire.OutcomeUnknown, "cancelled"
		fk.ended <- ctx.Err()
	}
	return an
}

func (fk *fake) Tickets(team string, n int) []string {
	switch team {
	case "panic":
		panic("fault")
	case "nobody":
		return nil
	}
	return []string{fmt.Sprintf("%s-%d", team, n)}
}

type bench struct {
	*fake
	addr    string
	logged  []string
	panics  []string
	refused map[string]int
}

func start(t *testing.T, requestTime time.Duration) *bench {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	be := &bench{
		fake:    &fake{entered: make(chan struct{}, 8), ended: make(chan error, 8)},
		addr:    ln.Addr().String(),
		refused: map[string]int{},
	}
	var mu sync.Mutex
	fr := front.New(front.Config{
		Listener:    ln,
		Search:      be.fake,
		Leaving:     func() bool { return false },
		MaxBody:     1024,
		ReadTimeout: requestTime,
		MaxDeadline: time.Minute,
		TicketTTL:   time.Minute,
		NewID:       func() string { return "own" },
		Refused: func(reason string) {
			mu.Lock()
			defer mu.Unlock()
			be.refused[reason]++
		},
		Panicked: func(value any, stack []byte) {
			mu.Lock()
			defer mu.Unlock()
			be.panics = append(be.panics, fmt.Sprint(value))
			is.True(strings.Contains(string(stack), "front_test.go"))
		},
		Log: func(_ wire.SearchRequest, an wire.SearchAnswer) {
			mu.Lock()
			defer mu.Unlock()
			be.logged = append(be.logged, an.ID)
		},
	})
	ended := make(chan error, 1)
	go func() { ended <- fr.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		is.NoErr(fr.Shutdown(ctx))
		is.NoErr(<-ended)
	})
	return be
}

const lastHead = "Host: a\r\nConnection: close\r\n"

// post makes a request after which the server closes.
func post(path, headers, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\n%s%sContent-Length: %d\r\n\r\n%s", path, lastHead, headers, len(body), body)
}

func one(raw string) []contr.Step {
	return []contr.Step{{Send: raw}}
}

const good = `{"team":"wash","search":"all","query":{"plate":"KX53"}}`

// Each client says something else; the file shows what it gets. Whatever a
// client sends, it gets one answer in JSON with a status that HTTP libraries
// understand, and the connection is not left half open.
func TestSessions(t *testing.T) {
	be := start(t, patience)
	body := func(fields string) []contr.Step {
		return one(post(wire.RouteSearch, "", `{"team":"wash","search":"all","query":{}`+fields+`}`))
	}
	search := func(name string) []contr.Step {
		return one(post(wire.RouteSearch, "X-Request-Id: r1\r\n", `{"team":"wash","search":"`+name+`","query":{}}`))
	}
	cases := []struct {
		name  string
		steps []contr.Step
	}{
		{"complete", one(post(wire.RouteSearch, "X-Request-Id: r1\r\nContent-Type: application/json\r\n", good))},
		{"partial", search("half")},
		{"not run, come back later", search("shed")},
		{"not run, this VM cannot", search("empty")},
		{"not run, the caller's mistake", search("strange")},
		{"unknown", search("lost")},
		{"no id", one(post(wire.RouteSearch, "", good))},
		{"id in the body goes before the header's", one(post(wire.RouteSearch, "X-Request-Id: r1\r\n", `{"id":"r2",`+good[1:]))},
		{"id too long", body(`,"id":"` + strings.Repeat("x", 129) + `"`)},
		{"id with a line break", body(`,"id":"a\r\nSet-Cookie: b"`)},
		{"header's id too long", one(post(wire.RouteSearch, "X-Request-Id: "+strings.Repeat("x", 129)+"\r\n", good))},
		{"not JSON", one(post(wire.RouteSearch, "", `team=wash`))},
		{"empty body", one(post(wire.RouteSearch, "", ``))},
		{"cut short", one(post(wire.RouteSearch, "", good[:20]))},
		{"trailing garbage", one(post(wire.RouteSearch, "", good+"x"))},
		{"two values", one(post(wire.RouteSearch, "", good+good))},
		{"an array", one(post(wire.RouteSearch, "", `[]`))},
		{"null", one(post(wire.RouteSearch, "", `null`))},
		{"wrong type", one(post(wire.RouteSearch, "", `{"team":7}`))},
		{"wrong type of a number", body(`,"deadlineMs":"soon"`)},
		{"fraction of a millisecond", body(`,"deadlineMs":1.5`)},
		{"deadline beyond a number's range", body(`,"deadlineMs":1e30`)},
		{"deadline of nought", body(`,"deadlineMs":0`)},
		{"negative deadline", body(`,"deadlineMs":-1`)},
		{"deadline of a year", body(`,"deadlineMs":31536000000`)},
		{"coverage above one", body(`,"minCoverage":1.01`)},
		{"repeat", body(`,"repeat":"sometimes"`)},
		{"no team", one(post(wire.RouteSearch, "", `{"search":"all","query":{}}`))},
		{"no search", one(post(wire.RouteSearch, "", `{"team":"wash","query":{}}`))},
		{"no query", one(post(wire.RouteSearch, "", `{"team":"wash","search":"all"}`))},
		{"null query", one(post(wire.RouteSearch, "", `{"team":"wash","search":"all","query":null}`))},
		{"query is text", one(post(wire.RouteSearch, "", `{"team":"wash","search":"all","query":"x"}`))},
		{"long team", one(post(wire.RouteSearch, "", `{"team":"`+strings.Repeat("x", 257)+`","search":"all","query":{}}`))},
		{"unknown field is ignored", body(`,"colour":"red"`)},
		{"invalid UTF-8", one(post(wire.RouteSearch, "", `{"team":"wash","search":"all","query":{"plate":"`+"\xff"+`"}}`))},
		{"XML", one(post(wire.RouteSearch, "Content-Type: text/xml\r\n", `<a/>`))},
		{"form with files", one(post(wire.RouteSearch, "Content-Type: multipart/form-data; boundary=x\r\n", "--x--"))},
		{"other character set", one(post(wire.RouteSearch, "Content-Type: application/json; charset=latin1\r\n", good))},
		{"compressed", one(post(wire.RouteSearch, "Content-Encoding: gzip\r\n", good))},
		{"what curl -d sends", one(post(wire.RouteSearch, "Content-Type: application/x-www-form-urlencoded\r\n", good))},
		{"oversized", one(post(wire.RouteSearch, "", strings.Repeat(" ", 1025)))},
		{"oversized, far more than a buffer", one(post(wire.RouteSearch, "", strings.Repeat(" ", 4<<20)))},
		{"oversized, not sent", one("POST /v1/search HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000\r\n\r\n")},
		{"oversized in chunks", one("POST /v1/search HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n401\r\n" + strings.Repeat(" ", 1025) + "\r\n0\r\n\r\n")},
		{"in chunks", one("POST /v1/search HTTP/1.1\r\n" + lastHead + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(good), good))},
		{"negative length", one("POST /v1/search HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n")},
		{"long headers", one("POST /v1/search HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", 20000) + "\r\n\r\n")},
		{"not HTTP", one("\x16\x03\x01 hello\r\n\r\n")},
		{"two lengths", one("POST /v1/search HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 0\r\n\r\n" + post(wire.RouteSearch, "", `{}`))},
		{"length and chunks", one("POST /v1/search HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + post(wire.RouteSearch, "", `{}`))},
		{"no host", one("POST /v1/search HTTP/1.1\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}")},
		{"HTTP/1.0", one(fmt.Sprintf("POST /v1/search HTTP/1.0\r\nContent-Length: %d\r\n\r\n%s", len(good), good))},
		{"unknown route", one("GET /v2/search HTTP/1.1\r\n" + lastHead + "\r\n")},
		{"slash behind the route", one(post(wire.RouteSearch+"/", "", good))},
		{"unknown method", one("GET /v1/search HTTP/1.1\r\n" + lastHead + "\r\n")},
		{"health", one("GET /v1/health HTTP/1.1\r\n" + lastHead + "\r\n")},
		{"two at once", one(fmt.Sprintf("POST /v1/search HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(good), good) + post(wire.RouteSearch, "", `{}`))},
		{"expect", []contr.Step{
			{Send: fmt.Sprintf("POST /v1/search HTTP/1.1\r\n%sExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", lastHead, len(good)), Until: "100 Continue\r\n\r\n"},
			{Send: good},
		}},
		{"expect, oversized", one("POST /v1/search HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1025\r\n\r\n")},
		{"ends within the body", []contr.Step{{Send: post(wire.RouteSearch, "", good)[:120], Hang: true}}},
		{"ends within the headers", []contr.Step{{Send: "POST /v1/search HTTP/1.1\r\nHost:", Hang: true}}},
		{"ends before it begins", []contr.Step{{Hang: true}}},
		{"ticket", one(post(wire.RouteTickets, "", `{"team":"wash"}`))},
		{"tickets", one(post(wire.RouteTickets, "", `{"team":"wash","count":3}`))},
		{"no tickets", one(post(wire.RouteTickets, "", `{"team":"wash","count":0}`))},
		{"too many tickets", one(post(wire.RouteTickets, "", `{"team":"wash","count":1001}`))},
		{"tickets while leaving", one(post(wire.RouteTickets, "", `{"team":"nobody"}`))},
		{"tickets of nobody", one(post(wire.RouteTickets, "", `{}`))},
	}
	var all strings.Builder
	for _, tc := range cases {
		all.WriteString(contr.Transcript(tc.name, tc.steps, contr.Talk(t, be.addr, tc.steps...)))
	}
	golden.Check(t, "sessions", all.String())
}

// The caller's id must find the request again, wherever it is looked for.
func TestRequestID(t *testing.T) {
	is := is.New(t)
	be := start(t, patience)
	said := contr.Talk(t, be.addr, one(post(wire.RouteSearch, "X-Request-Id: r1\r\n", good))...)
	is.True(strings.Contains(said, "X-Request-Id: r1\r\n"))
	is.True(strings.Contains(said, `"id":"r1"`))
	is.Equal(be.logged, []string{"r1"})
	is.Equal(be.got[0].ID, "r1")
}

// The library uses a request's buffer again for the next one. What a search was
// given must not change with it, for a search with a ticket outlives its
// request.
func TestRequestOutlivesBuffer(t *testing.T) {
	is := is.New(t)
	be := start(t, patience)
	raw := ""
	for i := range 20 {
		body := fmt.Sprintf(`{"team":"t%02d","search":"all","query":{"n":1%02d},"ticket":"k%02d"}`, i, i, i)
		raw += fmt.Sprintf("POST /v1/search HTTP/1.1\r\nHost: a\r\nX-Request-Id: r%02d\r\nContent-Length: %d\r\n\r\n%s", i, len(body), body)
	}
	contr.Talk(t, be.addr, one(raw+post(wire.RouteSearch, "", good))...)
	for i := range 20 {
		rq := be.got[i]
		is.Equal(rq.Team, fmt.Sprintf("t%02d", i))
		is.Equal(rq.ID, fmt.Sprintf("r%02d", i))
		is.Equal(rq.Ticket, fmt.Sprintf("k%02d", i))
		is.Equal(string(rq.Query), fmt.Sprintf(`{"n":1%02d}`, i))
		is.True(json.Valid(rq.Query))
	}
}

// One request brings out a fault of the program. Its caller must not hear that
// nothing ran, and the callers beside it must not notice.
func TestPanic(t *testing.T) {
	is := is.New(t)
	be := start(t, patience)
	said := contr.Talk(t, be.addr, one(post(wire.RouteSearch, "X-Request-Id: r1\r\n", `{"team":"wash","search":"panic","query":{}}`))...)
	is.True(strings.HasPrefix(said, "HTTP/1.1 504 "))
	is.True(strings.Contains(said, `"id":"r1","outcome":"unknown","reason":"internal"`))
	is.Equal(be.logged, []string{"r1"})
	said = contr.Talk(t, be.addr, one(post(wire.RouteTickets, "", `{"team":"panic"}`))...)
	is.True(strings.HasPrefix(said, "HTTP/1.1 500 "))
	is.True(strings.Contains(said, `"reason":"internal"`))
	is.Equal(be.panics, []string{"fault", "fault"})
	is.Equal(be.refused, map[string]int{"internal": 1})
	said = contr.Talk(t, be.addr, one(post(wire.RouteSearch, "", good))...)
	is.True(strings.HasPrefix(said, "HTTP/1.1 200 "))
}

// Every refusal is counted by its reason.
func TestRefusalsAreCounted(t *testing.T) {
	is := is.New(t)
	be := start(t, patience)
	contr.Talk(t, be.addr, one(post(wire.RouteSearch, "", `{}`))...)
	contr.Talk(t, be.addr, one(post(wire.RouteTickets, "", `{}`))...)
	contr.Talk(t, be.addr, one(post(wire.RouteSearch, "Content-Type: text/xml\r\n", `{}`))...)
	contr.Talk(t, be.addr, one(post(wire.RouteSearch, "", strings.Repeat(" ", 1025)))...)
	contr.Talk(t, be.addr, one(post("/v2", "", good))...)
	contr.Talk(t, be.addr, one(post(wire.RouteSearch, "", good))...)
	is.Equal(be.refused, map[string]int{"badRequest": 2, "mediaType": 1, "tooLarge": 1, "noSuchRoute": 1})
}
