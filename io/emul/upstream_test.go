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

// startUpstream starts a server and adds shards 0 and 1 of the snapshots 1 to 3, which have four
// shards each. With the default MaxSnapshots it then holds the last two.
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

func newShardRequest(id string) wire.ShardRequest {
	return wire.ShardRequest{
		ID:         id,
		Register:   "members",
		Snapshot:   3,
		DeadlineMs: waitTimeout.Milliseconds(),
		Query:      []byte(findAll),
	}
}

func search(t *testing.T, up *Upstream, rq wire.ShardRequest) (wire.ShardReply, int, error) {
	var ry wire.ShardReply
	code, err := newTestClient(t, waitTimeout).send(up.Addr(), wire.RouteShardSearch, rq, &ry)
	return ry, code, err
}

// endlessService is the service time of work that only a cancellation or deadline ends.
func endlessService(*rand.Rand) time.Duration { return time.Hour }

func TestUpstreamRefusals(t *testing.T) {
	// A refusal states that nothing was run; the run log must agree.
	cases := []struct {
		name     string
		cfg      UpstreamConfig
		change   func(rq *wire.ShardRequest)
		refusal  wire.Refusal
		snapshot uint64
	}{
		{"newest", UpstreamConfig{}, func(*wire.ShardRequest) {}, "", 3},
		{"previous", UpstreamConfig{}, func(rq *wire.ShardRequest) { rq.Snapshot = 2 }, "", 2},
		{"any", UpstreamConfig{}, func(rq *wire.ShardRequest) { rq.Snapshot = 0 }, "", 3},
		{"retired", UpstreamConfig{}, func(rq *wire.ShardRequest) { rq.Snapshot = 1 }, wire.RefusalSnapshotGone, 3},
		{"reports only", UpstreamConfig{ReportsOnly: true}, func(rq *wire.ShardRequest) { rq.Snapshot = 1 }, "", 3},
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
			rq := newShardRequest("s1")
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
	// One sub-request runs, one is queued, the third is shed. The queued one is cancelled
	// and refused as not run; the running one is cancelled without such a refusal. The slot
	// is then free again.
	is := is.New(t)
	up := startUpstream(t, UpstreamConfig{Slots: 1, Queue: 1, Service: endlessService})
	codes := map[string]chan int{"runs": make(chan int, 1), "waits": make(chan int, 1)}
	waited := make(chan wire.ShardReply, 1)
	go func() {
		_, code, _ := search(t, up, newShardRequest("runs"))
		codes["runs"] <- code
	}()
	eventually(is, func() bool { return up.Load().InFlight == 1 })
	go func() {
		ry, _, _ := search(t, up, newShardRequest("waits"))
		waited <- ry
	}()
	eventually(is, func() bool { return up.Load().Queued == 1 })

	ry, _, err := search(t, up, newShardRequest("shed"))
	is.NoErr(err)
	is.Equal(ry.Refusal, wire.RefusalShed)
	is.Equal(ry.RetryAfterMs, DefaultRetryAfter.Milliseconds())
	is.Equal(ry.Load.InFlight, 1)
	is.Equal(ry.Load.Queued, 1)

	ca := newTestClient(t, waitTimeout)
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
	// The deadlines of two sub-requests pass. The one that got a slot is not refused,
	// because it was run; the queued one is.
	is := is.New(t)
	up := startUpstream(t, UpstreamConfig{Slots: 1, Service: endlessService})
	short := func(id string) wire.ShardRequest {
		rq := newShardRequest(id)
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
		_, _, _ = search(t, up, newShardRequest("holds"))
	}()
	eventually(is, func() bool { return up.Ran("holds") })
	ry, _, err := search(t, up, short("waits"))
	is.NoErr(err)
	is.Equal(ry.Refusal, wire.RefusalExpired)
	is.True(!up.Ran("waits"))
	is.True(up.cancel("holds"))
	<-ended
}

func TestUpstreamQueueDrains(t *testing.T) {
	is := is.New(t)
	up := startUpstream(t, UpstreamConfig{Slots: 1, Queue: 8, Service: func(*rand.Rand) time.Duration {
		return time.Millisecond
	}})
	got := make(chan wire.ShardReply, 8)
	for range cap(got) {
		go func() {
			ry, _, _ := search(t, up, newShardRequest("s"))
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
	// The status of a search under a fault does not tell the caller whether it was run; the
	// run log does.
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
			_, code, err := search(t, up, newShardRequest("s"))
			is.NoErr(err)
			is.Equal(code, tc.code)
			is.Equal(up.Ran("s"), tc.ran)
		})
	}
}

