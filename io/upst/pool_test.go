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

// The server accepts two connections and closes any further one at once. All searches are
// answered over the two; after the first refusal no more are opened while the clock stands still.
func TestTooManyConnections(t *testing.T) {
	fx := newFixture(t, emul.UpstreamConfig{Connections: 2, Slots: 8, Queue: 8, Service: fixedServiceTime(5 * time.Millisecond)}, upst.Config{MaxConns: 6})
	var done []<-chan error
	for i := range 8 {
		done = append(done, fx.searchAsync(fmt.Sprint(i), waitTimeout))
	}
	for _, ch := range done {
		fx.is.NoErr(<-ch)
	}
	fx.is.True(fx.sv.Open() <= 2)
	_, refused := fx.up.Connections()
	// Up to this many openings may be in progress when the first is refused.
	fx.is.True(refused <= warm.DefaultMaxOpening)
}

// Cancel is sent at once over an idle connection, so that a hedged sub-request that is no longer
// needed ends long before its deadline.
func TestCancelOverIdle(t *testing.T) {
	fx := newFixture(t, emul.UpstreamConfig{Service: fixedServiceTime(time.Minute)}, upst.Config{MaxConns: 2, MinConns: 2})
	fx.until("two are open", func() bool {
		fx.fc.advance(time.Second)
		fx.sv.MaintainOnce(true)
		return fx.sv.Open() == 2
	})
	done := fx.searchAsync("loser", waitTimeout)
	fx.until("the sub-request runs", func() bool { return fx.up.Load().InFlight == 1 })
	fx.sv.Cancel("loser")
	checkError(fx.is, <-done, upst.KindStatus, true)
	fx.is.Equal(fx.sv.Open(), 2)
}

// Many sub-requests are cancelled at once while the only connection is in use. Cancel neither
// blocks nor opens a connection; the sub-request in progress ends at its deadline.
func TestCancelWithoutFreeConnection(t *testing.T) {
	fx := newFixture(t, emul.UpstreamConfig{Service: fixedServiceTime(time.Minute)}, upst.Config{MaxConns: 1})
	done := fx.searchAsync("busy", 300*time.Millisecond)
	fx.until("the sub-request runs", func() bool { return fx.up.Load().InFlight == 1 })
	for i := range 1000 {
		fx.sv.Cancel(fmt.Sprint(i))
	}
	var ue *upst.Error
	fx.is.True(errors.As(<-done, &ue)) // from the server's reply or the client's own timeout
	fx.is.True(ue.Sent)
	open, _ := fx.up.Connections()
	fx.is.Equal(open, 1)
}

// A reply that comes after its deadline is read and discarded. The next search on the same
// connection gets its own reply, and no new connection is opened.
func TestLateReply(t *testing.T) {
	is := is.New(t)
	unblock := make(chan struct{})
	hs := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, hr *http.Request) {
		var rq wire.ShardRequest
		if hr.URL.Path == wire.RouteShardSearch {
			_ = json.NewDecoder(hr.Body).Decode(&rq)
		}
		if rq.ID == "late" {
			<-unblock
		}
		_ = json.NewEncoder(rw).Encode(wire.ShardReply{ID: rq.ID})
	}))
	defer hs.Close()
	sv := upst.New(upst.Config{Addr: hs.Listener.Addr().String(), MaxConns: 1})
	defer sv.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := sv.Search(ctx, request("late"))
	checkError(is, err, upst.KindTimeout, true)
	close(unblock)
	ctx, cancel = context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	rp, err := sv.Search(ctx, request("next"))
	is.NoErr(err)
	is.Equal(rp.ID, "next")
	counts := map[string]int64{}
	sv.ReportEvents(func(reason string, n int64) { counts[reason] += n })
	is.Equal(counts["opened"], int64(1))
	is.Equal(counts["late"], int64(1))
}

// When the limit falls, idle connections over it are closed at once, and the rest stay usable.
func TestSetLimit(t *testing.T) {
	fx := newFixture(t, emul.UpstreamConfig{Slots: 8}, upst.Config{MaxConns: 4, MinConns: 4})
	fx.until("four are open", func() bool {
		fx.fc.advance(time.Second)
		fx.sv.MaintainOnce(true)
		return fx.sv.Open() == 4
	})
	fx.sv.SetLimit(1)
	fx.is.Equal(fx.sv.Open(), 1)
	fx.is.Equal(fx.sv.Limit(), 1)
	fx.is.NoErr(fx.search("a", waitTimeout))
	fx.sv.SetLimit(2)
	fx.until("two are open", func() bool {
		fx.fc.advance(time.Second)
		fx.sv.MaintainOnce(true)
		return fx.sv.Open() == 2
	})
}

// After a restart of the server without searches, MaintainOnce detects the closed connection and
// opens another before the next search needs one.
func TestRefillAfterRestart(t *testing.T) {
	fx := newFixture(t, emul.UpstreamConfig{}, upst.Config{MaxConns: 2})
	fx.is.True(fx.sv.MaintainOnce(true))
	fx.until("one is open", func() bool { return fx.sv.Open() == 1 })
	fx.up.Crash()
	fx.is.NoErr(fx.up.Restart(wire.UpstreamServing))
	fx.fc.advance(time.Second)
	fx.is.True(fx.sv.MaintainOnce(true))
	fx.until("one is open again", func() bool { return fx.sv.Open() == 1 })
	fx.is.True(!fx.sv.MaintainOnce(true)) // no more are needed
}
