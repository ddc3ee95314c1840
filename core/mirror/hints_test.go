package mirror_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/mirror"
)

// Guards against hints that circulate forever between VMs that follow each other: each VM
// passes a hint on once.
func TestHintIsPassedOnOnce(t *testing.T) {
	is := is.New(t)
	var hi mirror.Hints
	is.True(hi.Add(0, "a"))
	is.True(!hi.Add(time.Second, "a"))
	texts, upto := hi.Since(time.Second, 0)
	is.Equal(texts, []string{"a"})
	is.True(hi.Add(time.Second, "b"))
	texts, upto = hi.Since(time.Second, upto)
	is.Equal(texts, []string{"b"})
	texts, _ = hi.Since(time.Second, upto)
	is.Equal(len(texts), 0)
	// A number from before a restart.
	texts, _ = hi.Since(time.Second, upto+100)
	is.Equal(texts, []string{"a", "b"})
	texts, _ = hi.Since(5500*time.Millisecond, 0)
	is.Equal(texts, []string{"b"})
	is.True(hi.Add(5500*time.Millisecond, "a"))
}

func TestHintsAreBounded(t *testing.T) {
	is := is.New(t)
	var hi mirror.Hints
	accepted := 0
	for n := range 1000 {
		if hi.Add(0, fmt.Sprint(n)) {
			accepted++
		}
	}
	texts, _ := hi.Since(0, 0)
	is.Equal(accepted, 64)
	is.Equal(len(texts), 64)
}
