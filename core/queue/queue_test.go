package queue_test

import (
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/queue"
)

type push struct {
	priority int
	value    string
}

func TestOrder(t *testing.T) {
	cases := []struct {
		name   string
		pushes []push
		want   []string
	}{
		{"empty", nil, nil},
		{"newest first", []push{{1, "a"}, {1, "b"}, {1, "c"}}, []string{"c", "b", "a"}},
		{"priority before age", []push{{1, "a"}, {2, "b"}, {1, "c"}, {2, "d"}}, []string{"c", "a", "d", "b"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var li queue.Queue[string]
			for _, pu := range tc.pushes {
				li.Push(pu.priority, pu.value)
			}
			is.Equal(li.Len(), len(tc.pushes))
			for _, want := range tc.want {
				got, ok := li.Pop()
				is.True(ok)
				is.Equal(got, want)
			}
			_, ok := li.Pop()
			is.True(!ok)
		})
	}
}

func TestRemoveAndDrain(t *testing.T) {
	is := is.New(t)
	var li queue.Queue[string]
	for _, value := range []string{"a", "b", "c"} {
		li.Push(0, value)
	}
	is.True(li.Remove("b"))
	is.True(!li.Remove("b"))
	is.Equal(li.Drain(), []string{"a", "c"})
	is.Equal(li.Len(), 0)
}
