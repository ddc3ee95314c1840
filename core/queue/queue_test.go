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
			var qu queue.Queue[string]
			for _, pu := range tc.pushes {
				qu.Push(pu.priority, pu.value)
			}
			is.Equal(qu.Len(), len(tc.pushes))
			for _, want := range tc.want {
				got, ok := qu.Pop()
				is.True(ok)
				is.Equal(got, want)
			}
			_, ok := qu.Pop()
			is.True(!ok)
		})
	}
}

func TestRemoveAndDrain(t *testing.T) {
	is := is.New(t)
	var qu queue.Queue[string]
	for _, value := range []string{"a", "b", "c"} {
		qu.Push(0, value)
	}
	is.True(qu.Remove("b"))
	is.True(!qu.Remove("b"))
	is.Equal(qu.Drain(), []string{"a", "c"})
	is.Equal(qu.Len(), 0)
}
