package costs_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"

	"laburnumvane/core/merge"
	"laburnumvane/io/front"
	"laburnumvane/io/inner"
	"laburnumvane/io/peer"
	"laburnumvane/io/wire"
)

const (
	routeBatch  = "/batch"
	routeMerged = "/merged"
)

// traffic counts what passed through the other end's sockets.
type traffic struct {
	received, sent atomic.Int64
}

type countedListener struct {
	net.Listener
	tr *traffic
}

func (cl countedListener) Accept() (net.Conn, error) {
	nc, err := cl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{nc, cl.tr}, nil
}

type countedConn struct {
	net.Conn
	tr *traffic
}

func (cc countedConn) Read(b []byte) (int, error) {
	n, err := cc.Conn.Read(b)
	cc.tr.received.Add(int64(n))
	return n, err
}

func (cc countedConn) Write(b []byte) (int, error) {
	n, err := cc.Conn.Write(b)
	cc.tr.sent.Add(int64(n))
	return n, err
}

// respond is the other end's whole life.
func respond() int {
	hlog.SetLevel(hlog.LevelFatal)
	tr := new(traffic)
	var lns [4]net.Listener
	for i := range lns {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fmt.Fprintln(os.Stderr, "responder:", err)
			return 1
		}
		lns[i] = ln
	}
	go serveUpstream(countedListener{lns[0], tr})
	inn := peer.NewServer(peer.ServerConfig{Listener: countedListener{lns[1], tr}, Service: holder{}})
	go func() { _ = inn.Serve() }()
	go func() { _ = http.Serve(lns[2], http.HandlerFunc(tr.account)) }()
	go func() { _ = newFront(countedListener{lns[3], tr}).Serve() }()
	line, err := json.Marshal(addrs{
		Upstream: lns[0].Addr().String(),
		Inner:    lns[1].Addr().String(),
		Account:  lns[2].Addr().String(),
		Caller:   lns[3].Addr().String(),
	})
	if err != nil {
		return 1
	}
	fmt.Println(string(line))
	// The end of the input is the end of the benchmark.
	_, _ = io.Copy(io.Discard, os.Stdin)
	return 0
}

func (tr *traffic) account(rw http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(rw).Encode(account{CPU: cpuTime(), Received: tr.received.Load(), Sent: tr.sent.Load()})
}

func serveUpstream(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		go serveConn(nc)
	}
}

func serveConn(nc net.Conn) {
	defer nc.Close()
	rd := bufio.NewReader(nc)
	for {
		path, body, err := readRequest(rd)
		if err != nil {
			return
		}
		rp, err := json.Marshal(answerTo(path, body))
		if err != nil {
			return
		}
		out := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(rp))
		if _, err := nc.Write(append(out, rp...)); err != nil {
			return
		}
	}
}

// readRequest reads what the benchmarks send, and no more of HTTP than that.
func readRequest(rd *bufio.Reader) (string, []byte, error) {
	first, err := rd.ReadBytes('\n')
	if err != nil {
		return "", nil, err
	}
	length := 0
	for {
		line, err := rd.ReadBytes('\n')
		if err != nil {
			return "", nil, err
		}
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			break
		}
		name, val, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte("Content-Length")) {
			length, err = strconv.Atoi(string(bytes.TrimSpace(val)))
			if err != nil {
				return "", nil, err
			}
		}
	}
	body := make([]byte, length)
	_, err = io.ReadFull(rd, body)
	return string(bytes.Fields(first)[1]), body, err
}

func answerTo(path string, body []byte) any {
	switch path {
	case wire.RouteShardSearch:
		var rq wire.ShardRequest
		_ = json.Unmarshal(body, &rq)
		return replyTo(rq)
	case routeBatch:
		var rqs []wire.ShardRequest
		_ = json.Unmarshal(body, &rqs)
		rps := make([]wire.ShardReply, len(rqs))
		for i, rq := range rqs {
			rps[i] = replyTo(rq)
		}
		return rps
	case routeMerged:
		var rq mergedRequest
		_ = json.Unmarshal(body, &rq)
		return mergedOf(rq)
	default:
		return struct{}{}
	}
}

