package main

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/urfave/cli/v3"

	"laburnumvane/internal/golden"
)

const (
	bodyComplete = `{"id":"a1","outcome":"complete","snapshot":7,"coverage":{"shards":10,"answered":10,"share":1},` +
		`"hits":[{"member":"m-1042","key":"KX53","fields":{"plan":"gold"}}],"elapsedMs":8.25,"work":{"primaries":10,"hedges":1,"retries":0}}`
	bodyPartial = `{"id":"a2","outcome":"partial","reason":"softDeadline","snapshot":7,"coverage":{"shards":10,"answered":9,"share":0.9},` +
		`"hits":[],"truncated":false,"elapsedMs":60,"work":{"primaries":10,"hedges":2,"retries":1}}`
	bodyNotRun = `{"id":"a3","outcome":"notRun","reason":"overload","message":"class batch is shed","coverage":{"shards":0,"answered":0,"share":0},` +
		`"hits":[],"elapsedMs":0.1,"retryAfterMs":250,"work":{"primaries":0,"hedges":0,"retries":0}}`
	bodyUnknown = `{"id":"a4","outcome":"unknown","reason":"lost","coverage":{"shards":10,"answered":9,"share":0.9},"hits":[],"elapsedMs":1500,"work":{"primaries":10,"hedges":0,"retries":0}}`

	bodyConfig12 = `{"team":"wash","revision":12,"changeId":"c12","document":{"version":1,"team":"wash","limits":{"concurrent":20}}}`
	bodyHistory  = `{"team":"wash","entries":[` +
		`{"revision":12,"changeId":"c12","actor":"ada","unixMs":1767225600000,"document":{"version":1,"team":"wash","limits":{"concurrent":20}}},` +
		`{"revision":11,"changeId":"c11","unixMs":1767139200000,"document":{"limits":{"concurrent":10},"team":"wash","version":1}},` +
		`{"revision":9,"changeId":"c9","unixMs":1767052800000}]}`
	bodyAccepted = `{"result":"accepted","changeId":"c13","revision":13}`
	bodyConflict = `{"result":"conflict","changeId":"c13","message":"revision 13 came first","current":{"team":"wash","revision":13,"changeId":"c99","document":{"version":1}}}`
	bodyStatus   = `{"vm":"10.0.0.1:7000","dataCentre":"north","incarnation":5,"phase":"serving","version":"v0.1","teams":[{"team":"wash","revision":12,"changeId":"c12"}],` +
		`"registers":[{"register":"members","snapshot":7,"shards":10,"live":9}],` +
		`"upstreams":[{"addr":"10.0.1.1:9000","dataCentre":"north","service":"desk","state":"draining","why":"its reply said so","incarnation":2,"inFlight":1,"limit":3,"connections":4,"connectionPlan":6,"latencyMs":2.5}],` +
		`"vms":[{"addr":"10.0.0.2:7000","dataCentre":"south","state":"alive","incarnation":3}],"alarms":["members: shard 4 has no live replica"],"limits":{"teams":[{"team":"hr","share":0.25,"held":false,"searchesPerSecond":0,"searchesPerSecondPart":0,"concurrent":0,"concurrentPart":0,"inFlight":3},{"team":"wash","share":0.125,"held":true,"searchesPerSecond":100,"searchesPerSecondPart":12.5,"concurrent":20,"concurrentPart":2,"inFlight":1}],"queues":[{"register":"wash/members","inFlight":9,"urgent":0,"interactive":2,"batch":7}],"extraLeft":-3,"budgets":[{"search":"wash/kiosk","hedges":18,"retries":50}]}}`
)

