package contr

import (
	"encoding/json"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/io/wire"
)

// UpstreamServer is an upstream server under test. It must be in state serving.
type UpstreamServer struct {
	Addr     string
	Register string
	Snapshot uint64
	Shards   int
	// Held is a shard with at least two members that the server holds, and NotHeld one of the
	// same snapshot that it does not hold.
	Held, NotHeld int
	// MatchAll is a query that finds all members of a shard.
	MatchAll json.RawMessage
	// SetState changes the server's state. If it is nil, the clauses that need it are skipped.
	SetState func(wire.UpstreamState)
	// Saturate fills all slots and the queue until the returned function is called. If it is
	// nil, the clauses that need it are skipped.
	Saturate func(t *testing.T) (release func())
	// Runs counts the sub-requests that the server has run.
	Runs func() uint64
}

const searchDeadlineMs = 10_000

func (us UpstreamServer) url(route string) string { return "http://" + us.Addr + route }

func (us UpstreamServer) request(id string) wire.ShardRequest {
	return wire.ShardRequest{
		ID: id, Register: us.Register, Shard: us.Held, Snapshot: us.Snapshot,
		DeadlineMs: searchDeadlineMs, Query: us.MatchAll, Limit: 1000,
	}
}

func (us UpstreamServer) search(t *testing.T, rq wire.ShardRequest) wire.ShardReply {
	t.Helper()
	return post[wire.ShardReply](t, us.url(wire.RouteShardSearch), rq)
}

// Upstream checks what VMs rely on from an upstream server. Most important: a refused sub-request
// has not run.
func Upstream(t *testing.T, start func(t *testing.T) UpstreamServer) {
	t.Helper()
	runClauses(t, start, []clause[UpstreamServer]{
		{"a reply has its request's id, shard and snapshot, and the shard count", upEcho},
		{"a limit truncates the hits and reports it", upLimit},
		{"a request that did not run is refused with its reason", upRefusals},
		{"a full server sheds and gives a retry time", upShed},
		{"cancelling an unknown request is not an error", upCancel},
		{"load and health show incarnation, state and holdings", upLoad},
		{"unknown fields are ignored", upUnknownField},
		{"a malformed request is refused by status", upMalformed},
	})
}

func upEcho(t *testing.T, us UpstreamServer) {
	is := is.New(t)
	rp := us.search(t, us.request("x.1"))
	is.Equal(rp.Refusal, wire.Refusal(""))
	is.Equal(rp.ID, "x.1")
	is.Equal(rp.Shard, us.Held)
	is.Equal(rp.Snapshot, us.Snapshot)
	is.Equal(rp.Shards, us.Shards)
	is.True(len(rp.Hits) >= 2)
	is.Equal(rp.More, false)
	is.True(rp.Load.Incarnation != 0)
	is.Equal(rp.Load.State, wire.UpstreamServing)
	members := map[string]bool{}
	for _, hit := range rp.Hits {
		is.True(hit.Member != "")
		is.True(!members[hit.Member+"\x00"+hit.Key]) // no hit appears twice
		members[hit.Member+"\x00"+hit.Key] = true
	}
}

func upLimit(t *testing.T, us UpstreamServer) {
	is := is.New(t)
	rq := us.request("x.1")
	rq.Limit = 1
	rp := us.search(t, rq)
	is.Equal(len(rp.Hits), 1)
	is.Equal(rp.More, true)
}

