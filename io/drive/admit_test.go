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

// held is an upstream that answers when told to, and counts what it was sent.
type held struct {
	sent atomic.Int64
	open chan struct{}
}

func (he *held) upstream(shards int) *upstream {
	return &upstream{answer: func(rq wire.ShardRequest) (wire.ShardReply, error) {
		he.sent.Add(1)
		<-he.open
		return reply(rq, shards), nil
	}}
}

func classed(cl team.Class, deadline time.Duration) team.Search {
	se := kiosk()
	se.Class = cl
	se.HardDeadlineMs = deadline.Milliseconds()
	se.Hedge = team.Hedge{}
	return se
}

// What the caller sees: notRun with a reason and a time to come back, at once.
// One search holds all the room there is; the next of the last class waits until
// its deadline leaves no time, or is refused; no byte of it is sent.
// Why: it is decided before the first sub-request.
func TestRefusedSearchDidNotRun(t *testing.T) {
	is := is.New(t)
	const shards = 10
	he := &held{open: make(chan struct{})}
	ri := newRig(t, rigConfig{shards: shards, workers: 4096, up: he.upstream(shards), search: classed(team.ClassBatch, 300*time.Millisecond)})
	var wg sync.WaitGroup
	answers := make(chan wire.SearchAnswer, 200)
	for range cap(answers) {
		wg.Go(func() { answers <- ri.dr.Search(context.Background(), searchRequest()) })
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
	is.Equal(int(he.sent.Load()), ran*shards) // not one of a refused search
	is.Equal(ri.dr.Waiting(), 0)
	close(he.open)
	ri.dr.Wait()
}

// What the caller sees: an urgent search is answered while batch searches fill
// their part of the room and more of them wait.
// Why: the upper class may fill more, and goes first.
func TestUrgentPassesBatch(t *testing.T) {
	is := is.New(t)
	const shards = 10
	he := &held{open: make(chan struct{})}
	up := he.upstream(shards)
	slow := up.answer
	up.answer = func(rq wire.ShardRequest) (wire.ShardReply, error) {
		if string(rq.Query) == `"urgent"` {
			return reply(rq, shards), nil
		}
		return slow(rq)
	}
	ri := newRig(t, rigConfig{shards: shards, workers: 4096, up: up, search: classed(team.ClassBatch, patience), more: map[string]team.Search{"u": classed(team.ClassUrgent, patience)}})
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() { ri.dr.Search(context.Background(), searchRequest()) })
	}
	for ri.dr.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	rq := searchRequest()
	rq.Search, rq.Query = "u", []byte(`"urgent"`)
	is.Equal(ri.dr.Search(context.Background(), rq).Outcome, wire.OutcomeComplete)
	close(he.open)
	wg.Wait()
	is.Equal(ri.dr.Waiting(), 0)
}

// What the caller sees: notRun, teamRate, and when to come back.
// The team's bucket is empty; the search is neither queued nor sent.
func TestTeamLimit(t *testing.T) {
	is := is.New(t)
	const shards = 10
	up := &upstream{answer: func(rq wire.ShardRequest) (wire.ShardReply, error) { return reply(rq, shards), nil }}
	mc := share.New(share.Config{Self: share.VM{Addr: "a"}})
	mc.Members(0, nil)
	bucket := mc.Limit(0, teamName, share.Limit{Rate: 0.001})
	ri := newRig(t, rigConfig{shards: shards, workers: 100, up: up, search: kiosk(), bucket: func(string) *share.Bucket { return bucket }})
	is.Equal(ri.dr.Search(context.Background(), searchRequest()).Outcome, wire.OutcomeComplete)
	an := ri.dr.Search(context.Background(), searchRequest())
	is.Equal(an.Outcome, wire.OutcomeNotRun)
	is.Equal(an.Reason, string(share.ReasonRate))
	is.True(an.RetryAfterMs >= 1000)
	is.Equal(ri.mt.Value(meter.Refusal, string(share.ReasonRate)), int64(1))
	is.Equal(bucket.InFlight(), 0)
}

// What the caller sees: nothing, it has gone; its place in the queue and its
// part of the team's limit are free again.
func TestCallerGoneWhileWaiting(t *testing.T) {
	is := is.New(t)
	const shards = 10
	he := &held{open: make(chan struct{})}
	mc := share.New(share.Config{Self: share.VM{Addr: "a"}})
	mc.Members(0, nil)
	bucket := mc.Limit(0, teamName, share.Limit{Concurrent: 1000})
	ri := newRig(t, rigConfig{shards: shards, workers: 4096, up: he.upstream(shards), search: classed(team.ClassBatch, patience), bucket: func(string) *share.Bucket { return bucket }})
	var wg sync.WaitGroup
	ctx, leave := context.WithCancel(context.Background())
	for range 100 {
		wg.Go(func() { ri.dr.Search(ctx, searchRequest()) })
	}
	for ri.dr.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	leave()
	close(he.open)
	wg.Wait()
	is.Equal(ri.dr.Waiting(), 0)
	is.Equal(bucket.InFlight(), 0)
	is.Equal(ri.dr.Search(context.Background(), searchRequest()).Outcome, wire.OutcomeComplete)
}
