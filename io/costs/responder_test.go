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

// traffic counts the bytes that passed through the sockets of the peer process.
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

// runResponder runs the peer process until its standard input ends, and returns its exit code.
func runResponder() int {
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
	inn := peer.NewServer(peer.ServerConfig{Listener: countedListener{lns[1], tr}, Service: cannedPeer{}})
	go func() { _ = inn.Serve() }()
	go func() { _ = http.Serve(lns[2], http.HandlerFunc(tr.usage)) }()
	go func() { _ = newFront(countedListener{lns[3], tr}).Serve() }()
	line, err := json.Marshal(peerAddrs{
		Upstream: lns[0].Addr().String(),
		Inner:    lns[1].Addr().String(),
		Usage:    lns[2].Addr().String(),
		Caller:   lns[3].Addr().String(),
	})
	if err != nil {
		return 1
	}
	fmt.Println(string(line))
	// The input ends when the benchmark does.
	_, _ = io.Copy(io.Discard, os.Stdin)
	return 0
}

func (tr *traffic) usage(rw http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(rw).Encode(usage{CPU: cpuTime(), Received: tr.received.Load(), Sent: tr.sent.Load()})
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
		rp, err := json.Marshal(replyToPath(path, body))
		if err != nil {
			return
		}
		out := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(rp))
		if _, err := nc.Write(append(out, rp...)); err != nil {
			return
		}
	}
}

// readRequest reads a request. It supports only the parts of HTTP that the benchmarks use.
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

func replyToPath(path string, body []byte) any {
	switch path {
	case wire.RouteShardSearch:
		var rq wire.ShardRequest
		_ = json.Unmarshal(body, &rq)
		return shardReplyTo(rq)
	case routeBatch:
		var rqs []wire.ShardRequest
		_ = json.Unmarshal(body, &rqs)
		rps := make([]wire.ShardReply, len(rqs))
		for i, rq := range rqs {
			rps[i] = shardReplyTo(rq)
		}
		return rps
	case routeMerged:
		var rq mergedRequest
		_ = json.Unmarshal(body, &rq)
		return mergedReplyTo(rq)
	default:
		return struct{}{}
	}
}

// shardReplyTo returns a reply with as many hits as the limit. In these benchmarks the version of a
// snapshot is its number of shards.
func shardReplyTo(rq wire.ShardRequest) wire.ShardReply {
	return wire.ShardReply{
		ID:       rq.ID,
		Shard:    rq.Shard,
		Snapshot: rq.Snapshot,
		Shards:   int(rq.Snapshot),
		Hits:     makeHits(rq.Shard, rq.Limit),
		Load:     wire.UpstreamLoad{Incarnation: 1, State: wire.UpstreamServing, InFlight: 3},
	}
}

// makeHits returns n hits, each of the size of a member with five fields.
func makeHits(shard, n int) []wire.Hit {
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

// mergedRequest requests one merged list over many shards.
type mergedRequest struct {
	Request wire.ShardRequest `json:"request"`
	Shards  []int             `json:"shards"`
}

// mergedReply is one merged list over many shards, and the shards that it covers.
type mergedReply struct {
	ID       string     `json:"id"`
	Snapshot uint64     `json:"snapshot"`
	Answered []int      `json:"answered"`
	Hits     []wire.Hit `json:"hits"`
	More     bool       `json:"more"`
}

func mergedReplyTo(rq mergedRequest) mergedReply {
	mg := merge.New(merge.Config{Limit: rq.Request.Limit})
	for _, sh := range rq.Shards {
		mg.Add(makeHits(sh, rq.Request.Limit), false)
	}
	hits, more := mg.Result()
	return mergedReply{ID: rq.Request.ID, Snapshot: rq.Request.Snapshot, Answered: rq.Shards, Hits: hits, More: more}
}

// cannedPeer is a VM to which searches are forwarded. The id of a search is the number of hits in its
// answer.
type cannedPeer struct{ inner.Peer }

func (cannedPeer) Run(_ context.Context, rq *inner.RunRequest) (*inner.RunReply, error) {
	var sr wire.SearchRequest
	if err := json.Unmarshal(rq.GetRequest(), &sr); err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(sr.ID)
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(cannedAnswer(sr, n))
	if err != nil {
		return nil, err
	}
	return &inner.RunReply{Version: inner.Version, Answer: raw}, nil
}

func cannedAnswer(rq wire.SearchRequest, hits int) wire.SearchAnswer {
	return wire.SearchAnswer{
		ID:       rq.ID,
		Outcome:  wire.OutcomeComplete,
		Snapshot: 7,
		Coverage: wire.Coverage{Shards: 270, Answered: 270, Share: 1},
		Hits:     makeHits(1, hits),
		Work:     wire.Work{Primaries: 270},
	}
}

// cannedSearcher answers searches at once. The id of a search is the number of hits in its answer.
type cannedSearcher struct{}

func (cannedSearcher) Search(_ context.Context, rq wire.SearchRequest) wire.SearchAnswer {
	n, _ := strconv.Atoi(rq.ID)
	return cannedAnswer(rq, n)
}

func (cannedSearcher) Tickets(string, int) []string { return nil }

// newFront returns a callers' listener whose searches cost nothing.
func newFront(ln net.Listener) *front.Front {
	return front.New(front.Config{
		Listener:    ln,
		Search:      cannedSearcher{},
		Leaving:     func() bool { return false },
		MaxBody:     1 << 20,
		ReadTimeout: waitTimeout,
		MaxDeadline: time.Minute,
		TicketTTL:   time.Minute,
		NewID:       func() string { return "x" },
		Refused:     func(string) {},
		Log:         func(wire.SearchRequest, wire.SearchAnswer) {},
	})
}

func (cannedPeer) Beat(_ context.Context, rq *inner.BeatRequest) (*inner.BeatReply, error) {
	return &inner.BeatReply{
		Version:  rq.GetVersion(),
		From:     rq.GetFrom(),
		Sequence: rq.GetSequence(),
		Members:  rq.GetMembers(),
		Digest:   rq.GetDigest(),
		Highest:  rq.GetHighest(),
	}, nil
}