func upRefusals(t *testing.T, us UpstreamServer) {
	cases := []struct {
		want   wire.Refusal
		state  wire.UpstreamState
		change func(rq *wire.ShardRequest)
	}{
		{wire.RefusalSnapshotGone, "", func(rq *wire.ShardRequest) { rq.Snapshot += 1000 }},
		{wire.RefusalNotHeld, "", func(rq *wire.ShardRequest) { rq.Shard = us.NotHeld }},
		{wire.RefusalNotHeld, "", func(rq *wire.ShardRequest) { rq.Shard = us.Shards + 7 }},
		{wire.RefusalNotHeld, "", func(rq *wire.ShardRequest) { rq.Shard = -1 }},
		{wire.RefusalNotHeld, "", func(rq *wire.ShardRequest) { rq.Register = "no-such-register" }},
		{wire.RefusalExpired, "", func(rq *wire.ShardRequest) { rq.DeadlineMs = 0 }},
		{wire.RefusalExpired, "", func(rq *wire.ShardRequest) { rq.DeadlineMs = -5 }},
		{wire.RefusalCold, wire.UpstreamCold, func(*wire.ShardRequest) {}},
		{wire.RefusalDraining, wire.UpstreamDraining, func(*wire.ShardRequest) {}},
	}
	for i, tc := range cases {
		t.Run(string(tc.want)+strconv.Itoa(i), func(t *testing.T) {
			is := is.New(t)
			if tc.state != "" {
				if us.SetState == nil {
					t.Skip("the server's state cannot be set")
				}
				us.SetState(tc.state)
				defer us.SetState(wire.UpstreamServing)
			}
			before := us.Runs()
			rq := us.request("r." + strconv.Itoa(i))
			tc.change(&rq)
			rp := us.search(t, rq)
			is.Equal(rp.Refusal, tc.want)
			is.Equal(rp.ID, rq.ID)
			is.Equal(len(rp.Hits), 0)
			is.Equal(us.Runs(), before) // a refused request has not run
		})
	}
}

func upShed(t *testing.T, us UpstreamServer) {
	if us.Saturate == nil {
		t.Skip("the server cannot be made busy")
	}
	is := is.New(t)
	release := us.Saturate(t)
	defer release()
	before := us.Runs()
	rp := us.search(t, us.request("s.1"))
	is.Equal(rp.Refusal, wire.RefusalShed)
	is.True(rp.RetryAfterMs > 0)
	is.Equal(us.Runs(), before)
}

func upCancel(t *testing.T, us UpstreamServer) {
	rp := send(t, http.MethodPost, us.url(wire.RouteShardCancel), nil, wire.CancelRequest{ID: "never.sent"})
	is.New(t).Equal(rp.status, http.StatusOK)
}

func upLoad(t *testing.T, us UpstreamServer) {
	is := is.New(t)
	st := decodeBody[wire.UpstreamStatus](t, send(t, http.MethodGet, us.url(wire.RouteUpLoad), nil, nil))
	is.True(st.Incarnation != 0)
	is.Equal(st.State, wire.UpstreamServing)
	is.True(st.Slots > 0)
	is.Equal(len(st.Holdings), 1)
	is.Equal(st.Holdings[0].Register, us.Register)
	is.Equal(st.Holdings[0].Snapshot, us.Snapshot)
	is.Equal(st.Holdings[0].Shards, us.Shards)
	is.Equal(send(t, http.MethodGet, us.url(wire.RouteUpHealth), nil, nil).status, http.StatusOK)
	is.Equal(send(t, http.MethodGet, us.url(wire.RoutePing), nil, nil).status, http.StatusOK)
	if us.SetState != nil {
		us.SetState(wire.UpstreamDraining)
		is.True(send(t, http.MethodGet, us.url(wire.RouteUpHealth), nil, nil).status != http.StatusOK)
	}
}

func upUnknownField(t *testing.T, us UpstreamServer) {
	is := is.New(t)
	raw, err := json.Marshal(us.request("u.1"))
	is.NoErr(err)
	rp := post[wire.ShardReply](t, us.url(wire.RouteShardSearch), `{"colour":"red",`+string(raw[1:]))
	is.Equal(rp.Refusal, wire.Refusal(""))
}

func upMalformed(t *testing.T, us UpstreamServer) {
	before := us.Runs()
	for _, body := range []string{"", "{", "[]", `{"id":7}`, `{"id":"m.1","shard":"one"}`} {
		rp := send(t, http.MethodPost, us.url(wire.RouteShardSearch), nil, body)
		is.New(t).True(rp.status >= 400 && rp.status < 500)
	}
	is.New(t).Equal(us.Runs(), before)
}
