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

// UpstreamCaller is a client of one upstream server.
type UpstreamCaller interface {
	Search(ctx context.Context, rq wire.ShardRequest) (wire.ShardReply, error)
}

// UpstreamClientConfig describes a client under test.
type UpstreamClientConfig struct {
	New func(t *testing.T, addr string) UpstreamCaller
	// MayHaveSent reports whether, according to an error, the server may have received the
	// request.
	MayHaveSent func(err error) bool
}

// scriptedServer is a server with a given reply to searches. It answers pings and counts the
// requests that it receives by id.
type scriptedServer struct {
	mu       sync.Mutex
	requests map[string]int
	closing  chan struct{}
	addr     string
}

// handler handles one search on a scriptedServer.
type handler func(sc *scriptedServer, rw http.ResponseWriter, rq wire.ShardRequest)

func startScripted(t *testing.T, hd handler) *scriptedServer {
	t.Helper()
	sc := &scriptedServer{requests: map[string]int{}, closing: make(chan struct{})}
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
		sc.requests[rq.ID]++
		sc.mu.Unlock()
		hd(sc, rw, rq)
	})
	hs := httptest.NewServer(mux)
	sc.addr = strings.TrimPrefix(hs.URL, "http://")
	t.Cleanup(func() {
		close(sc.closing)
		hs.CloseClientConnections()
		hs.Close()
	})
	return sc
}

func (sc *scriptedServer) requestsWith(id string) int {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.requests[id]
}

func answerWith(change func(rp *wire.ShardReply)) handler {
	return func(_ *scriptedServer, rw http.ResponseWriter, rq wire.ShardRequest) {
		rp := wire.ShardReply{
			ID: rq.ID, Shard: rq.Shard, Snapshot: rq.Snapshot, Shards: 4,
			Hits: []wire.Hit{{Member: "m1"}},
			Load: wire.UpstreamLoad{Incarnation: 1, State: wire.UpstreamServing},
		}
		change(&rp)
		// The client may have disconnected; then an error does not matter.
		_ = json.NewEncoder(rw).Encode(rp)
	}
}

// rawReply hijacks the connection, writes the text and closes.
func rawReply(text string) handler {
	return func(_ *scriptedServer, rw http.ResponseWriter, _ wire.ShardRequest) {
		nc, _, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer nc.Close()
		_, _ = nc.Write([]byte(text))
	}
}

func replyStatus(status int, body string) handler {
	return func(_ *scriptedServer, rw http.ResponseWriter, _ wire.ShardRequest) {
		rw.WriteHeader(status)
		fmt.Fprint(rw, body)
	}
}

func neverReply(sc *scriptedServer, _ http.ResponseWriter, _ wire.ShardRequest) { <-sc.closing }

// UpstreamClient checks what a search relies on from a client: whatever the server does, there is
// one reply or one error in time; a request is sent at most once; and the server never received a
// request that an error describes as not sent.
func UpstreamClient(t *testing.T, cfg UpstreamClientConfig) {
	t.Helper()
	plain := answerWith(func(*wire.ShardReply) {})
	cases := []struct {
		name   string
		handle handler
		// fails is set if the client must return an error.
		fails bool
		check func(is *is.I, rp wire.ShardReply)
	}{
		{"reply", plain, false, func(is *is.I, rp wire.ShardReply) { is.Equal(rp.Hits[0].Member, "m1") }},
		{"refusal", answerWith(func(rp *wire.ShardReply) { rp.Refusal, rp.Hits = wire.RefusalShed, nil }), false,
			func(is *is.I, rp wire.ShardReply) { is.Equal(rp.Refusal, wire.RefusalShed) }},
		{"reply to another request", answerWith(func(rp *wire.ShardReply) { rp.ID = "foreign" }), false,
			func(is *is.I, rp wire.ShardReply) { is.Equal(rp.ID, "foreign") }}, // the search has to see the wrong id
		{"impossible shards", answerWith(func(rp *wire.ShardReply) { rp.Shard, rp.Shards = -1, 1<<31-1 }), false,
			func(is *is.I, rp wire.ShardReply) { is.Equal(rp.Shard, -1) }},
		{"reply that closes the connection", func(sc *scriptedServer, rw http.ResponseWriter, rq wire.ShardRequest) {
			rw.Header().Set("Connection", "close")
			plain(sc, rw, rq)
		}, false, func(is *is.I, rp wire.ShardReply) { is.Equal(rp.Shards, 4) }},
		{"no reply", rawReply(""), true, nil},
		{"reply cut within the headers", rawReply("HTTP/1.1 200 OK\r\nContent-"), true, nil},
		{"reply cut within the body", rawReply("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"id\":"), true, nil},
		{"not HTTP", rawReply("\x00\x01\x02"), true, nil},
		{"negative length", rawReply("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"), true, nil},
		{"huge length", rawReply("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n{"), true, nil},
		{"status 500", replyStatus(http.StatusInternalServerError, "{}"), true, nil},
		{"not JSON", replyStatus(http.StatusOK, "hello"), true, nil},
		{"wrong types", replyStatus(http.StatusOK, `{"id":5}`), true, nil},
		{"shards out of range", replyStatus(http.StatusOK, `{"shards":1e40}`), true, nil},
		{"silence", neverReply, true, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			sc := startScripted(t, tc.handle)
			cl := cfg.New(t, sc.addr)
			for _, id := range []string{"a.1", "a.2"} {
				rp, err := searchOnce(cl, id, tc.name == "silence")
				is.True(sc.requestsWith(id) <= 1) // at most once
				is.Equal(err != nil, tc.fails)
				if err != nil {
					is.True(cfg.MayHaveSent(err) || sc.requestsWith(id) == 0) // "not sent" must be true
					continue
				}
				tc.check(is, rp)
			}
		})
	}
	checkUnsent(t, cfg)
}

// checkUnsent checks the cases in which the server cannot have received the request. The client
// must report that it was not sent.
func checkUnsent(t *testing.T, cfg UpstreamClientConfig) {
	t.Helper()
	t.Run("connection refused", func(t *testing.T) {
		is := is.New(t)
		var lc net.ListenConfig
		ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
		is.NoErr(err)
		is.NoErr(ln.Close())
		_, err = searchOnce(cfg.New(t, ln.Addr().String()), "a.1", false)
		is.True(err != nil)
		is.True(!cfg.MayHaveSent(err)) // no server was there to receive it
	})
	t.Run("deadline already passed", func(t *testing.T) {
		is := is.New(t)
		sc := startScripted(t, answerWith(func(*wire.ShardReply) {}))
		ctx, cancel := context.WithTimeout(context.Background(), -time.Second)
		defer cancel()
		_, err := cfg.New(t, sc.addr).Search(ctx, wire.ShardRequest{ID: "a.1"})
		is.True(err != nil)
		is.Equal(sc.requestsWith("a.1"), 0)
		is.True(!cfg.MayHaveSent(err))
	})
}

// searchOnce runs one search. Brief sets a short timeout, for a search that must time out.
func searchOnce(cl UpstreamCaller, id string, brief bool) (wire.ShardReply, error) {
	timeout := testTimeout
	if brief {
		timeout = 100 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return cl.Search(ctx, wire.ShardRequest{
		ID: id, Register: "members", Snapshot: 7, DeadlineMs: timeout.Milliseconds(),
		Query: json.RawMessage(`{}`), Limit: 10,
	})
}
