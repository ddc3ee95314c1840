package contr

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/io/wire"
)

// CallerListener is a VM's listener for callers, with whole upstreams behind it.
type CallerListener struct {
	Addr string
	Team string
	// Search may be repeated; Once must not.
	Search, Once string
	// Query finds at least one member, and Other is another query.
	Query, Other json.RawMessage
	// Runs counts the sub-requests that upstreams have run.
	Runs func() uint64
}

func (cl CallerListener) url(route string) string { return "http://" + cl.Addr + route }

func (cl CallerListener) request() wire.SearchRequest {
	return wire.SearchRequest{Team: cl.Team, Search: cl.Search, Query: cl.Query, DeadlineMs: longMs}
}

func (cl CallerListener) once(ticket string) wire.SearchRequest {
	rq := cl.request()
	rq.Search, rq.Repeat, rq.Ticket = cl.Once, wire.RepeatNever, ticket
	return rq
}

func (cl CallerListener) ask(t *testing.T, rq any) (reply, wire.SearchAnswer) {
	t.Helper()
	rp := send(t, http.MethodPost, cl.url(wire.RouteSearch), nil, rq)
	return rp, as[wire.SearchAnswer](t, rp)
}

func (cl CallerListener) ticket(t *testing.T) string {
	t.Helper()
	rp := post[wire.TicketReply](t, cl.url(wire.RouteTickets), wire.TicketRequest{Team: cl.Team})
	is := is.New(t)
	is.Equal(len(rp.Tickets), 1)
	is.True(rp.ExpiresMs > 0)
	return rp.Tickets[0]
}

// Callers holds a listener to what callers rely on.
func Callers(t *testing.T, start func(t *testing.T) CallerListener) {
	t.Helper()
	run(t, start, []clause[CallerListener]{
		{"an answer tells its coverage, snapshot and work truly", callersAnswer},
		{"a request's id is echoed", callersID},
		{"what is refused as not run has not run", callersNotRun},
		{"a request that is no search is refused with its field", callersBad},
		{"a ticket runs its search once, and gives its answer again", callersTicket},
		{"a ticket is good for one request of one team", callersTicketMisuse},
		{"health says serving", func(t *testing.T, cl CallerListener) {
			is.New(t).Equal(send(t, http.MethodGet, cl.url(wire.RouteHealth), nil, nil).status, http.StatusOK)
		}},
	})
}

func callersAnswer(t *testing.T, cl CallerListener) {
	is := is.New(t)
	rp, an := cl.ask(t, cl.request())
	is.Equal(rp.status, http.StatusOK)
	is.Equal(an.Outcome, wire.OutcomeComplete)
	is.Equal(an.Reason, "")
	is.True(an.Snapshot != 0)
	is.True(an.Coverage.Shards > 0)
	is.Equal(an.Coverage.Answered, an.Coverage.Shards)
	is.True(math.Abs(an.Coverage.Share-1) < 1e-9)
	is.True(an.Work.Primaries >= an.Coverage.Shards)
	is.True(len(an.Hits) > 0)
	is.True(an.ElapsedMs > 0)
}

func callersID(t *testing.T, cl CallerListener) {
	is := is.New(t)
	header := http.Header{wire.HeaderRequestID: {"from-header"}}
	rp := send(t, http.MethodPost, cl.url(wire.RouteSearch), header, cl.request())
	is.Equal(as[wire.SearchAnswer](t, rp).ID, "from-header")
	is.Equal(rp.header.Get(wire.HeaderRequestID), "from-header")
	rq := cl.request()
	rq.ID = "from-body"
	_, an := cl.ask(t, rq)
	is.Equal(an.ID, "from-body")
	_, first := cl.ask(t, cl.request())
	_, second := cl.ask(t, cl.request())
	is.True(first.ID != "" && first.ID != second.ID) // ids of the VM's own
}

