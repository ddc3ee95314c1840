package follow_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/mirror"
	"laburnumvane/io/follow"
)

// lateUpdateAge is longer than the age at which another source of updates is chosen.
const lateUpdateAge = mirror.StaleAfter + 200*time.Millisecond

var errUnavailable = errors.New("unavailable")

// store answers a watch late, either after failed calls or without any.
type store struct {
	fails bool
	// began is when the first watch came. The copy was read by then, and its age counts from
	// there.
	began time.Time
}

func (st *store) Range(context.Context, string) (mirror.Update, error) {
	return mirror.Update{Full: true, AsOf: 1, Events: []mirror.Event{{Item: mirror.Item{Key: "a", Revision: 1}}}}, nil
}

func (st *store) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) (mirror.Update, error) {
	if st.began.IsZero() {
		st.began = time.Now()
	}
	if after > 1 {
		<-ctx.Done()
		return mirror.Update{}, ctx.Err()
	}
	late := time.Until(st.began.Add(lateUpdateAge))
	if st.fails && late > 0 {
		time.Sleep(min(late, 100*time.Millisecond))
		return mirror.Update{}, errUnavailable
	}
	time.Sleep(late)
	return mirror.Update{AsOf: 2, Events: []mirror.Event{{Item: mirror.Item{Key: "a", Revision: 2}, Removed: true}}}, nil
}

func (st *store) Reset()               {}
func (st *store) Compacted(error) bool { return false }

// An entry is removed, and this VM learns of it two seconds late. If the store was unavailable,
// the entry's lease may have expired although its server is alive, so the VM waits for it. If
// only the update was late, the server has left and must get no more requests.
func TestLateNewsIsNoReturnOfTheStore(t *testing.T) {
	cases := []struct {
		name     string
		fails    bool
		returned bool
	}{
		{"update was late", false, false},
		{"store was unavailable", true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			changes := make(chan follow.Change, 8)
			cfg := config("self", &store{fails: tc.fails})
			cfg.OnChange = func(ch follow.Change) { changes <- ch }
			_, end := start(t, cfg)
			defer end()
			is.True((<-changes).Whole)
			ch := <-changes
			is.Equal(len(ch.Events), 1)
			is.True(ch.Age >= lateUpdateAge)
			is.Equal(ch.Returned > 0, tc.returned)
		})
	}
}
