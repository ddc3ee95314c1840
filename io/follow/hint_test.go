package follow_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/mirror"
	"laburnumvane/io/inner"
)

// A caller's request crashes servers, and some milliseconds later the caller repeats it at
// another VM, which must know of it by then. So a VM that waits for updates is answered at once
// with the hint, only once, and a VM that does not accept hints is not disturbed.
func TestHintIsPassedOnAtOnce(t *testing.T) {
	const wait = 5 * time.Second
	for _, tc := range []struct {
		name              string
		accepts, answered bool
	}{
		{"to one that waits", true, true},
		{"not to one that has it", true, false},
		{"not to one that accepts none", false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			fo, end := startWithCopy(t, 1)
			defer end()
			rq := &inner.FollowRequest{After: 1, WaitMs: uint32(wait.Milliseconds()), TakesHints: tc.accepts}
			if tc.accepts && !tc.answered {
				rq.HintsSeen = 1
			}
			done := make(chan *inner.FollowReply, 1)
			go func() {
				rp, err := fo.Follow(t.Context(), rq)
				is.NoErr(err)
				done <- rp
			}()
			time.Sleep(50 * time.Millisecond)
			sent := time.Now()
			_, err := fo.Follow(t.Context(), &inner.FollowRequest{After: 1, Hints: [][]byte{[]byte("a")}})
			is.NoErr(err)
			if !tc.answered {
				select {
				case <-done:
					t.Fatal("answered without an update")
				case <-time.After(100 * time.Millisecond):
				}
				return
			}
			rp := <-done
			is.Equal(rp.GetHints(), [][]byte{[]byte("a")})
			is.Equal(rp.GetHintsUpto(), uint64(1))
			is.True(time.Since(sent) < mirror.StaleAfter/2)
		})
	}
}

// The same hint comes from two VMs that follow this one. It is accepted once.
func TestHintIsAcceptedOnce(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var hints []string
	cfg := config("10.0.0.1:7000", &fullStore{update: mirror.Update{Full: true, AsOf: 1, Events: entries(1)}})
	cfg.OnHint = func(hint string) {
		mu.Lock()
		defer mu.Unlock()
		hints = append(hints, hint)
	}
	fo, end := start(t, cfg)
	defer end()
	for range 2 {
		_, err := fo.Follow(t.Context(), &inner.FollowRequest{After: 1, AgeMs: 1, Hints: [][]byte{[]byte("a"), []byte("b")}})
		is.NoErr(err)
	}
	fo.SendHint(t.Context(), "b")
	mu.Lock()
	defer mu.Unlock()
	is.Equal(hints, []string{"a", "b"})
}