func TestUpstreamNoAnswer(t *testing.T) {
	// The server accepts a search and runs it, but no answer comes, or only a part of one.
	// The connection stays open; one opened after the fault is removed works.
	cases := []struct {
		name   string
		faults UpstreamFaults
		bytes  int // of the reply that arrive
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
			body, err := json.Marshal(newShardRequest("s"))
			is.NoErr(err)
			rq, err := http.NewRequest(http.MethodPost, "http://"+up.Addr()+wire.RouteShardSearch, bytes.NewReader(body))
			is.NoErr(err)
			is.NoErr(rq.Write(nc))
			eventually(is, func() bool { return up.Ran("s") })
			_, err = io.ReadFull(nc, make([]byte, tc.bytes))
			is.NoErr(err)
			is.NoErr(nc.SetReadDeadline(time.Now().Add(silenceWindow)))
			_, err = nc.Read(make([]byte, 1))
			is.True(errors.Is(err, os.ErrDeadlineExceeded)) // open, but no more bytes

			up.SetFaults(UpstreamFaults{})
			_, code, err := search(t, up, newShardRequest("after"))
			is.NoErr(err)
			is.Equal(code, http.StatusOK)
		})
	}
}

func TestUpstreamSilence(t *testing.T) {
	// After an open connection goes silent, the next request on it does not reach the server
	// and gets no answer, while one on a new connection is answered.
	is := is.New(t)
	up := startUpstream(t, UpstreamConfig{})
	ca := newTestClient(t, waitTimeout)
	_, err := ca.send(up.Addr(), wire.RoutePing, nil, nil)
	is.NoErr(err)
	up.Silence()
	ca.hc.Timeout = silenceWindow
	_, err = ca.send(up.Addr(), wire.RouteShardSearch, newShardRequest("lost"), nil)
	is.True(err != nil)
	is.True(!up.Ran("lost"))
	_, _, err = search(t, up, newShardRequest("new"))
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
	_, _, err = search(t, up, newShardRequest("s"))
	is.NoErr(err) // a closed connection does not count towards the limit
}

func TestUpstreamCrash(t *testing.T) {
	// The server crashes while it runs a search, which gets an error. Its port is closed
	// until the restart, which has the next incarnation and free slots.
	is := is.New(t)
	up := startUpstream(t, UpstreamConfig{Slots: 1, Service: endlessService})
	failed := make(chan error, 1)
	go func() {
		_, _, err := search(t, up, newShardRequest("s"))
		failed <- err
	}()
	eventually(is, func() bool { return up.Load().InFlight == 1 })
	up.Crash()
	is.True(<-failed != nil)
	is.True(up.Ran("s"))
	_, err := net.Dial("tcp", up.Addr())
	is.True(err != nil)
	is.NoErr(up.Restart(wire.UpstreamCold))
	is.True(up.Restart(wire.UpstreamCold) != nil) // already serving
	ry, _, err := search(t, up, newShardRequest("again"))
	is.NoErr(err)
	is.Equal(ry.Refusal, wire.RefusalCold)
	is.Equal(ry.Load, wire.UpstreamLoad{Incarnation: 2, State: wire.UpstreamCold})
}

func TestUpstreamStatus(t *testing.T) {
	// The status endpoints lag behind a server that drains, and then report a false state;
	// replies to sub-requests always report the actual state.
	is := is.New(t)
	fc := &fakeClock{}
	up := startUpstream(t, UpstreamConfig{Clock: fc.clock})
	status := func() (wire.UpstreamState, int) {
		var us wire.UpstreamStatus
		ca := newTestClient(t, waitTimeout)
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
		{UpstreamFaults{ClaimedState: wire.UpstreamServing}, 0, wire.UpstreamServing, http.StatusOK},
	}
	status()
	up.SetState(wire.UpstreamDraining)
	for _, st := range steps {
		up.SetFaults(st.faults)
		fc.advance(st.advance)
		state, code := status()
		is.Equal(state, st.state)
		is.Equal(code, st.code)
		ry, _, err := search(t, up, newShardRequest("s"))
		is.NoErr(err)
		is.Equal(ry.Load.State, wire.UpstreamDraining)
	}
}
