package feed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/feed"
)

// A word goes round between VMs that follow each other. Each passes it on once; else it
// would go round for ever.
func TestHintIsPassedOnOnce(t *testing.T) {
	is := is.New(t)
	var hi feed.Hints
	is.True(hi.Add(0, "a"))
	is.True(!hi.Add(time.Second, "a"))
	words, upto := hi.Since(time.Second, 0)
	is.Equal(words, []string{"a"})
	is.True(hi.Add(time.Second, "b"))
	words, upto = hi.Since(time.Second, upto)
	is.Equal(words, []string{"b"})
	words, _ = hi.Since(time.Second, upto)
	is.Equal(len(words), 0)
	// The number of a former life.
	words, _ = hi.Since(time.Second, upto+100)
	is.Equal(words, []string{"a", "b"})
	words, _ = hi.Since(5500*time.Millisecond, 0)
	is.Equal(words, []string{"b"})
	is.True(hi.Add(5500*time.Millisecond, "a"))
}

func TestHintsAreBounded(t *testing.T) {
	is := is.New(t)
	var hi feed.Hints
	passed := 0
	for n := range 1000 {
		if hi.Add(0, fmt.Sprint(n)) {
			passed++
		}
	}
	words, _ := hi.Since(0, 0)
	is.Equal(passed, 64)
	is.Equal(len(words), 64)
}
