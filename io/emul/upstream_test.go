package emul

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"laburnumvane/io/wire"
)

const findAll = `{}`

// startUpstream holds shards 0 and 1 of versions 1 to 3 with four shards each,
// of which Keep leaves the last two.
func startUpstream(t *testing.T, cfg UpstreamConfig) *Upstream {
	is := is.New(t)
	rg, err := SampleRegister("members", 1, 100)
	is.NoErr(err)
	up := NewUpstream(cfg)
	is.NoErr(up.Start())
	t.Cleanup(up.Close)
	for range 3 {
		sn, err := rg.Snapshot(4)
		is.NoErr(err)
		up.Hold(sn, []int{0, 1})
	}
	return up
}

func ask(id string) wire.ShardRequest {
	return wire.ShardRequest{
		ID:         id,
		Register:   "members",
		Snapshot:   3,
		DeadlineMs: patience.Milliseconds(),
		Query:      []byte(findAll),
	}
}

func search(t *testing.T, up *Upstream, rq wire.ShardRequest) (wire.ShardReply, int, error) {
	var ry wire.ShardReply
	code, err := newCaller(t, patience).send(up.Addr(), wire.RouteShardSearch, rq, &ry)
	return ry, code, err
}

// never is the service time of work that only a cancellation or deadline ends.
func never(*rand.Rand) time.Duration { return time.Hour }

func TestUpstreamRefusals(t *testing.T) {
	// The caller sees a refusal, the server's own word that nothing ran; the
	// record of runs must bear it out.
	cases := []struct {
		name     string
		cfg      UpstreamConfig
		change   func(rq *wire.ShardRequest)
		refusal  wire.Refusal
		snapshot uint64
	}{
		{"newest", UpstreamConfig{}, func(*wire.ShardRequest) {}, "", 3},
		{"one before", UpstreamConfig{}, func(rq *wire.ShardRequest) { rq.Snapshot = 2 }, "", 2},
		{"any", UpstreamConfig{}, func(rq *wire.ShardRequest) { rq.Snapshot = 0 }, "", 3},
		{"retired", UpstreamConfig{}, func(rq *wire.ShardRequest) { rq.Snapshot = 1 }, wire.RefusalSnapshotGone, 3},
		{"wish ignored", UpstreamConfig{ReportsOnly: true}, func(rq *wire.ShardRequest) { rq.Snapshot = 1 }, "", 3},
		{"other shard", UpstreamConfig{}, func(rq *wire.ShardRequest) { rq.Shard = 2 }, wire.RefusalNotHeld, 3},
		{"other register", UpstreamConfig{}, func(rq *wire.ShardRequest) { rq.Register = "x" }, wire.RefusalNotHeld, 0},
		{"expired", UpstreamConfig{}, func(rq *wire.ShardRequest) { rq.DeadlineMs = 0 }, wire.RefusalExpired, 3},
		{"cold", UpstreamConfig{State: wire.UpstreamCold}, func(*wire.ShardRequest) {}, wire.RefusalCold, 3},
		{"draining", UpstreamConfig{State: wire.UpstreamDraining}, func(*wire.ShardRequest) {}, wire.RefusalDraining, 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			up := startUpstream(t, tc.cfg)
			rq := ask("s1")
			tc.change(&rq)
			ry, code, err := search(t, up, rq)
			is.NoErr(err)
			is.Equal(code, http.StatusOK)
			is.Equal(ry.Refusal, tc.refusal)
			is.Equal(ry.Snapshot, tc.snapshot)
			is.Equal(up.Ran("s1"), tc.refusal == "")
			is.Equal(len(ry.Hits) > 0, tc.refusal == "")
			is.Equal(up.Refused(wire.RefusalNotHeld) == 1, tc.refusal == wire.RefusalNotHeld)
		})
	}
}