func TestSession_Search(t *testing.T) {
	golden.Check(t, "search", session(t, []step{
		{args: "search --team wash --search kiosk plate=KX53", replies: []scriptedReply{{status: 200, body: bodyComplete}}},
		{args: "search --team wash --search kiosk --json --id a1 plate=KX53", replies: []scriptedReply{{status: 200, body: bodyComplete}}},
		{
			args: "search -t wash -s history --register members --query - --deadline 800ms --min-coverage 0 --token secret",
			// --min-coverage 0 is an explicit value and must be sent.
			stdin: `{"name":"Ada"}`, replies: []scriptedReply{{status: 200, body: bodyPartial}},
		},
		{args: "search -t wash -s history --need-complete name=Ada", replies: []scriptedReply{{status: 200, body: bodyPartial}}},
		{args: "search -t wash -s settlement month=5", replies: []scriptedReply{{status: 429, body: bodyNotRun}}},
		{args: "search -t wash -s renew --repeat never --ticket t1 member=m-1", replies: []scriptedReply{{status: 504, body: bodyUnknown}}},
		{args: "search -t wash -s renew --repeat never --ticket t1 member=m-1", replies: []scriptedReply{{closeConn: true}}},
		{args: "search -t wash -s kiosk plate=KX53", replies: []scriptedReply{{status: 400, body: `{"error":"no such search","reason":"unknownSearch","path":"search"}`}}},
		{args: "search -t wash -s kiosk"},
		{args: "search -t wash -s kiosk plate"},
		{args: "search -t wash -s kiosk a=1 a=2"},
		{args: "search -t wash -s kiosk --query {} a=2"},
		{args: "search -t wash -s kiosk --query {"},
		{args: "search -t wash -s kiosk --repeat maybe a=1"},
		{args: "search -t wash -s kiosk --deadline 0s a=1"},
		{args: "search -t wash -s kiosk --deadline 300 a=1"},
		{args: "search -t wash -s kiosk --min-coverage 90 a=1"},
		{args: "search -s kiosk a=1"},
		{args: "search --team= -s kiosk a=1"},
		{args: "search -t wash -s kiosk --url 127.0.0.1:1 a=1"},
	}))
}

func TestSession_Ticket(t *testing.T) {
	golden.Check(t, "ticket", session(t, []step{
		{args: "ticket --team wash --count 2", replies: []scriptedReply{{status: 200, body: `{"tickets":["t1","t2"],"expiresMs":30000}`}}},
		{args: "ticket --team wash --json", replies: []scriptedReply{{status: 200, body: `{"tickets":["t1"],"expiresMs":30000}`}}},
		{args: "ticket --team wash", replies: []scriptedReply{{status: 503, body: `{"error":"the VM is leaving","reason":"leaving"}`}}},
		{args: "ticket --team wash --count 0"},
		{args: "ticket --team wash two"},
	}))
}

