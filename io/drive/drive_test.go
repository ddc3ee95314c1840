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

// What the caller of one search over four shards is told, by what happened to
// the sub-request of shard 2.
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
			name: "another's reply",
			answer: func(rq wire.ShardRequest) (wire.ShardReply, error) {
				rp := reply(rq, shards)
				rp.ID = "1.999.0"
				return rp, nil
			},
			answered: 3, reason: "foreignReply", family: meter.Dropped, counted: "foreign",
		},
		{
			name: "its connection went silent",
			answer: func(wire.ShardRequest) (wire.ShardReply, error) {
				return wire.ShardReply{}, &upst.Error{Kind: upst.KindSilent, Sent: true}
			},
			answered: 3, reason: "silent", family: meter.Upstream, counted: "silent",
		},
		{
			name: "no connection could be had",
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
			se := team.Search{HardDeadlineMs: patience.Milliseconds(), HitLimit: 5}
			ri := newRig(t, rigConfig{shards: shards, workers: 64, up: up, search: se})
			an := ri.dr.Search(context.Background(), searchRequest())
			is.Equal(an.Outcome, wire.OutcomePartial)
			is.Equal(an.Coverage.Answered, tc.answered)
			is.Equal(an.Reason, tc.reason)
			is.True(ri.mt.Value(tc.family, tc.counted) >= 1)
		})
	}
}

// A shard's reply comes after the answer has gone out at the deadline. It is
// dropped and counted, and its sub-request was given up by name.
func TestReplyAfterAnswer(t *testing.T) {
	is := is.New(t)
	free := make(chan struct{})
	var mu sync.Mutex
	asked, cancelled := "", ""
	up := &upstream{
		answer: func(rq wire.ShardRequest) (wire.ShardReply, error) {
			if rq.Shard == 2 {
				mu.Lock()
				asked = rq.ID
				mu.Unlock()
				<-free
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
	ri := newRig(t, rigConfig{shards: shards, workers: 64, up: up, search: se})
	an := ri.dr.Search(context.Background(), searchRequest())
	is.Equal(an.Outcome, wire.OutcomePartial)
	is.Equal(an.Coverage.Answered, 3)
	close(free)
	ri.dr.Wait()
	is.Equal(ri.mt.Value(meter.Dropped, "afterAnswer"), int64(1))
	mu.Lock()
	defer mu.Unlock()
	is.True(asked != "")
	is.Equal(cancelled, asked)
}

// All workers are busy: nothing was sent, and the caller may try again at once
// elsewhere.
func TestNoWorker(t *testing.T) {
	is := is.New(t)
	blocked := make(chan struct{})
	defer close(blocked)
	up := &upstream{answer: func(rq wire.ShardRequest) (wire.ShardReply, error) { return reply(rq, shards), nil }}
	ri := newRig(t, rigConfig{shards: shards, workers: 1, up: up, search: kiosk()})
	is.NoErr(ri.workers.Submit(func() { <-blocked }))
	an := ri.dr.Search(context.Background(), searchRequest())
	is.Equal(an.Outcome, wire.OutcomeNotRun)
	is.True(ri.mt.Value(meter.Upstream, "workers") >= shards)
	is.Equal(an.Coverage.Answered, 0)
}

// Many searches run at once while their callers leave at random moments: each
// gets its own answer or none, and nothing is left over.
func TestCallersLeave(t *testing.T) {
	is := is.New(t)
	up := &upstream{answer: func(rq wire.ShardRequest) (wire.ShardReply, error) { return reply(rq, shards), nil }}
	ri := newRig(t, rigConfig{shards: shards, workers: 256, up: up, search: kiosk()})
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i)*10*time.Microsecond)
			defer cancel()
			an := ri.dr.Search(ctx, searchRequest())
			if an.Outcome == wire.OutcomeComplete && len(an.Hits) != shards {
				t.Errorf("%d hits", len(an.Hits))
			}
		}()
	}
	wg.Wait()
	ri.dr.Wait()
	is.Equal(ri.dr.InFlight(), 0)
}
