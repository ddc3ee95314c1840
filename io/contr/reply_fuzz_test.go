package contr_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"laburnumvane/core/change"
	"laburnumvane/core/team"
	"laburnumvane/io/emul"
	"laburnumvane/io/node"
	"laburnumvane/io/plat"
	"laburnumvane/io/setup"
	"laburnumvane/io/wire"
)

// fakeUpstreamVM is a VM whose only upstream answers all searches with given bytes, in which $ID
// and $SHARD are replaced by those of the request.
type fakeUpstreamVM struct {
	node   *node.Node
	reply  atomic.Pointer[[]byte]
	caller string
	client http.Client
}

func startFakeUpstreamVM(tb testing.TB) *fakeUpstreamVM {
	tb.Helper()
	is := is.New(tb)
	fu := &fakeUpstreamVM{client: http.Client{Timeout: testTimeout}}
	hs := httptest.NewServer(http.HandlerFunc(fu.serveUpstream))
	tb.Cleanup(hs.Close)
	kv := emul.NewKV(emul.KVConfig{})
	is.NoErr(kv.Start())
	tb.Cleanup(kv.Close)
	vms := emul.NewVMs(emul.VMsConfig{})
	is.NoErr(vms.Start())
	tb.Cleanup(vms.Close)
	fu.configure(tb, kv.Addr(), strings.TrimPrefix(hs.URL, "http://"))

	set := setup.Defaults()
	set.CallerAddr, set.OperatorAddr, set.InnerAddr = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	set.DataCentre, set.Region = "east", "home"
	set.KV, set.VMList = []string{kv.Addr()}, vms.Addr()
	set.BalancerLag = 0
	nd, err := node.Start(node.Config{
		Settings: set.WithIncarnation(time.Now()),
		Log:      &log.Logger{Level: log.FatalLevel, Writer: &log.IOWriter{Writer: io.Discard}},
	})
	is.NoErr(err)
	tb.Cleanup(func() {
		fu.client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		is.NoErr(nd.Stop(ctx))
	})
	fu.node, fu.caller = nd, nd.Addrs().Caller
	for len(nd.Status().Registers) == 0 || nd.Status().Registers[0].Live < 2 {
		time.Sleep(time.Millisecond)
	}
	return fu
}

func (fu *fakeUpstreamVM) configure(tb testing.TB, kv, upstream string) {
	tb.Helper()
	is := is.New(tb)
	raw, err := json.Marshal(team.Document{
		Version: team.FormatVersion, Team: "wash",
		Searches: map[string]team.Search{"kiosk": {
			Register: "members", Class: team.ClassUrgent, HardDeadlineMs: 2000, HitLimit: 5,
			Retry: team.Retry{Budget: 0.1, PerShard: 1},
		}},
		Registers: map[string]team.Register{"members": {Services: map[string]team.Service{"s": {
			SlotsPerServer: 3, ConnectionsPerServer: 30,
			Servers: []team.Server{{Addr: upstream, DataCentre: "east"}},
		}}}},
	})
	is.NoErr(err)
	en := change.Envelope{}.WithChange(change.Entry{ID: "first", Document: raw}, 0)
	value, err := en.Encode()
	is.NoErr(err)
	cl := plat.New(plat.Config{Addrs: []string{kv}, Timeout: testTimeout})
	defer cl.Close()
	_, err = cl.Swap(context.Background(), wire.KVSwapRequest{Key: change.KeyOf("wash"), Value: value})
	is.NoErr(err)
}

func (fu *fakeUpstreamVM) serveUpstream(rw http.ResponseWriter, hr *http.Request) {
	switch hr.URL.Path {
	case wire.RouteUpLoad:
		fmt.Fprint(rw, `{"incarnation":1,"state":"serving","slots":3,"holdings":[{"register":"members","snapshot":7,"shards":2,"held":[0,1]}]}`)
	case wire.RouteShardSearch:
		var rq wire.ShardRequest
		if json.NewDecoder(hr.Body).Decode(&rq) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		body := bytes.ReplaceAll(*fu.reply.Load(), []byte("$ID"), []byte(rq.ID))
		// The client may have disconnected; then an error does not matter.
		_, _ = rw.Write(bytes.ReplaceAll(body, []byte("$SHARD"), fmt.Append(nil, rq.Shard)))
	default:
		fmt.Fprint(rw, "{}")
	}
}

// search sets the upstream's reply and returns the VM's answer to a search.
func (fu *fakeUpstreamVM) search(tb testing.TB, reply []byte) wire.SearchAnswer {
	tb.Helper()
	is := is.New(tb)
	fu.reply.Store(&reply)
	body := `{"id":"r1","team":"wash","search":"kiosk","query":{},"deadlineMs":1000}`
	rq, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+fu.caller+wire.RouteSearch, strings.NewReader(body))
	is.NoErr(err)
	rs, err := fu.client.Do(rq)
	is.NoErr(err)
	defer rs.Body.Close()
	var an wire.SearchAnswer
	is.NoErr(json.NewDecoder(rs.Body).Decode(&an))
	return an
}

