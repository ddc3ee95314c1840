package follow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/feed"
	"laburnumvane/io/inner"
)

// The VM that is followed proves that its data centre is cut off. Those that wait for its
// news must hear of it at once, and one that knows must not be answered again and again:
// it would ask as fast as the answers come.
func TestFollowersHearOfACut(t *testing.T) {
	cases := []struct {
		name  string
		knows bool
	}{
		{"not told yet", false},
		{"told before", true},
	}
	// wait is the most that a follower waits for news.
	const wait = 5 * time.Second
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			fo, end := running(t, 1)
			defer end()
			// The news is current, so that only the cut is a reason to answer.
			rq := &inner.FollowRequest{After: 1, WaitMs: uint32(wait.Milliseconds()), CutKnown: tc.knows}
			done := make(chan *inner.FollowReply, 1)
			go func() {
				rp, err := fo.Follow(t.Context(), rq)
				is.NoErr(err)
				done <- rp
			}()
			select {
			case <-done:
				t.Fatal("answered without news")
			case <-time.After(100 * time.Millisecond):
			}
			fo.SetCut(true)
			if tc.knows {
				select {
				case <-done:
					t.Fatal("answered again")
				case <-time.After(100 * time.Millisecond):
				}
				return
			}
			told := time.Now()
			is.True((<-done).GetCutOff())
			is.True(time.Since(told) < feed.StaleAfter/2) // not only when its own news is old
		})
	}
}

// A VM that has proven the cut tells the one that it follows.
func TestFollowedVMIsTold(t *testing.T) {
	is := is.New(t)
	fo, end := running(t, 1)
	defer end()
	is.True(!fo.ToldCut())
	_, err := fo.Follow(t.Context(), &inner.FollowRequest{After: 1, AgeMs: 1, CutOff: true, CutKnown: true})
	is.NoErr(err)
	is.True(fo.ToldCut())
}

// The VM whose news this one has asks for news. It must hear at once that it is its own,
// and not wait here while nobody asks the store.
func TestOwnNewsIsToldAtOnce(t *testing.T) {
	is := is.New(t)
	first, end := running(t, 1)
	defer end()
	began := time.Now()
	rp, err := first.Follow(t.Context(), &inner.FollowRequest{After: 1, WaitMs: 5000, From: "10.0.0.1:7000"})
	is.NoErr(err)
	is.Equal(rp.GetOrigin(), "10.0.0.1:7000")
	is.Equal(rp.GetFollows(), "")
	is.True(time.Since(began) < feed.StaleAfter/2)
}

// A VM that follows this one has proven that their data centre is cut off, and tells it.
// Another follower must hear of it at once. When it heard only after this VM had its own
// proof, one more wait for a sign of life went by, and clients were refused meanwhile.
func TestWordOfACutIsPassedOn(t *testing.T) {
	is := is.New(t)
	fo, end := running(t, 1)
	defer end()
	const wait = 5 * time.Second
	done := make(chan *inner.FollowReply, 1)
	go func() {
		rp, err := fo.Follow(t.Context(), &inner.FollowRequest{After: 1, WaitMs: uint32(wait.Milliseconds()), From: "10.0.0.2:7000"})
		is.NoErr(err)
		done <- rp
	}()
	time.Sleep(50 * time.Millisecond)
	told := time.Now()
	_, err := fo.Follow(t.Context(), &inner.FollowRequest{After: 1, AgeMs: 1, CutOff: true, CutKnown: true, From: "10.0.0.3:7000"})
	is.NoErr(err)
	is.True((<-done).GetCutOff())
	is.True(time.Since(told) < feed.StaleAfter/2)
}