// An operator reads, compares and submits documents. Some submissions conflict with the change of
// another operator or fail; a rollback then submits an earlier document as a new change.
func TestSession_Config(t *testing.T) {
	cfg := scriptedReply{status: 200, body: bodyConfig12}
	hist := scriptedReply{status: 200, body: bodyHistory}
	golden.Check(t, "config", session(t, []step{
		{args: "config get --team wash", replies: []scriptedReply{cfg}},
		{args: "config get --team wash --json", replies: []scriptedReply{cfg}},
		{args: "config get --team wash --revision 11", replies: []scriptedReply{hist}},
		{args: "config get --team wash --revision 10", replies: []scriptedReply{hist}},
		{args: "config get --team wash --revision 9", replies: []scriptedReply{hist}},
		{args: "config get --team other", replies: []scriptedReply{{status: 404, body: `{"error":"no configuration","reason":"unknownTeam"}`}}},
		{args: "config history --team wash", replies: []scriptedReply{hist}},
		{args: "config diff --team wash --from 11", replies: []scriptedReply{hist, cfg}},
		{args: "config diff --team wash --from 11 --to 12 --exit-code", replies: []scriptedReply{hist, hist}},
		{args: "config diff - --team wash", stdin: `{"limits":{"concurrent":20},"team":"wash","version":1}`, replies: []scriptedReply{cfg}},
		{args: "config diff - --team wash --json", stdin: `{"limits":{"concurrent":30},"team":"wash","version":1}`, replies: []scriptedReply{cfg}},
		{args: "config diff --team wash"},
		{args: "config diff a b --team wash"},
		{args: "config diff a --to 3 --team wash"},
		{args: "config diff - --team wash", stdin: `{}{}`, replies: []scriptedReply{cfg}},
		{args: "config set testdata/wash.json --team wash --if-revision 12", replies: []scriptedReply{{status: 200, body: bodyAccepted}}},
		{args: "config set testdata/wash.json --team wash --if-revision 12 --dry-run", replies: []scriptedReply{{status: 200, body: `{"result":"dryRun","changeId":""}`}}},
		{args: "config set testdata/wash.json --team wash", replies: []scriptedReply{cfg, {status: 200, body: bodyAccepted}}},
		{args: "config set testdata/wash.json --team wash --json", replies: []scriptedReply{{status: 404, body: `{"error":"no configuration","reason":"unknownTeam"}`}, {status: 200, body: bodyAccepted}}},
		{args: "config set testdata/wash.json --team wash --id c13 --actor ada --if-revision 12", replies: []scriptedReply{{status: 200, body: bodyAccepted}}},
		{args: "config set testdata/wash.json --team wash --if-revision 12", replies: []scriptedReply{{status: 412, body: bodyConflict}}},
		{args: "config set testdata/wash.json --team wash --if-revision 12", replies: []scriptedReply{{status: 503, body: `{"result":"refused","changeId":"c13","message":"the service is down"}`}}},
		{args: "config set testdata/wash.json --team wash --if-revision 12", replies: []scriptedReply{{status: 504, body: `{"result":"unknown","changeId":"c13"}`}}},
		{args: "config set testdata/wash.json --team wash --if-revision 12", replies: []scriptedReply{{closeConn: true}}},
		{args: "config set testdata/wash.json --team wash --if-revision 12", replies: []scriptedReply{{status: 403, body: `{"error":"the token is another team's","reason":"forbidden"}`}}},
		{args: "config set testdata/wash.json --team hr --if-revision 12"},
		{args: "config set testdata/faulty.json --team wash"},
		{
			args: "config set - --team wash --skip-check --if-revision 12", stdin: `{"version":1}`,
			replies: []scriptedReply{{status: 412, body: bodyConflict}},
		},
		{args: "config set testdata/absent.json --team wash"},
		{args: "config set - --team wash", stdin: "{"},
		{args: "config set --team wash"},
		{args: "config set - --team wash --skip-check --if-revision 0", stdin: `{"version":2}`, replies: []scriptedReply{{status: 400, body: `{"error":"is 2, must be 1","reason":"badConfig","path":"version"}`}}},
		{args: "config rollback --team wash --to 11", replies: []scriptedReply{hist, cfg, {status: 200, body: bodyAccepted}}},
		{args: "config rollback --team wash --to 10", replies: []scriptedReply{hist}},
		{args: "config rollback --team wash"},
		{
			args:    "config status c13",
			replies: []scriptedReply{{status: 200, body: `{"changeId":"c13","team":"wash","revision":13,"known":true,"dataCentres":[{"dataCentre":"north","reachable":true,"vms":1,"inForce":1}],"vms":[{"addr":"10.0.0.1:7000","dataCentre":"north","revision":13,"inForce":true,"reachable":true}]}`}},
		},
		{
			args:    "config status c13",
			replies: []scriptedReply{{status: 200, body: `{"changeId":"c13","team":"wash","revision":13,"known":true,"dataCentres":[{"dataCentre":"north","reachable":true,"vms":1,"inForce":0},{"dataCentre":"south","reachable":false,"vms":3,"inForce":0}],"vms":[{"addr":"10.0.0.1:7000","dataCentre":"north","revision":12,"inForce":false,"reachable":false}]}`}},
		},
		{args: "config status c13", replies: []scriptedReply{{status: 200, body: `{"changeId":"c13","known":false,"vms":[]}`}}},
		{args: "config status c13 --json", replies: []scriptedReply{{status: 200, body: `{"changeId":"c13","known":false,"vms":[]}`}}},
		{args: "config status"},
		{args: "config sat"},
	}))
}

func TestSession_Status(t *testing.T) {
	golden.Check(t, "status", session(t, []step{
		{args: "status", replies: []scriptedReply{{status: 200, body: bodyStatus}}},
		{args: "status --json", replies: []scriptedReply{{status: 200, body: bodyStatus}}},
		{args: "status", replies: []scriptedReply{{status: 401, body: `{"error":"a token is needed","reason":"unauthorized"}`}}},
		{args: "status", replies: []scriptedReply{{status: 200, body: `not JSON`}}},
		{args: "status now"},
	}))
}

