package oper_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"laburnumvane/internal/golden"
	_ "laburnumvane/internal/quiet"
	"laburnumvane/io/contr"
	"laburnumvane/io/oper"
	"laburnumvane/io/wire"
)

// testTimeout ends a test that hangs. No passing test depends on its value.
const testTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, contr.LibraryGoroutines()...)
}

// fakeOperator implements oper.Operator with documents in memory.
type fakeOperator struct {
	mu           sync.Mutex
	configs      map[string]wire.ConfigReply
	proposals    []oper.Proposal
	cancellable  bool // the client could have cancelled a change
	level        string
	platformDown bool // the platform is unreachable
	loseReplies  bool // the platform's replies are lost
}

func (fk *fakeOperator) Config(team string) (wire.ConfigReply, bool) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	cr, ok := fk.configs[team]
	return cr, ok
}

func (fk *fakeOperator) Change(ctx context.Context, pr oper.Proposal) (wire.ChangeReply, error) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	fk.cancellable = fk.cancellable || ctx.Done() != nil
	fk.proposals = append(fk.proposals, pr)
	if !json.Valid(pr.Document) {
		return wire.ChangeReply{}, errors.New("the document is not JSON")
	}
	cur := fk.configs[pr.Team]
	reply := wire.ChangeReply{ChangeID: pr.ID, Revision: cur.Revision}
	switch {
	case pr.Expect != nil && *pr.Expect != cur.Revision:
		reply.Result, reply.Current = wire.ChangeConflict, &cur
		return reply, nil
	case pr.DryRun:
		reply.Result = wire.ChangeDryRun
		return reply, nil
	}
	reply.Revision++
	reply.Result = wire.ChangeAccepted
	fk.configs[pr.Team] = wire.ConfigReply{Team: pr.Team, Revision: reply.Revision, ChangeID: pr.ID, Document: pr.Document}
	if fk.loseReplies {
		return wire.ChangeReply{Result: wire.ChangeUnknown, ChangeID: pr.ID}, nil
	}
	return reply, nil
}

func (fk *fakeOperator) History(_ context.Context, team string) (wire.HistoryReply, error) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	if fk.platformDown {
		return wire.HistoryReply{}, errors.New("the key-value service cannot be reached")
	}
	cr := fk.configs[team]
	return wire.HistoryReply{Team: team, Entries: []wire.HistoryEntry{{Revision: cr.Revision, ChangeID: cr.ChangeID}}}, nil
}

func (fk *fakeOperator) ChangeStatus(_ context.Context, id string) wire.ChangeStatus {
	return wire.ChangeStatus{ChangeID: id, VMs: []wire.ChangeStatusOfVM{}}
}

func (fk *fakeOperator) Status() wire.Status { return wire.Status{VM: "vm1", Phase: "serving"} }

func (fk *fakeOperator) Metrics() map[string]float64 { return map[string]float64{"refusal.shed": 1} }

func (fk *fakeOperator) SetLogLevel(level string) error {
	if level != "debug" {
		return errors.New("there is no such level")
	}
	fk.level = level
	return nil
}

func (fk *fakeOperator) Leaving() bool { return false }

func start(t *testing.T, token string, teamTokens map[string]string) (*fakeOperator, string) {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	fk := &fakeOperator{configs: map[string]wire.ConfigReply{
		"wash": {Team: "wash", Revision: 3, ChangeID: "c3", Document: json.RawMessage(`{"team":"wash"}`)},
	}}
	op := oper.New(oper.Config{Listener: ln, Operator: fk, Token: token, TeamTokens: teamTokens, MaxBody: 4096, ReadTimeout: testTimeout})
	ended := make(chan error, 1)
	go func() { ended <- op.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		is.NoErr(op.Shutdown(ctx))
		is.NoErr(<-ended)
	})
	return fk, ln.Addr().String()
}