func TestUpstreamSlots(t *testing.T) {
	// One sub-request runs, one waits, the third is shed. The one that waits is
	// cancelled and says that it did not run; the running one is cancelled and
	// cannot say so. The slot is then free again.
	is := is.New(t)
	up := startUpstream(t, UpstreamConfig{Slots: 1, Queue: 1, Service: never})
	codes := map[string]chan int{"runs": make(chan int, 1), "waits": make(chan int, 1)}
	waited := make(chan wire.ShardReply, 1)
	go func() {
		_, code, _ := search(t, up, ask("runs"))
		codes["runs"] <- code
	}()
	eventually(is, func() bool { return up.Load().InFlight == 1 })
	go func() {
		ry, _, _ := search(t, up, ask("waits"))
		waited <- ry
	}()
	eventually(is, func() bool { return up.Load().Queued == 1 })

	ry, _, err := search(t, up, ask("shed"))
	is.NoErr(err)
	is.Equal(ry.Refusal, wire.RefusalShed)
	is.Equal(ry.RetryAfterMs, DefaultRetryAfter.Milliseconds())
	is.Equal(ry.Load.InFlight, 1)
	is.Equal(ry.Load.Queued, 1)

	ca := newCaller(t, patience)
	for _, id := range []string{"waits", "unknown", "runs"} {
		_, err = ca.send(up.Addr(), wire.RouteShardCancel, wire.CancelRequest{ID: id}, nil)
		is.NoErr(err)
	}
	is.Equal((<-waited).Refusal, wire.RefusalExpired)
	is.Equal(<-codes["runs"], statusCancelled)
	is.True(up.Ran("runs"))
	is.True(!up.Ran("waits"))
	is.True(!up.Ran("shed"))
	is.Equal(up.RunsOf(findAll), 1)
	eventually(is, func() bool { return up.Load().InFlight == 0 })
}

func TestUpstreamDeadline(t *testing.T) {
	// Two sub-requests run out of time. The one that got a slot gets no refusal,
	// for it did run; the one that waited behind another gets one.
	is := is.New(t)
	up := startUpstream(t, UpstreamConfig{Slots: 1, Service: never})
	short := func(id string) wire.ShardRequest {
		rq := ask(id)
		rq.DeadlineMs = 1
		return rq
	}
	_, code, err := search(t, up, short("runs"))
	is.NoErr(err)
	is.Equal(code, http.StatusGatewayTimeout)
	is.True(up.Ran("runs"))

	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _, _ = search(t, up, ask("holds"))
	}()
	eventually(is, func() bool { return up.Ran("holds") })
	ry, _, err := search(t, up, short("waits"))
	is.NoErr(err)
	is.Equal(ry.Refusal, wire.RefusalExpired)
	is.True(!up.Ran("waits"))
	is.True(up.cancel("holds"))
	<-ended
}

func TestUpstreamQueueMovesOn(t *testing.T) {
	is := is.New(t)
	up := startUpstream(t, UpstreamConfig{Slots: 1, Queue: 8, Service: func(*rand.Rand) time.Duration {
		return time.Millisecond
	}})
	got := make(chan wire.ShardReply, 8)
	for range cap(got) {
		go func() {
			ry, _, _ := search(t, up, ask("s"))
			got <- ry
		}()
	}
	for range cap(got) {
		ry := <-got
		is.Equal(ry.Refusal, wire.Refusal(""))
		is.True(len(ry.Hits) > 0)
	}
	is.Equal(up.Runs(), uint64(cap(got)))
}

func TestUpstreamFaults(t *testing.T) {
	// A caller searches under a fault. From a bare status it cannot tell whether
	// the search ran.
	cases := []struct {
		name   string
		faults UpstreamFaults
		code   int
		ran    bool
	}{
		{"none", UpstreamFaults{}, http.StatusOK, true},
		{"slow share", UpstreamFaults{SlowShare: 1, SlowTimes: 2}, http.StatusOK, true},
		{"fast errors", UpstreamFaults{ErrorShare: 1}, http.StatusInternalServerError, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			up := startUpstream(t, UpstreamConfig{})
			up.SetFaults(tc.faults)
			_, code, err := search(t, up, ask("s"))
			is.NoErr(err)
			is.Equal(code, tc.code)
			is.Equal(up.Ran("s"), tc.ran)
		})
	}
}

func TestUpstreamNoAnswer(t *testing.T) {
	// The server takes a search and runs it, but no answer comes, or a part of
	// one. The connection stays open; one opened after the fault works.
	cases := []struct {
		name   string
		faults UpstreamFaults
		bytes  int // of the reply that come
	}{
		{"mute", UpstreamFaults{Mute: true}, 0},
		{"silent within the reply", UpstreamFaults{SilentAfter: 40}, 40},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			up := startUpstream(t, UpstreamConfig{})
			up.SetFaults(tc.faults)
			nc, err := net.Dial("tcp", up.Addr())
			is.NoErr(err)
			defer func() { _ = nc.Close() }()
			body, err := json.Marshal(ask("s"))
			is.NoErr(err)
			rq, err := http.NewRequest(http.MethodPost, "http://"+up.Addr()+wire.RouteShardSearch, bytes.NewReader(body))
			is.NoErr(err)
			is.NoErr(rq.Write(nc))
			eventually(is, func() bool { return up.Ran("s") })
			_, err = io.ReadFull(nc, make([]byte, tc.bytes))
			is.NoErr(err)
			is.NoErr(nc.SetReadDeadline(time.Now().Add(briefly)))
			_, err = nc.Read(make([]byte, 1))
			is.True(errors.Is(err, os.ErrDeadlineExceeded)) // open, and nothing comes

			up.SetFaults(UpstreamFaults{})
			_, code, err := search(t, up, ask("after"))
			is.NoErr(err)
			is.Equal(code, http.StatusOK)
		})
	}
}

