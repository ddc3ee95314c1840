package follow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/mirror"
	"laburnumvane/io/inner"
)

// The followed VM proves that its data centre is cut off. VMs that wait for its updates must
// learn of it at once. A VM that knows must not be answered again and again, or it would call as
// fast as the answers come.
func TestFollowersLearnOfACut(t *testing.T) {
	cases := []struct {
		name  string
		knows bool
	}{
		{"not known yet", false},
		{"known before", true},
	}
	// wait is the maximum time that a follower waits for an update.
	const wait = 5 * time.Second
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			fo, end := startWithCopy(t, 1)
			defer end()
			// The copy is current, so only the cut is a reason to answer.
			rq := &inner.FollowRequest{After: 1, WaitMs: uint32(wait.Milliseconds()), CutKnown: tc.knows}
			done := make(chan *inner.FollowReply, 1)
			go func() {
				rp, err := fo.Follow(t.Context(), rq)
				is.NoErr(err)
				done <- rp
			}()
			select {
			case <-done:
				t.Fatal("answered without an update")
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
			reported := time.Now()
			is.True((<-done).GetCutOff())
			is.True(time.Since(reported) < mirror.StaleAfter/2) // before its copy becomes stale
		})
	}
}

// A VM that has proof of a cut reports it to the VM that it follows.
func TestFollowedVMLearnsOfACut(t *testing.T) {
	is := is.New(t)
	fo, end := startWithCopy(t, 1)
	defer end()
	is.True(!fo.CutReported())
	_, err := fo.Follow(t.Context(), &inner.FollowRequest{After: 1, AgeMs: 1, CutOff: true, CutKnown: true})
	is.NoErr(err)
	is.True(fo.CutReported())
}

// The VM from which this VM has its updates asks it for updates. It must be told at once that
// these are its own, instead of waiting here while no VM asks the store.
func TestOwnUpdateIsReportedAtOnce(t *testing.T) {
	is := is.New(t)
	first, end := startWithCopy(t, 1)
	defer end()
	began := time.Now()
	rp, err := first.Follow(t.Context(), &inner.FollowRequest{After: 1, WaitMs: 5000, From: "10.0.0.1:7000"})
	is.NoErr(err)
	is.Equal(rp.GetOrigin(), "10.0.0.1:7000")
	is.Equal(rp.GetFollows(), "")
	is.True(time.Since(began) < mirror.StaleAfter/2)
}

// A VM that follows this one has proof that their data centre is cut off, and reports it.
// Another follower must learn of it at once. When it learned of it only after this VM had its
// own proof, one more wait for a sign of life passed, and clients were refused meanwhile.
func TestCutReportIsPassedOn(t *testing.T) {
	is := is.New(t)
	fo, end := startWithCopy(t, 1)
	defer end()
	const wait = 5 * time.Second
	done := make(chan *inner.FollowReply, 1)
	go func() {
		rp, err := fo.Follow(t.Context(), &inner.FollowRequest{After: 1, WaitMs: uint32(wait.Milliseconds()), From: "10.0.0.2:7000"})
		is.NoErr(err)
		done <- rp
	}()
	time.Sleep(50 * time.Millisecond)
	reported := time.Now()
	_, err := fo.Follow(t.Context(), &inner.FollowRequest{After: 1, AgeMs: 1, CutOff: true, CutKnown: true, From: "10.0.0.3:7000"})
	is.NoErr(err)
	is.True((<-done).GetCutOff())
	is.True(time.Since(reported) < mirror.StaleAfter/2)
}