func request(method, path, headers, body string) []contr.Step {
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return []contr.Step{{Send: fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n%s%s\r\n%s", method, path, headers, length, body)}}
}

const config = "/v1/teams/wash/config"

// Two operators read revision 3, and both change it. The second must get a conflict with the first
// one's change and overwrite nothing. Changes without the revision that they were made from must be
// refused, and so must malformed requests.
func TestSessions(t *testing.T) {
	fk, addr := start(t, "", nil)
	cases := []struct {
		name  string
		steps []contr.Step
		given func()
	}{
		{"read", request("GET", config, "", ""), nil},
		{"read another team", request("GET", "/v1/teams/hr/config", "", ""), nil},
		{"dry run", request("PUT", config+"?dryRun=true&id=c4", `If-Match: "3"`+"\r\n", `{"team":"wash"}`), nil},
		{"first change", request("PUT", config+"?id=c4", `If-Match: "3"`+"\r\nX-Actor: Ada\r\n", `{"team":"wash","n":4}`), nil},
		{"second change", request("PUT", config+"?id=c5", `If-Match: "3"`+"\r\n", `{"team":"wash","n":5}`), nil},
		{"second change repeated with the new revision", request("PUT", config+"?id=c5", `If-Match: "4"`+"\r\n", `{"team":"wash","n":5}`), nil},
		{"change of any revision", request("PUT", config+"?id=c6", "If-Match: *\r\n", `{"team":"wash","n":6}`), nil},
		{"first document of a team", request("PUT", "/v1/teams/hr/config?id=h1", "If-Match: \"0\"\r\n", `{"team":"hr"}`), nil},
		{"reply lost", request("PUT", config+"?id=c7", "If-Match: *\r\n", `{}`), func() { fk.loseReplies = true }},
		{"no revision", request("PUT", config, "", `{}`), nil},
		{"weak tag", request("PUT", config, "If-Match: W/\"3\"\r\n", `{}`), nil},
		{"list of tags", request("PUT", config, "If-Match: \"3\", \"4\"\r\n", `{}`), nil},
		{"not a revision", request("PUT", config, "If-Match: \"x\"\r\n", `{}`), nil},
		{"invalid document", request("PUT", config, "If-Match: *\r\n", `{`), nil},
		{"dry run misspelt", request("PUT", config+"?dryRun=yes", "If-Match: *\r\n", `{}`), nil},
		{"id too long", request("PUT", config+"?id="+strings.Repeat("x", 129), "If-Match: *\r\n", `{}`), nil},
		{"YAML", request("PUT", config, "If-Match: *\r\nContent-Type: application/yaml\r\n", `team: wash`), nil},
		{"oversized", request("PUT", config, "If-Match: *\r\n", strings.Repeat(" ", 4097)), nil},
		{"history", request("GET", "/v1/teams/wash/history", "", ""), nil},
		{"history in an outage", request("GET", "/v1/teams/wash/history", "", ""), func() { fk.platformDown = true }},
		{"change", request("GET", "/v1/changes/c4", "", ""), nil},
		{"status", request("GET", "/v1/status", "", ""), nil},
		{"metrics", request("GET", "/v1/metrics", "", ""), nil},
		{"log level", request("PUT", "/v1/log", "", `{"level":"debug"}`), nil},
		{"unknown log level", request("PUT", "/v1/log", "", `{"level":"loud"}`), nil},
		{"log level of the wrong type", request("PUT", "/v1/log", "", `{"level":3}`), nil},
		{"health", request("GET", "/v1/health", "", ""), nil},
		{"two lengths", request("PUT", config, "If-Match: *\r\nContent-Length: 0\r\n", "DELETE "+config+" HTTP/1.1\r\nHost: a\r\n\r\n"), nil},
		{"length and chunks", request("PUT", config, "If-Match: *\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\nDELETE "+config+" HTTP/1.1\r\nHost: a\r\n\r\n"), nil},
		{"unknown route", request("GET", "/v1/teams", "", ""), nil},
		{"unknown method", request("DELETE", config, "", ""), nil},
	}
	var all strings.Builder
	for _, tc := range cases {
		if tc.given != nil {
			tc.given()
		}
		all.WriteString(contr.Transcript(tc.name, tc.steps, contr.Talk(t, addr, tc.steps...)))
	}
	golden.Check(t, "sessions", all.String())
	is := is.New(t)
	is.Equal(fk.proposals[1].Actor, "Ada")
	is.Equal(fk.level, "debug")
	is.True(!fk.cancellable)
}

// A team's own token may read everything and change only the team's own subtree, whatever way the
// path of another team is written.
func TestTokens(t *testing.T) {
	fk, addr := start(t, "root", map[string]string{"wash": "w", "hr": "h"})
	const (
		put  = "If-Match: *\r\n"
		hr   = "/v1/teams/hr/config"
		logs = "/v1/log"
	)
	cases := []struct {
		name         string
		auth         string
		method, path string
		status       string
	}{
		{"no token", "", "GET", config, "401"},
		{"no scheme", "root", "GET", config, "401"},
		{"other scheme", "Basic root", "GET", config, "401"},
		{"unknown token", "Bearer x", "GET", config, "401"},
		{"empty token", "Bearer ", "GET", config, "401"},
		{"truncated token", "Bearer roo", "GET", config, "401"},
		{"operators read", "Bearer root", "GET", config, "200"},
		{"operators change", "Bearer root", "PUT", config, "200"},
		{"operators set the log level", "Bearer root", "PUT", logs, "200"},
		{"scheme in lower case", "bearer root", "GET", config, "200"},
		{"team reads its own", "Bearer w", "GET", config, "200"},
		{"team reads another's", "Bearer h", "GET", config, "200"},
		{"team reads the status", "Bearer w", "GET", "/v1/status", "200"},
		{"team changes its own", "Bearer w", "PUT", config, "200"},
		{"team changes another's", "Bearer w", "PUT", hr, "403"},
		{"team changes another's by a relative path", "Bearer w", "PUT", "/v1/teams/wash/../hr/config", "403"},
		{"team changes another's with escapes", "Bearer w", "PUT", "/v1/teams/%68r/config", "403"},
		{"team changes another's with two slashes", "Bearer w", "PUT", "/v1/teams//hr/config", "403"},
		{"team sets the log level", "Bearer w", "PUT", logs, "403"},
		{"unknown route without a token", "", "GET", "/v1/x", "401"},
		{"health needs none", "", "GET", "/v1/health", "200"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			headers, body := "", ""
			if tc.auth != "" {
				headers = "Authorization: " + tc.auth + "\r\n"
			}
			if tc.method == "PUT" {
				headers += put
				body = `{"level":"debug"}`
			}
			reply := contr.Talk(t, addr, request(tc.method, tc.path, headers, body)...)
			is.True(strings.HasPrefix(reply, "HTTP/1.1 "+tc.status))
		})
	}
	is := is.New(t)
	for _, pr := range fk.proposals {
		is.Equal(pr.Team, "wash") // the other team was not changed
	}
}