func TestUpstreamSilence(t *testing.T) {
	// An open connection goes silent: the next request on it gets no answer and
	// never reaches the server, while one on a new connection is answered.
	is := is.New(t)
	up := startUpstream(t, UpstreamConfig{})
	ca := newCaller(t, patience)
	_, err := ca.send(up.Addr(), wire.RoutePing, nil, nil)
	is.NoErr(err)
	up.Silence()
	ca.hc.Timeout = briefly
	_, err = ca.send(up.Addr(), wire.RouteShardSearch, ask("lost"), nil)
	is.True(err != nil)
	is.True(!up.Ran("lost"))
	_, _, err = search(t, up, ask("new"))
	is.NoErr(err)
	is.True(up.Ran("new"))
}

func TestUpstreamConnections(t *testing.T) {
	is := is.New(t)
	up := startUpstream(t, UpstreamConfig{Connections: 2})
	var held []net.Conn
	for range 2 {
		nc, err := net.Dial("tcp", up.Addr())
		is.NoErr(err)
		held = append(held, nc)
	}
	eventually(is, func() bool { open, _ := up.Connections(); return open == 2 })
	over, err := net.Dial("tcp", up.Addr())
	is.NoErr(err)
	_, err = over.Read(make([]byte, 1))
	is.True(err != nil) // closed at once
	_, refused := up.Connections()
	is.Equal(refused, uint64(1))

	for _, nc := range held {
		is.NoErr(nc.Close())
	}
	eventually(is, func() bool { open, _ := up.Connections(); return open == 0 })
	_, _, err = search(t, up, ask("s"))
	is.NoErr(err) // a closed connection gives its place back
}

func TestUpstreamCrash(t *testing.T) {
	// The server dies under a search, which gets an error and has run. Nobody
	// listens until the restart, whose incarnation is the next and whose slots
	// are free.
	is := is.New(t)
	up := startUpstream(t, UpstreamConfig{Slots: 1, Service: never})
	failed := make(chan error, 1)
	go func() {
		_, _, err := search(t, up, ask("s"))
		failed <- err
	}()
	eventually(is, func() bool { return up.Load().InFlight == 1 })
	up.Crash()
	is.True(<-failed != nil)
	is.True(up.Ran("s"))
	_, err := net.Dial("tcp", up.Addr())
	is.True(err != nil)
	is.NoErr(up.Restart(wire.UpstreamCold))
	is.True(up.Restart(wire.UpstreamCold) != nil) // it serves already
	ry, _, err := search(t, up, ask("again"))
	is.NoErr(err)
	is.Equal(ry.Refusal, wire.RefusalCold)
	is.Equal(ry.Load, wire.UpstreamLoad{Incarnation: 2, State: wire.UpstreamCold})
}

func TestUpstreamStatus(t *testing.T) {
	// The endpoints lag behind a server that drains, and then lie about it; a
	// reply to a sub-request tells the truth throughout.
	is := is.New(t)
	fc := &fakeClock{}
	up := startUpstream(t, UpstreamConfig{Clock: fc.clock})
	status := func() (wire.UpstreamState, int) {
		var us wire.UpstreamStatus
		ca := newCaller(t, patience)
		_, err := ca.send(up.Addr(), wire.RouteUpLoad, nil, &us)
		is.NoErr(err)
		code, err := ca.send(up.Addr(), wire.RouteUpHealth, nil, nil)
		is.NoErr(err)
		is.Equal(us.Holdings[1].Held, []int{0, 1})
		return us.State, code
	}
	steps := []struct {
		faults  UpstreamFaults
		advance time.Duration
		state   wire.UpstreamState
		code    int
	}{
		{UpstreamFaults{StatusLag: time.Second}, 0, wire.UpstreamServing, http.StatusOK},
		{UpstreamFaults{StatusLag: time.Second}, time.Second, wire.UpstreamDraining, http.StatusServiceUnavailable},
		{UpstreamFaults{Claim: wire.UpstreamServing}, 0, wire.UpstreamServing, http.StatusOK},
	}
	status()
	up.SetState(wire.UpstreamDraining)
	for _, st := range steps {
		up.SetFaults(st.faults)
		fc.advance(st.advance)
		state, code := status()
		is.Equal(state, st.state)
		is.Equal(code, st.code)
		ry, _, err := search(t, up, ask("s"))
		is.NoErr(err)
		is.Equal(ry.Load.State, wire.UpstreamDraining)
	}
}