func callersNotRun(t *testing.T, cl CallerListener) {
	cases := []struct {
		name   string
		change func(rq *wire.SearchRequest)
		status int
	}{
		{"no such team", func(rq *wire.SearchRequest) { rq.Team = "no-such-team" }, http.StatusServiceUnavailable},
		{"no such search", func(rq *wire.SearchRequest) { rq.Search = "no-such-search" }, http.StatusBadRequest},
		{"another register", func(rq *wire.SearchRequest) { rq.Register = "no-such-register" }, http.StatusBadRequest},
		{"must not repeat, without a ticket", func(rq *wire.SearchRequest) { rq.Repeat = wire.RepeatNever }, http.StatusBadRequest},
		{"must not repeat by configuration", func(rq *wire.SearchRequest) { rq.Search = cl.Once }, http.StatusBadRequest},
		{"no ticket at all", func(rq *wire.SearchRequest) { rq.Repeat, rq.Ticket = wire.RepeatNever, "x" }, http.StatusBadRequest},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			before := cl.Runs()
			rq := cl.request()
			tc.change(&rq)
			rp, an := cl.ask(t, rq)
			is.Equal(rp.status, tc.status)
			is.Equal(an.Outcome, wire.OutcomeNotRun)
			is.True(an.Reason != "")
			is.True(an.Message != "")
			is.Equal(cl.Runs(), before)
			if an.RetryAfterMs > 0 {
				is.Equal(rp.header.Get("Retry-After"), strconv.FormatInt((an.RetryAfterMs+999)/1000, 10))
			}
		})
	}
}

func callersBad(t *testing.T, cl CallerListener) {
	cases := []struct{ body, path string }{
		{`{`, ""},
		{`{"team":5}`, "team"},
		{`{"team":"a"}`, "search"},
		{`{"team":"a","search":"b"}`, "query"},
		{`{"team":"a","search":"b","query":[]}`, "query"},
		{`{"team":"a","search":"b","query":{},"deadlineMs":0}`, "deadlineMs"},
		{`{"team":"a","search":"b","query":{},"deadlineMs":31536000000}`, "deadlineMs"},
		{`{"team":"a","search":"b","query":{},"minCoverage":2}`, "minCoverage"},
		{`{"team":"a","search":"b","query":{},"repeat":"often"}`, "repeat"},
	}
	before := cl.Runs()
	for _, tc := range cases {
		is := is.New(t)
		rp := send(t, http.MethodPost, cl.url(wire.RouteSearch), nil, tc.body)
		is.Equal(rp.status, http.StatusBadRequest)
		er := as[wire.ErrorReply](t, rp)
		is.Equal(er.Path, tc.path)
		is.True(er.Error != "" && er.Reason != "")
	}
	is.New(t).Equal(cl.Runs(), before)
}

func callersTicket(t *testing.T, cl CallerListener) {
	is := is.New(t)
	ticket := cl.ticket(t)
	rp, first := cl.ask(t, cl.once(ticket))
	is.Equal(rp.status, http.StatusOK)
	is.Equal(first.Outcome, wire.OutcomeComplete)
	ran := cl.Runs()
	rp, again := cl.ask(t, cl.once(ticket))
	is.Equal(rp.status, http.StatusOK)
	is.Equal(again.Hits, first.Hits)
	is.Equal(again.Snapshot, first.Snapshot)
	is.Equal(again.Coverage, first.Coverage)
	is.Equal(cl.Runs(), ran) // the second did not run
}

func callersTicketMisuse(t *testing.T, cl CallerListener) {
	is := is.New(t)
	ticket := cl.ticket(t)
	_, an := cl.ask(t, cl.once(ticket))
	is.Equal(an.Outcome, wire.OutcomeComplete)
	ran := cl.Runs()
	other := cl.once(ticket)
	other.Query = cl.Other
	rp, an := cl.ask(t, other)
	is.Equal(rp.status, http.StatusBadRequest)
	is.Equal(an.Outcome, wire.OutcomeNotRun)
	altered := []byte(ticket)
	altered[len(altered)/2] ^= 1
	rp, an = cl.ask(t, cl.once(string(altered)))
	is.Equal(rp.status >= 400, true)
	is.True(an.Outcome == wire.OutcomeNotRun || an.Outcome == wire.OutcomeUnknown)
	is.Equal(cl.Runs(), ran)
}
