package ticket

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A caller gets "not run" and retries with the same ticket forever. The auxiliary lists of the
// table must not grow with each retry.
func TestReleasedTicketsAreRemoved(t *testing.T) {
	is := is.New(t)
	tb := New[string](Config{Addr: "vm1", Incarnation: 1, Secret: []byte("s"), TTL: time.Hour, Cap: 8})
	token := tb.Issue(0, "wash")
	for range 10_000 {
		tb.Release(tb.Begin(0, token, "wash", 1).Number)
	}
	is.Equal(tb.Len(), 0)
	is.True(len(tb.byExpiry) <= listSlack+2)
}

// Many tickets are used shortly before their expiry, after one that is kept for long.
func TestFinishedListIsBounded(t *testing.T) {
	is := is.New(t)
	tb := New[string](Config{Addr: "vm1", Incarnation: 1, Secret: []byte("s"), TTL: time.Hour, Cap: 8})
	long := tb.Begin(0, tb.Issue(time.Hour, "wash"), "wash", 1)
	tb.Finish(long.Number, "found", 5)
	for now := time.Duration(0); now < 50*time.Minute; now += time.Second {
		token := tb.Issue(now-time.Hour+time.Second, "wash")
		vd := tb.Begin(now, token, "wash", 1)
		is.Equal(vd.Kind, VerdictRun)
		tb.Finish(vd.Number, "found", 5)
	}
	is.True(tb.Len() <= 3)
	is.True(tb.Bytes() <= 15)
	is.True(len(tb.finished) <= listSlack+8)
	is.True(len(tb.byExpiry) <= listSlack+8)
}
