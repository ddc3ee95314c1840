package drive_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/team"
	"laburnumvane/io/meter"
	"laburnumvane/io/upst"
	"laburnumvane/io/wire"
)

// One of four shards fails in various ways. The search must be partial, with a reason and a metric
// that name the failure.
func TestOneShardFails(t *testing.T) {
	cases := []struct {
		name     string
		answer   func(rq wire.ShardRequest) (wire.ShardReply, error)
		once     bool
		answered int
		reason   string
		family   string
		counted  string
	}{
		{
			name: "reply with another id",
			answer: func(rq wire.ShardRequest) (wire.ShardReply, error) {
				rp := reply(rq, shards)
				rp.ID = "1.999.0"
				return rp, nil
			},
			answered: 3, reason: "foreignReply", family: meter.Dropped, counted: "foreign",
		},
		{
			name: "connection silent",
			answer: func(wire.ShardRequest) (wire.ShardReply, error) {
				return wire.ShardReply{}, &upst.Error{Kind: upst.KindSilent, Sent: true}
			},
			answered: 3, reason: "silent", family: meter.Upstream, counted: "silent",
		},
		{
			name: "no connection",
			answer: func(wire.ShardRequest) (wire.ShardReply, error) {
				return wire.ShardReply{}, &upst.Error{Kind: upst.KindBackoff}
			},
			answered: 3, reason: "backoff", family: meter.Upstream, counted: "backoff",
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			up := &upstream{answer: func(rq wire.ShardRequest) (wire.ShardReply, error) {
				if rq.Shard == 2 {
					return tc.answer(rq)
				}
				return reply(rq, shards), nil
			}}
			se := team.Search{HardDeadlineMs: testTimeout.Milliseconds(), HitLimit: 5}
			fx := newFixture(t, fixtureConfig{shards: shards, workers: 64, up: up, search: se})
			an := fx.dr.Search(context.Background(), searchRequest())
			is.Equal(an.Outcome, wire.OutcomePartial)
			is.Equal(an.Coverage.Answered, tc.answered)
			is.Equal(an.Reason, tc.reason)
			is.True(fx.mt.Value(tc.family, tc.counted) >= 1)
		})
	}
}

// A shard's reply comes after the search was answered at its deadline. The reply must be dropped
// and counted, and its sub-request must have been cancelled by its id.
func TestReplyAfterAnswer(t *testing.T) {
	is := is.New(t)
	unblock := make(chan struct{})
	var mu sync.Mutex
	asked, cancelled := "", ""
	up := &upstream{
		answer: func(rq wire.ShardRequest) (wire.ShardReply, error) {
			if rq.Shard == 2 {
				mu.Lock()
				asked = rq.ID
				mu.Unlock()
				<-unblock
			}
			return reply(rq, shards), nil
		},
		cancel: func(id string) {
			mu.Lock()
			defer mu.Unlock()
			cancelled = id
		},
	}
	se := team.Search{HardDeadlineMs: 50, HitLimit: 5}
	fx := newFixture(t, fixtureConfig{shards: shards, workers: 64, up: up, search: se})
	an := fx.dr.Search(context.Background(), searchRequest())
	is.Equal(an.Outcome, wire.OutcomePartial)
	is.Equal(an.Coverage.Answered, 3)
	close(unblock)
	fx.dr.Wait()
	is.Equal(fx.mt.Value(meter.Dropped, "afterAnswer"), int64(1))
	mu.Lock()
	defer mu.Unlock()
	is.True(asked != "")
	is.Equal(cancelled, asked)
}

// All workers are busy, so that nothing is sent. The outcome must be notRun, with which the caller
// may try again at once on another VM.
func TestNoWorker(t *testing.T) {
	is := is.New(t)
	blocked := make(chan struct{})
	defer close(blocked)
	up := &upstream{answer: func(rq wire.ShardRequest) (wire.ShardReply, error) { return reply(rq, shards), nil }}
	fx := newFixture(t, fixtureConfig{shards: shards, workers: 1, up: up, search: kiosk()})
	is.NoErr(fx.workers.Submit(func() { <-blocked }))
	an := fx.dr.Search(context.Background(), searchRequest())
	is.Equal(an.Outcome, wire.OutcomeNotRun)
	is.True(fx.mt.Value(meter.Upstream, "workers") >= shards)
	is.Equal(an.Coverage.Answered, 0)
}

// Many searches run concurrently while their callers disconnect at various moments. Each caller
// must get its own answer or none, and no search may remain in flight.
func TestCallersLeave(t *testing.T) {
	is := is.New(t)
	up := &upstream{answer: func(rq wire.ShardRequest) (wire.ShardReply, error) { return reply(rq, shards), nil }}
	fx := newFixture(t, fixtureConfig{shards: shards, workers: 256, up: up, search: kiosk()})
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i)*10*time.Microsecond)
			defer cancel()
			an := fx.dr.Search(ctx, searchRequest())
			if an.Outcome == wire.OutcomeComplete && len(an.Hits) != shards {
				t.Errorf("%d hits", len(an.Hits))
			}
		}()
	}
	wg.Wait()
	fx.dr.Wait()
	is.Equal(fx.dr.InFlight(), 0)
}