func TestSession_Check(t *testing.T) {
	golden.Check(t, "check", session(t, []step{
		{args: "check testdata/wash.json testdata/faulty.json"},
		{args: "check --team hr testdata/wash.json --json"},
		{args: "check -", stdin: "nonsense"},
		{args: "check testdata/gateway.json testdata/gateway-faulty.json testdata/wash.json"},
		{args: "check testdata/gateway.json testdata/gateway-faulty.json --json"},
		{args: "check -", stdin: `{"tenants":[{"name":"a","api_keys":"marked-key-9"}]}`},
		{args: "check -", stdin: `{"tenants":[{"name":"a","api_keys":["marked-key-9]}]}`},
		{args: "check testdata/absent.json"},
		{args: "check"},
		{args: "check --data-centre north --region home --kv 127.0.0.1:7800 --vm-list 127.0.0.1:7801 testdata/wash.json"},
		{args: "check --data-centre North --workers many --json"},
	}))
}

// A key of an account in the output of check ends up in logs of pipelines. The documents have keys in
// all places where a fault can be, and in places where no key belongs.
func TestCheckPrintsNoKey(t *testing.T) {
	is := is.New(t)
	var documents []string
	for _, name := range []string{"gateway.json", "gateway-faulty.json"} {
		raw, err := os.ReadFile("testdata/" + name)
		is.NoErr(err)
		documents = append(documents, string(raw))
	}
	documents = append(documents,
		`{"tenants":[{"name":"a","api_keys":"marked-key"}]}`, `{"tenants":["marked-key"]}`, `{"tenants":"marked-key"}`,
		`{"tenants":{"marked-key":{}}}`, `{"tenants":[{"name":"a","api_keys":[["marked-key"]]}]}`,
		`{"tenants":[{"name":"a","api_keys":{"marked-key":1}}]}`, `{"tenants":[{"name":"a","rate_per_s":"marked-key"}]}`,
		`{"tenants":[{"name":"a","api_keys":["marked-key]}]}`, `{"tenants":[{"name":"a","api_keys":[marked-key]}]}`,
		`{"version":"marked-key","tenants":[]}`, `{"tenants":[]} "marked-key"`, `{"team":"marked-key","tenants":[]}`,
	)
	for _, text := range documents {
		for _, flag := range []string{"--json", "--json=false"} {
			var out, errOut bytes.Buffer
			run(t.Context(), []string{"laburnumvane", "check", flag, "-"}, strings.NewReader(text), &out, &errOut)
			is.True(out.Len() > 0)
			is.True(!strings.Contains(out.String()+errOut.String(), "marked-key")) // text
		}
	}
}

func TestSession_Usage(t *testing.T) {
	golden.Check(t, "usage", session(t, []step{
		{args: "serach"},
		{args: "--bogus"},
		{args: "status --timeout soon"},
		{args: "version now"},
	}))
}

func TestVersion(t *testing.T) {
	is := is.New(t)
	var out, errOut bytes.Buffer
	is.Equal(run(t.Context(), []string{"laburnumvane", "version", "--json"}, nil, &out, &errOut), exitOK)
	is.True(strings.Contains(out.String(), `"go": "go1`))
	is.Equal(errOut.String(), "")
}

// The help of each command has examples, among them a command line that can be copied.
func TestHelp(t *testing.T) {
	var walk func(path []string, cmd *cli.Command)
	walk = func(path []string, cmd *cli.Command) {
		t.Run(strings.Join(path, " "), func(t *testing.T) {
			is := is.New(t)
			var out, errOut bytes.Buffer
			is.Equal(run(t.Context(), append(path, "--help"), nil, &out, &errOut), exitOK)
			is.True(strings.Contains(out.String(), "Examples:"))
			is.True(strings.Contains(out.String(), "laburnumvane "+strings.Join(path[1:], " ")))
		})
		for _, sub := range cmd.Commands {
			walk(append(path[:len(path):len(path)], sub.Name), sub)
		}
	}
	for _, cmd := range newCommand().Commands {
		if cmd.Name == "serve" || cmd.Name == "demo" {
			continue
		}
		walk([]string{"laburnumvane", cmd.Name}, cmd)
	}
}

func TestSession_Story(t *testing.T) {
	golden.Check(t, "story", session(t, []step{
		{args: "story 4f7c8f65fcdc5ff2 testdata/small.log testdata/large.log"},
		{args: "story 4f7c8f65fcdc5ff2 testdata/large.log --json"},
		{args: "story ffff testdata/small.log testdata/large.log"},
		{args: "story 4f7c8f65fcdc5ff2 testdata/none.log"},
		{args: "story 4f7c8f65fcdc5ff2"},
	}))
}
