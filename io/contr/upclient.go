package contr

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/io/wire"
)

// UpstreamCaller is the client side towards one upstream server.
type UpstreamCaller interface {
	Search(ctx context.Context, rq wire.ShardRequest) (wire.ShardReply, error)
}

// UpstreamClientConfig is a client under test.
type UpstreamClientConfig struct {
	New func(t *testing.T, addr string) UpstreamCaller
	// Sent reads from an error whether the server may have got the request.
	Sent func(err error) bool
}

// scripted is a server whose replies to searches are written down; it answers
// pings, and remembers which requests it got.
type scripted struct {
	mu   sync.Mutex
	got  map[string]int
	open chan struct{}
	addr string
}

// move is what a scripted server does with one search.
type move func(sc *scripted, rw http.ResponseWriter, rq wire.ShardRequest)

func startScripted(t *testing.T, mv move) *scripted {
	t.Helper()
	sc := &scripted{got: map[string]int{}, open: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc(wire.RoutePing, func(rw http.ResponseWriter, _ *http.Request) { fmt.Fprint(rw, "{}") })
	mux.HandleFunc(wire.RouteShardCancel, func(rw http.ResponseWriter, _ *http.Request) { fmt.Fprint(rw, "{}") })
	mux.HandleFunc(wire.RouteShardSearch, func(rw http.ResponseWriter, hr *http.Request) {
		var rq wire.ShardRequest
		if json.NewDecoder(hr.Body).Decode(&rq) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		sc.mu.Lock()
		sc.got[rq.ID]++
		sc.mu.Unlock()
		mv(sc, rw, rq)
	})
	hs := httptest.NewServer(mux)
	sc.addr = strings.TrimPrefix(hs.URL, "http://")
	t.Cleanup(func() {
		close(sc.open)
		hs.CloseClientConnections()
		hs.Close()
	})
	return sc
}

func (sc *scripted) times(id string) int {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.got[id]
}

func answerWith(change func(rp *wire.ShardReply)) move {
	return func(_ *scripted, rw http.ResponseWriter, rq wire.ShardRequest) {
		rp := wire.ShardReply{
			ID: rq.ID, Shard: rq.Shard, Snapshot: rq.Snapshot, Shards: 4,
			Hits: []wire.Hit{{Member: "m1"}},
			Load: wire.UpstreamLoad{Incarnation: 1, State: wire.UpstreamServing},
		}
		change(&rp)
		// A client that has gone does not see the rest.
		_ = json.NewEncoder(rw).Encode(rp)
	}
}

// raw takes the connection over, writes the text and closes.
func raw(text string) move {
	return func(_ *scripted, rw http.ResponseWriter, _ wire.ShardRequest) {
		nc, _, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer nc.Close()
		_, _ = nc.Write([]byte(text))
	}
}

func replyStatus(status int, body string) move {
	return func(_ *scripted, rw http.ResponseWriter, _ wire.ShardRequest) {
		rw.WriteHeader(status)
		fmt.Fprint(rw, body)
	}
}

func mute(sc *scripted, _ http.ResponseWriter, _ wire.ShardRequest) { <-sc.open }

// UpstreamClient holds a client to what a search relies on: whatever the server
// does, there is one reply or one error in time; a request goes out at most
// once; and an error that says "not sent" is the truth.
func UpstreamClient(t *testing.T, cfg UpstreamClientConfig) {
	t.Helper()
	plain := answerWith(func(*wire.ShardReply) {})
	cases := []struct {
		name string
		move move
		// fails tells whether there must be an error.
		fails bool
		check func(is *is.I, rp wire.ShardReply)
	}{
		{"reply", plain, false, func(is *is.I, rp wire.ShardReply) { is.Equal(rp.Hits[0].Member, "m1") }},
		{"refusal", answerWith(func(rp *wire.ShardReply) { rp.Refusal, rp.Hits = wire.RefusalShed, nil }), false,
			func(is *is.I, rp wire.ShardReply) { is.Equal(rp.Refusal, wire.RefusalShed) }},
		{"reply to another request", answerWith(func(rp *wire.ShardReply) { rp.ID = "foreign" }), false,
			func(is *is.I, rp wire.ShardReply) { is.Equal(rp.ID, "foreign") }}, // the search must see it
		{"absurd shards", answerWith(func(rp *wire.ShardReply) { rp.Shard, rp.Shards = -1, 1<<31-1 }), false,
			func(is *is.I, rp wire.ShardReply) { is.Equal(rp.Shard, -1) }},
		{"last reply of the connection", func(sc *scripted, rw http.ResponseWriter, rq wire.ShardRequest) {
			rw.Header().Set("Connection", "close")
			plain(sc, rw, rq)
		}, false, func(is *is.I, rp wire.ShardReply) { is.Equal(rp.Shards, 4) }},
		{"no reply", raw(""), true, nil},
		{"reply cut within the headers", raw("HTTP/1.1 200 OK\r\nContent-"), true, nil},
		{"reply cut within the body", raw("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"id\":"), true, nil},
		{"no HTTP", raw("\x00\x01\x02"), true, nil},
		{"negative length", raw("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"), true, nil},
		{"length beyond any bound", raw("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n{"), true, nil},
		{"fault", replyStatus(http.StatusInternalServerError, "{}"), true, nil},
		{"no JSON", replyStatus(http.StatusOK, "hello"), true, nil},
		{"wrong types", replyStatus(http.StatusOK, `{"id":5}`), true, nil},
		{"shards out of range", replyStatus(http.StatusOK, `{"shards":1e40}`), true, nil},
		{"silence", mute, true, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			sc := startScripted(t, tc.move)
			cl := cfg.New(t, sc.addr)
			for _, id := range []string{"a.1", "a.2"} {
				rp, err := searchOnce(cl, id, tc.name == "silence")
				is.True(sc.times(id) <= 1) // sent twice
				is.Equal(err != nil, tc.fails)
				if err != nil {
					is.True(cfg.Sent(err) || sc.times(id) == 0) // it says "not sent", and the server got it
					continue
				}
				tc.check(is, rp)
			}
		})
	}
	unsent(t, cfg)
}

// unsent are the cases in which the server cannot have got the request, and the
// client must know.
func unsent(t *testing.T, cfg UpstreamClientConfig) {
	t.Helper()
	t.Run("nothing listens", func(t *testing.T) {
		is := is.New(t)
		var lc net.ListenConfig
		ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
		is.NoErr(err)
		is.NoErr(ln.Close())
		_, err = searchOnce(cfg.New(t, ln.Addr().String()), "a.1", false)
		is.True(err != nil)
		is.True(!cfg.Sent(err)) // nothing was there to get it
	})
	t.Run("deadline passed before", func(t *testing.T) {
		is := is.New(t)
		sc := startScripted(t, answerWith(func(*wire.ShardReply) {}))
		ctx, cancel := context.WithTimeout(context.Background(), -time.Second)
		defer cancel()
		_, err := cfg.New(t, sc.addr).Search(ctx, wire.ShardRequest{ID: "a.1"})
		is.True(err != nil)
		is.Equal(sc.times("a.1"), 0)
		is.True(!cfg.Sent(err))
	})
}

// searchOnce bounds a search that must fail by time briefly, and others amply.
func searchOnce(cl UpstreamCaller, id string, brief bool) (wire.ShardReply, error) {
	bound := patience
	if brief {
		bound = 100 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	return cl.Search(ctx, wire.ShardRequest{
		ID: id, Register: "members", Snapshot: 7, DeadlineMs: bound.Milliseconds(),
		Query: json.RawMessage(`{}`), Limit: 10,
	})
}