// replyTo answers with as many hits as the limit. The version of a snapshot is
// its number of shards here.
func replyTo(rq wire.ShardRequest) wire.ShardReply {
	return wire.ShardReply{
		ID:       rq.ID,
		Shard:    rq.Shard,
		Snapshot: rq.Snapshot,
		Shards:   int(rq.Snapshot),
		Hits:     hitsOf(rq.Shard, rq.Limit),
		Load:     wire.UpstreamLoad{Incarnation: 1, State: wire.UpstreamServing, InFlight: 3},
	}
}

// hitsOf makes hits of the size of a member with a handful of fields.
func hitsOf(shard, n int) []wire.Hit {
	out := make([]wire.Hit, n)
	for i := range out {
		out[i] = wire.Hit{
			Member: fmt.Sprintf("m%04d%04d", shard, i),
			Key:    fmt.Sprintf("k%04d%04d", i, shard),
			Fields: json.RawMessage(`{"plate":"QKD-4821","plan":"gold","renewal":"2026-12-31","washes":41,"credit":0}`),
		}
	}
	return out
}

// mergedRequest asks for one list over many shards.
type mergedRequest struct {
	Request wire.ShardRequest `json:"request"`
	Shards  []int             `json:"shards"`
}

// mergedReply is one list over many shards, with which of them it covers.
type mergedReply struct {
	ID       string     `json:"id"`
	Snapshot uint64     `json:"snapshot"`
	Answered []int      `json:"answered"`
	Hits     []wire.Hit `json:"hits"`
	More     bool       `json:"more"`
}

func mergedOf(rq mergedRequest) mergedReply {
	mg := merge.New(merge.Config{Limit: rq.Request.Limit})
	for _, sh := range rq.Shards {
		mg.Add(hitsOf(sh, rq.Request.Limit), false)
	}
	hits, more := mg.Result()
	return mergedReply{ID: rq.Request.ID, Snapshot: rq.Request.Snapshot, Answered: rq.Shards, Hits: hits, More: more}
}

// holder is a VM that gets searches forwarded; the id of a search says how many
// hits its answer has.
type holder struct{ inner.Peer }

func (holder) Run(_ context.Context, rq *inner.RunRequest) (*inner.RunReply, error) {
	var sr wire.SearchRequest
	if err := json.Unmarshal(rq.GetRequest(), &sr); err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(sr.ID)
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(answerOf(sr, n))
	if err != nil {
		return nil, err
	}
	return &inner.RunReply{Version: inner.Version, Answer: raw}, nil
}

func answerOf(rq wire.SearchRequest, hits int) wire.SearchAnswer {
	return wire.SearchAnswer{
		ID:       rq.ID,
		Outcome:  wire.OutcomeComplete,
		Snapshot: 7,
		Coverage: wire.Coverage{Shards: 270, Answered: 270, Share: 1},
		Hits:     hitsOf(1, hits),
		Work:     wire.Work{Primaries: 270},
	}
}

// canned answers searches at once; the id says how many hits.
type canned struct{}

func (canned) Search(_ context.Context, rq wire.SearchRequest) wire.SearchAnswer {
	n, _ := strconv.Atoi(rq.ID)
	return answerOf(rq, n)
}

func (canned) Tickets(string, int) []string { return nil }

// newFront is the callers' listener before searches that cost nothing.
func newFront(ln net.Listener) *front.Front {
	return front.New(front.Config{
		Listener:    ln,
		Search:      canned{},
		Leaving:     func() bool { return false },
		MaxBody:     1 << 20,
		ReadTimeout: patience,
		MaxDeadline: time.Minute,
		TicketTTL:   time.Minute,
		NewID:       func() string { return "x" },
		Refused:     func(string) {},
		Log:         func(wire.SearchRequest, wire.SearchAnswer) {},
	})
}

func (holder) Beat(_ context.Context, rq *inner.BeatRequest) (*inner.BeatReply, error) {
	return &inner.BeatReply{
		Version:  rq.GetVersion(),
		From:     rq.GetFrom(),
		Sequence: rq.GetSequence(),
		Members:  rq.GetMembers(),
		Digest:   rq.GetDigest(),
		Highest:  rq.GetHighest(),
	}, nil
}