// checkAnswer checks the properties that every answer must have.
func checkAnswer(is *is.I, an wire.SearchAnswer) {
	is.Equal(an.ID, "r1")
	is.True(an.Coverage.Answered >= 0 && an.Coverage.Answered <= an.Coverage.Shards)
	is.True(an.Coverage.Share >= 0 && an.Coverage.Share <= 1)
	is.True(len(an.Hits) <= 5)
	is.Equal(an.Outcome == wire.OutcomeComplete, an.Coverage.Shards > 0 && an.Coverage.Answered == an.Coverage.Shards)
	is.True(an.Outcome == wire.OutcomeComplete || an.Reason != "")
	is.True(len(an.Reason) < 48)
	if an.Outcome == wire.OutcomeNotRun || an.Outcome == wire.OutcomeUnknown {
		is.Equal(len(an.Hits), 0)
	}
}

const goodReply = `{"id":"$ID","shard":$SHARD,"snapshot":7,"shards":2,"hits":[{"member":"m$SHARD"}],"load":{"incarnation":1,"state":"serving"}}`

// The only upstream sends malformed or wrong replies. The caller must get a correct answer in time.
// No bad reply may become a hit or count as coverage, use up the VM's memory, or crash the VM.
func TestMalformedReplies(t *testing.T) {
	is := is.New(t)
	fu := startFakeUpstreamVM(t)
	an := fu.search(t, []byte(goodReply))
	checkAnswer(is, an)
	is.Equal(an.Outcome, wire.OutcomeComplete)
	is.Equal(len(an.Hits), 2)
	cases := []struct{ name, reply string }{
		{"id of another request", strings.Replace(goodReply, "$ID", "foreign", 1)},
		{"no id", strings.Replace(goodReply, `"id":"$ID",`, "", 1)},
		{"negative shard", strings.Replace(goodReply, "$SHARD", "-1", 1)},
		{"shard beyond the map", strings.Replace(goodReply, "$SHARD", "2", 1)},
		{"huge shard", strings.Replace(goodReply, "$SHARD", "2147483647", 1)},
		{"huge map", strings.Replace(goodReply, `"shards":2`, `"shards":2147483647`, 1)},
		{"huge map of another snapshot", strings.NewReplacer(`"shards":2`, `"shards":2147483647`, `:7`, `:8`).Replace(goodReply)},
		{"negative map", strings.Replace(goodReply, `"shards":2`, `"shards":-2`, 1)},
		{"empty map", strings.Replace(goodReply, `"shards":2`, `"shards":0`, 1)},
		{"unknown refusal", strings.Replace(goodReply, `"hits"`, `"refusal":"`+strings.Repeat("tired", 1000)+`","hits"`, 1)},
		{"wrong type", strings.Replace(goodReply, `"snapshot":7`, `"snapshot":"7"`, 1)},
		{"negative snapshot", strings.Replace(goodReply, `"snapshot":7`, `"snapshot":-7`, 1)},
		{"array", `[]`}, {"null", `null`}, {"empty", ``}, {"truncated", goodReply[:30]},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			before := allocatedBytes()
			an := fu.search(t, []byte(tc.reply))
			checkAnswer(is, an)
			is.True(an.Outcome != wire.OutcomeComplete)
			is.Equal(len(an.Hits), 0)
			is.True(allocatedBytes()-before < 64<<20)
		})
	}
	checkAnswer(is, fu.search(t, []byte(goodReply)))
	metrics := fu.node.Metrics()
	for _, name := range []string{"dropped.foreign", "upstream.otherRefusal", "upstream.decode", "retry.decode", "sent.retry"} {
		is.True(metrics[name] > 0) // each bad reply is counted by its reason
	}
	is.True(metrics["retry.wrongReply"]+metrics["retry.foreignReply"] > 0)
}

func allocatedBytes() uint64 {
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.TotalAlloc
}

// FuzzReply passes an arbitrary upstream reply through a whole VM and checks the caller's answer.
func FuzzReply(f *testing.F) {
	f.Add([]byte(goodReply))
	f.Add([]byte(`{"id":"$ID","refusal":"shed","retryAfterMs":9223372036854775807}`))
	f.Add([]byte(`{"id":"$ID","shard":-1,"snapshot":7,"shards":2147483647}`))
	f.Add([]byte(`{"id":"$ID","shard":$SHARD,"snapshot":18446744073709551615,"shards":2,"more":true,"hits":[{}]}`))
	f.Add([]byte(`{"id":"$ID","shard":$SHARD,"snapshot":7,"shards":2,"hits":[{"member":"a","fields":[]},null]}`))
	f.Add([]byte("{\"id\":\"$ID\",\"hits\":[{\"member\":\"\xff\"}]}"))
	fu := startFakeUpstreamVM(f)
	f.Fuzz(func(t *testing.T, reply []byte) {
		checkAnswer(is.New(t), fu.search(t, reply))
	})
}
