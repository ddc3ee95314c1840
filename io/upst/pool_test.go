package upst_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"laburnumvane/core/warm"
	"laburnumvane/io/emul"
	"laburnumvane/io/upst"
	"laburnumvane/io/wire"
)

// The server takes two connections and closes any further one at once. All
// searches are answered over the two; the refusal is met once and not again
// while the clock stands.
func TestTooManyConnections(t *testing.T) {
	ri := newRig(t, emul.UpstreamConfig{Connections: 2, Slots: 8, Queue: 8, Service: slow(5 * time.Millisecond)}, upst.Config{MaxConns: 6})
	var done []<-chan error
	for i := range 8 {
		done = append(done, ri.begin(fmt.Sprint(i), patience))
	}
	for _, ch := range done {
		ri.is.NoErr(<-ch)
	}
	ri.is.True(ri.sv.Open() <= 2)
	_, refused := ri.up.Connections()
	// So many openings may be under way when the first is refused.
	ri.is.True(refused <= warm.DefaultMostAtOnce)
}

// A hedge is lost: the message that gives it up goes out at once over an idle
// connection, and the sub-request ends long before its deadline.
func TestCancelOverIdle(t *testing.T) {
	ri := newRig(t, emul.UpstreamConfig{Service: slow(time.Minute)}, upst.Config{MaxConns: 2, Floor: 2})
	ri.until("two are open", func() bool {
		ri.fc.advance(time.Second)
		ri.sv.Tick(true)
		return ri.sv.Open() == 2
	})
	done := ri.begin("loser", patience)
	ri.until("it runs", func() bool { return ri.up.Load().InFlight == 1 })
	ri.sv.Cancel("loser")
	failure(ri.is, <-done, upst.KindStatus, true)
	ri.is.Equal(ri.sv.Open(), 2)
}

// Many sub-requests of one server are given up at once while every connection
// is busy with one of them. Nothing waits, nothing is opened; the deadline that
// the server was told ends them.
func TestCancelWithoutFreeConnection(t *testing.T) {
	ri := newRig(t, emul.UpstreamConfig{Service: slow(time.Minute)}, upst.Config{MaxConns: 1})
	done := ri.begin("busy", 300*time.Millisecond)
	ri.until("it runs", func() bool { return ri.up.Load().InFlight == 1 })
	for i := range 1000 {
		ri.sv.Cancel(fmt.Sprint(i))
	}
	var ue *upst.Error
	ri.is.True(errors.As(<-done, &ue)) // by the server's word or by this VM's own clock
	ri.is.True(ue.Sent)
	open, _ := ri.up.Connections()
	ri.is.Equal(open, 1)
}

// A reply comes after its deadline. It is read off the connection and dropped;
// the next search on that connection gets its own reply, and no new connection
// was opened for it.
func TestLateReply(t *testing.T) {
	is := is.New(t)
	free := make(chan struct{})
	hs := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, hr *http.Request) {
		var rq wire.ShardRequest
		if hr.URL.Path == wire.RouteShardSearch {
			_ = json.NewDecoder(hr.Body).Decode(&rq)
		}
		if rq.ID == "late" {
			<-free
		}
		_ = json.NewEncoder(rw).Encode(wire.ShardReply{ID: rq.ID})
	}))
	defer hs.Close()
	sv := upst.New(upst.Config{Addr: hs.Listener.Addr().String(), MaxConns: 1})
	defer sv.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := sv.Search(ctx, request("late"))
	failure(is, err, upst.KindTimeout, true)
	close(free)
	ctx, cancel = context.WithTimeout(context.Background(), patience)
	defer cancel()
	rp, err := sv.Search(ctx, request("next"))
	is.NoErr(err)
	is.Equal(rp.ID, "next")
	counts := map[string]int64{}
	sv.Harvest(func(reason string, n int64) { counts[reason] += n })
	is.Equal(counts["opened"], int64(1))
	is.Equal(counts["late"], int64(1))
}

// The connection plan changes while searches run: those over the limit are
// closed, idle ones at once, and the rest serves on.
func TestSetLimit(t *testing.T) {
	ri := newRig(t, emul.UpstreamConfig{Slots: 8}, upst.Config{MaxConns: 4, Floor: 4})
	ri.until("four are open", func() bool {
		ri.fc.advance(time.Second)
		ri.sv.Tick(true)
		return ri.sv.Open() == 4
	})
	ri.sv.SetLimit(1)
	ri.is.Equal(ri.sv.Open(), 1)
	ri.is.Equal(ri.sv.Limit(), 1)
	ri.is.NoErr(ri.search("a", patience))
	ri.sv.SetLimit(2)
	ri.until("two are open", func() bool {
		ri.fc.advance(time.Second)
		ri.sv.Tick(true)
		return ri.sv.Open() == 2
	})
}

// The server restarts while no search runs: Tick notices the closed connection
// and opens another, so that the next search finds it ready.
func TestRefillAfterRestart(t *testing.T) {
	ri := newRig(t, emul.UpstreamConfig{}, upst.Config{MaxConns: 2})
	ri.is.True(ri.sv.Tick(true))
	ri.until("one is open", func() bool { return ri.sv.Open() == 1 })
	ri.up.Crash()
	ri.is.NoErr(ri.up.Restart(wire.UpstreamServing))
	ri.fc.advance(time.Second)
	ri.is.True(ri.sv.Tick(true))
	ri.until("one is open again", func() bool { return ri.sv.Open() == 1 })
	ri.is.True(!ri.sv.Tick(true)) // the floor is kept: no more are wanted
}
