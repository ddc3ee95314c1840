package follow_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/feed"
	"laburnumvane/io/inner"
)

// A caller's request crashes servers, and the caller is at another VM some milliseconds
// later. That VM must have heard by then: whoever waits for news is answered at once with
// the word, once only, and one that does not know of such words is not disturbed.
func TestHintIsPassedOnAtOnce(t *testing.T) {
	const wait = 5 * time.Second
	for _, tc := range []struct {
		name         string
		takes, heard bool
	}{
		{"to one that waits", true, true},
		{"not to one that heard", true, false},
		{"not to one that takes none", false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			fo, end := running(t, 1)
			defer end()
			rq := &inner.FollowRequest{After: 1, WaitMs: uint32(wait.Milliseconds()), TakesHints: tc.takes}
			if tc.takes && !tc.heard {
				rq.HintsSeen = 1
			}
			done := make(chan *inner.FollowReply, 1)
			go func() {
				rp, err := fo.Follow(t.Context(), rq)
				is.NoErr(err)
				done <- rp
			}()
			time.Sleep(50 * time.Millisecond)
			told := time.Now()
			_, err := fo.Follow(t.Context(), &inner.FollowRequest{After: 1, Hints: [][]byte{[]byte("a")}})
			is.NoErr(err)
			if !tc.heard {
				select {
				case <-done:
					t.Fatal("answered without news")
				case <-time.After(100 * time.Millisecond):
				}
				return
			}
			rp := <-done
			is.Equal(rp.GetHints(), [][]byte{[]byte("a")})
			is.Equal(rp.GetHintsUpto(), uint64(1))
			is.True(time.Since(told) < feed.StaleAfter/2)
		})
	}
}

// A word comes from a VM that follows this one, and again from another: it is taken once.
func TestHintIsTakenOnce(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var words []string
	cfg := config("10.0.0.1:7000", &full{update: feed.Update{Whole: true, AsOf: 1, Events: entries(1)}})
	cfg.Hinted = func(word string) {
		mu.Lock()
		defer mu.Unlock()
		words = append(words, word)
	}
	fo, end := start(t, cfg)
	defer end()
	for range 2 {
		_, err := fo.Follow(t.Context(), &inner.FollowRequest{After: 1, AgeMs: 1, Hints: [][]byte{[]byte("a"), []byte("b")}})
		is.NoErr(err)
	}
	fo.TellHint(t.Context(), "b")
	mu.Lock()
	defer mu.Unlock()
	is.Equal(words, []string{"a", "b"})
}
