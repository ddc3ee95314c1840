package drive_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/share"
	"laburnumvane/core/team"
	"laburnumvane/io/meter"
	"laburnumvane/io/wire"
)

// blockingUpstream answers only once unblock is closed, and counts the sub-requests.
type blockingUpstream struct {
	sent    atomic.Int64
	unblock chan struct{}
}

func (bu *blockingUpstream) upstream(shards int) *upstream {
	return &upstream{answer: func(rq wire.ShardRequest) (wire.ShardReply, error) {
		bu.sent.Add(1)
		<-bu.unblock
		return reply(rq, shards), nil
	}}
}

func searchOfClass(cl team.Class, deadline time.Duration) team.Search {
	se := kiosk()
	se.Class = cl
	se.HardDeadlineMs = deadline.Milliseconds()
	se.Hedge = team.Hedge{}
	return se
}

// Searches of the lowest class fill the servers' capacity. Each further search waits until too
// little time is left before its deadline, or is refused at once. It must get notRun with a reason
// and a retry time, and none of its sub-requests may be sent: admission is decided before the first
// of them.
func TestRefusedSearchDidNotRun(t *testing.T) {
	is := is.New(t)
	const shards = 10
	bu := &blockingUpstream{unblock: make(chan struct{})}
	fx := newFixture(t, fixtureConfig{shards: shards, workers: 4096, up: bu.upstream(shards), search: searchOfClass(team.ClassBatch, 300*time.Millisecond)})
	var wg sync.WaitGroup
	answers := make(chan wire.SearchAnswer, 200)
	for range cap(answers) {
		wg.Go(func() { answers <- fx.dr.Search(context.Background(), searchRequest()) })
	}
	wg.Wait()
	close(answers)
	refused := 0
	for an := range answers {
		if an.Outcome == wire.OutcomeNotRun {
			refused++
			is.True(an.Reason != "")
			is.True(an.RetryAfterMs > 0)
			is.Equal(an.Work, wire.Work{})
		}
	}
	ran := cap(answers) - refused
	is.True(refused > 0)
	is.Equal(int(bu.sent.Load()), ran*shards) // none of a refused search
	is.Equal(fx.dr.Waiting(), 0)
	close(bu.unblock)
	fx.dr.Wait()
}

// Batch searches fill their class's share of the capacity, and more of them are queued. An urgent
// search must be answered meanwhile: its class may use more of the capacity and has precedence in
// the queue.
func TestUrgentPassesBatch(t *testing.T) {
	is := is.New(t)
	const shards = 10
	bu := &blockingUpstream{unblock: make(chan struct{})}
	up := bu.upstream(shards)
	slow := up.answer
	up.answer = func(rq wire.ShardRequest) (wire.ShardReply, error) {
		if string(rq.Query) == `"urgent"` {
			return reply(rq, shards), nil
		}
		return slow(rq)
	}
	fx := newFixture(t, fixtureConfig{shards: shards, workers: 4096, up: up, search: searchOfClass(team.ClassBatch, testTimeout), moreSearches: map[string]team.Search{"u": searchOfClass(team.ClassUrgent, testTimeout)}})
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() { fx.dr.Search(context.Background(), searchRequest()) })
	}
	for fx.dr.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	rq := searchRequest()
	rq.Search, rq.Query = "u", []byte(`"urgent"`)
	is.Equal(fx.dr.Search(context.Background(), rq).Outcome, wire.OutcomeComplete)
	close(bu.unblock)
	wg.Wait()
	is.Equal(fx.dr.Waiting(), 0)
}

// The team's bucket is empty. The search must get notRun with the reason teamRate and a retry time,
// and be neither queued nor sent.
func TestTeamLimit(t *testing.T) {
	is := is.New(t)
	const shards = 10
	up := &upstream{answer: func(rq wire.ShardRequest) (wire.ShardReply, error) { return reply(rq, shards), nil }}
	mc := share.New(share.Config{Self: share.VM{Addr: "a"}})
	mc.Members(0, nil)
	bucket := mc.Limit(0, teamName, share.Limit{Rate: 0.001})
	fx := newFixture(t, fixtureConfig{shards: shards, workers: 100, up: up, search: kiosk(), bucket: func(string) *share.Bucket { return bucket }})
	is.Equal(fx.dr.Search(context.Background(), searchRequest()).Outcome, wire.OutcomeComplete)
	an := fx.dr.Search(context.Background(), searchRequest())
	is.Equal(an.Outcome, wire.OutcomeNotRun)
	is.Equal(an.Reason, string(share.ReasonRate))
	is.True(an.RetryAfterMs >= 1000)
	is.Equal(fx.mt.Value(meter.Refusal, string(share.ReasonRate)), int64(1))
	is.Equal(bucket.InFlight(), 0)
}

// Callers disconnect while their searches are queued. Their places in the queue and in the team's
// limit must become free again.
func TestCallerGoneWhileWaiting(t *testing.T) {
	is := is.New(t)
	const shards = 10
	bu := &blockingUpstream{unblock: make(chan struct{})}
	mc := share.New(share.Config{Self: share.VM{Addr: "a"}})
	mc.Members(0, nil)
	bucket := mc.Limit(0, teamName, share.Limit{Concurrent: 1000})
	fx := newFixture(t, fixtureConfig{shards: shards, workers: 4096, up: bu.upstream(shards), search: searchOfClass(team.ClassBatch, testTimeout), bucket: func(string) *share.Bucket { return bucket }})
	var wg sync.WaitGroup
	ctx, leave := context.WithCancel(context.Background())
	for range 100 {
		wg.Go(func() { fx.dr.Search(ctx, searchRequest()) })
	}
	for fx.dr.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	leave()
	close(bu.unblock)
	wg.Wait()
	is.Equal(fx.dr.Waiting(), 0)
	is.Equal(bucket.InFlight(), 0)
	is.Equal(fx.dr.Search(context.Background(), searchRequest()).Outcome, wire.OutcomeComplete)
}
