package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/fanout"
)

// Hedges for shards that a response can do without took the last tokens, and a gather failed for the
// shard that it needed.
func TestTokensAreKeptForNeededAttempts(t *testing.T) {
	is := is.New(t)
	bs := newBudgets()
	bs.set(ExtraAttempts{Share: 0.2, Burst: 60, Window: 10 * time.Second, Part: 1.0 / 6})
	const now = time.Second
	spent := func(need fanout.Need) (n int) {
		for bs.spend(now, "s", need) {
			n++
		}
		return n
	}
	// A VM starts with three tokens of a depth of six.
	bs.forService(now, "s").neededAt.Store(int64(now))
	is.Equal(spent(fanout.NeedNone), 1)
	is.Equal(spent(fanout.NeedTarget), 1)
	is.Equal(spent(fanout.NeedAnswer), 1)
	// A budget with a single token has none to keep.
	bs.set(ExtraAttempts{Share: 1, Burst: 6, Window: 10 * time.Second, Part: 1.0 / 6})
	for range 3 {
		bs.earn(now, "s")
	}
	is.Equal(spent(fanout.NeedNone), 1)
}

// Without requests that needed a retry, hedges had fewer tokens than before and requests were late.
func TestNoTokensAreKeptWithoutNeed(t *testing.T) {
	is := is.New(t)
	bs := newBudgets()
	bs.set(ExtraAttempts{Share: 0.2, Burst: 60, Window: 10 * time.Second, Part: 1.0 / 6})
	for range 3 {
		is.True(bs.spend(time.Second, "s", fanout.NeedNone))
	}
	is.True(!bs.spend(time.Second, "s", fanout.NeedAnswer))
}
