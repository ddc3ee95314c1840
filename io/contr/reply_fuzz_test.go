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

// liar is a VM whose only upstream answers all searches with given bytes, in
// which $ID and $SHARD stand for those of the request.
type liar struct {
	node   *node.Node
	reply  atomic.Pointer[[]byte]
	caller string
	client http.Client
}

func startLiar(tb testing.TB) *liar {
	tb.Helper()
	is := is.New(tb)
	li := &liar{client: http.Client{Timeout: patience}}
	hs := httptest.NewServer(http.HandlerFunc(li.serve))
	tb.Cleanup(hs.Close)
	kv := emul.NewKV(emul.KVConfig{})
	is.NoErr(kv.Start())
	tb.Cleanup(kv.Close)
	vms := emul.NewVMs(emul.VMsConfig{})
	is.NoErr(vms.Start())
	tb.Cleanup(vms.Close)
	li.configure(tb, kv.Addr(), strings.TrimPrefix(hs.URL, "http://"))

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
		li.client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		is.NoErr(nd.Stop(ctx))
	})
	li.node, li.caller = nd, nd.Addrs().Caller
	for len(nd.Status().Registers) == 0 || nd.Status().Registers[0].Live < 2 {
		time.Sleep(time.Millisecond)
	}
	return li
}

func (li *liar) configure(tb testing.TB, kv, upstream string) {
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
	cl := plat.New(plat.Config{Addrs: []string{kv}, Timeout: patience})
	defer cl.Close()
	_, err = cl.Swap(context.Background(), wire.KVSwapRequest{Key: change.KeyOf("wash"), Value: value})
	is.NoErr(err)
}

func (li *liar) serve(rw http.ResponseWriter, hr *http.Request) {
	switch hr.URL.Path {
	case wire.RouteUpLoad:
		fmt.Fprint(rw, `{"incarnation":1,"state":"serving","slots":3,"holdings":[{"register":"members","snapshot":7,"shards":2,"held":[0,1]}]}`)
	case wire.RouteShardSearch:
		var rq wire.ShardRequest
		if json.NewDecoder(hr.Body).Decode(&rq) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		body := bytes.ReplaceAll(*li.reply.Load(), []byte("$ID"), []byte(rq.ID))
		// A client that has gone does not see the rest.
		_, _ = rw.Write(bytes.ReplaceAll(body, []byte("$SHARD"), fmt.Append(nil, rq.Shard)))
	default:
		fmt.Fprint(rw, "{}")
	}
}

// search lets the upstream answer with a reply, and gives the VM's answer.
func (li *liar) search(tb testing.TB, reply []byte) wire.SearchAnswer {
	tb.Helper()
	is := is.New(tb)
	li.reply.Store(&reply)
	body := `{"id":"r1","team":"wash","search":"kiosk","query":{},"deadlineMs":1000}`
	rq, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+li.caller+wire.RouteSearch, strings.NewReader(body))
	is.NoErr(err)
	rs, err := li.client.Do(rq)
	is.NoErr(err)
	defer rs.Body.Close()
	var an wire.SearchAnswer
	is.NoErr(json.NewDecoder(rs.Body).Decode(&an))
	return an
}

// honest tells whether an answer keeps to what every answer promises.
func honest(is *is.I, an wire.SearchAnswer) {
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

// The only upstream lies in its replies. The caller must get an honest answer in
// time; no lie may show as a hit or as coverage, take the VM's memory, or end it.
func TestLyingReplies(t *testing.T) {
	is := is.New(t)
	li := startLiar(t)
	an := li.search(t, []byte(goodReply))
	honest(is, an)
	is.Equal(an.Outcome, wire.OutcomeComplete)
	is.Equal(len(an.Hits), 2)
	cases := []struct{ name, reply string }{
		{"another request's id", strings.Replace(goodReply, "$ID", "foreign", 1)},
		{"no id", strings.Replace(goodReply, `"id":"$ID",`, "", 1)},
		{"negative shard", strings.Replace(goodReply, "$SHARD", "-1", 1)},
		{"shard beyond the map", strings.Replace(goodReply, "$SHARD", "2", 1)},
		{"huge shard", strings.Replace(goodReply, "$SHARD", "2147483647", 1)},
		{"huge map", strings.Replace(goodReply, `"shards":2`, `"shards":2147483647`, 1)},
		{"huge map of another snapshot", strings.NewReplacer(`"shards":2`, `"shards":2147483647`, `:7`, `:8`).Replace(goodReply)},
		{"negative map", strings.Replace(goodReply, `"shards":2`, `"shards":-2`, 1)},
		{"empty map", strings.Replace(goodReply, `"shards":2`, `"shards":0`, 1)},
		{"made-up refusal", strings.Replace(goodReply, `"hits"`, `"refusal":"`+strings.Repeat("tired", 1000)+`","hits"`, 1)},
		{"wrong type", strings.Replace(goodReply, `"snapshot":7`, `"snapshot":"7"`, 1)},
		{"negative snapshot", strings.Replace(goodReply, `"snapshot":7`, `"snapshot":-7`, 1)},
		{"array", `[]`}, {"null", `null`}, {"nothing", ``}, {"half", goodReply[:30]},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			before := allocated()
			an := li.search(t, []byte(tc.reply))
			honest(is, an)
			is.True(an.Outcome != wire.OutcomeComplete)
			is.Equal(len(an.Hits), 0)
			is.True(allocated()-before < 64<<20)
		})
	}
	honest(is, li.search(t, []byte(goodReply)))
	metrics := li.node.Metrics()
	for _, name := range []string{"dropped.foreign", "upstream.otherRefusal", "upstream.decode", "retry.decode", "sent.retry"} {
		is.True(metrics[name] > 0) // each lie is counted by its reason
	}
	is.True(metrics["retry.wrongReply"]+metrics["retry.foreignReply"] > 0)
}

func allocated() uint64 {
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.TotalAlloc
}

// FuzzReply takes bytes through a whole VM, from the upstream's reply to the
// caller's answer.
func FuzzReply(f *testing.F) {
	f.Add([]byte(goodReply))
	f.Add([]byte(`{"id":"$ID","refusal":"shed","retryAfterMs":9223372036854775807}`))
	f.Add([]byte(`{"id":"$ID","shard":-1,"snapshot":7,"shards":2147483647}`))
	f.Add([]byte(`{"id":"$ID","shard":$SHARD,"snapshot":18446744073709551615,"shards":2,"more":true,"hits":[{}]}`))
	f.Add([]byte(`{"id":"$ID","shard":$SHARD,"snapshot":7,"shards":2,"hits":[{"member":"a","fields":[]},null]}`))
	f.Add([]byte("{\"id\":\"$ID\",\"hits\":[{\"member\":\"\xff\"}]}"))
	li := startLiar(f)
	f.Fuzz(func(t *testing.T, reply []byte) {
		honest(is.New(t), li.search(t, reply))
	})
}
