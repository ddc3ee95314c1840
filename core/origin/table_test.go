package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/origin"
)

const linger = 2500 * time.Millisecond

func newTable() *origin.Table {
	return origin.NewTable(origin.Config{Linger: linger, Forget: time.Minute})
}

func up(id string, sequence uint64) *origin.Upstream {
	return &origin.Upstream{ID: id, Service: "s", Addr: id + ":1", DataCentre: "east", Sequence: sequence}
}

const second = time.Second

func cold(tb *origin.Table, id string, now time.Duration) bool {
	found, ok := tb.Directory().Find(id)
	return ok && found.Cold(now)
}

func takes(tb *origin.Table, id string) bool {
	found, ok := tb.Directory().Find(id)
	return ok && found.Takes()
}

// A server says that it is leaving. An entry that it wrote before arrives late,
// and then its entry ends and one more old one comes. If any of them brought it
// back, it would get requests until it exits, and those would be lost.
func TestLeavingStays(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	is.True(tb.Put(0, up("a", 4)))
	is.True(tb.Put(1, up("a", 5).WithLeaving()))
	is.True(!takes(tb, "a"))
	tb.Put(2, up("a", 4))
	is.True(!takes(tb, "a"))
	tb.Put(3, up("a", 9))
	is.True(!takes(tb, "a"))
	is.True(tb.Remove(4, "a"))
	tb.Put(5, up("a", 10))
	is.True(!takes(tb, "a"))
}

// A server's entry ends without a word: it may be leaving. Only a newer entry
// than the last one shows that it was merely cut off.
func TestLapsedComesBackWithNewerEntry(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	tb.Put(0, up("a", 4))
	is.True(tb.Remove(1, "a"))
	is.True(!takes(tb, "a"))
	is.True(!tb.Put(2, up("a", 4)))
	is.True(!takes(tb, "a"))
	is.True(tb.Put(3, up("a", 5)))
	is.True(takes(tb, "a"))
}

// The store is away for longer than entries live, and on its return they are all
// gone. Callers would be refused though every server is up. The entries come
// back within two seconds; what has not by then is gone.
func TestLapsedWhileStoreAway(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	tb.Put(0, up("a", 1))
	tb.Put(0, up("b", 1))
	tb.Put(0, up("c", 1).WithLeaving())
	tb.Suspect(10 * time.Second)
	is.True(!tb.Remove(10*time.Second, "a"))
	is.True(!tb.Remove(10*time.Second, "b"))
	is.True(tb.Remove(10*time.Second, "c"))
	is.Equal(tb.Lapsed(), 2)
	is.True(takes(tb, "a"))
	is.True(takes(tb, "b"))
	_, ok := tb.Directory().Find("c")
	is.True(!ok)
	tb.Put(11*time.Second, up("a", 2))
	is.True(!tb.Tick(12*time.Second, false))
	is.True(tb.Tick(10*time.Second+linger, false))
	is.True(takes(tb, "a"))
	is.True(!takes(tb, "b"))
	is.True(tb.Remove(20*time.Second, "a"))
}

func TestOlderEntryChangesNothing(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	tb.Put(0, up("a", 5))
	older := up("a", 4)
	older.Addr = "elsewhere:1"
	is.True(!tb.Put(1, older))
	found, _ := tb.Directory().Find("a")
	is.Equal(found.Addr, "a:1")
	is.True(!tb.Put(2, up("a", 5)))
}

func TestDirectory(t *testing.T) {
	is := is.New(t)
	dir := origin.New([]*origin.Upstream{up("a", 1), up("b", 1)})
	is.Equal(dir.Len(), 2)
	is.Equal(len(dir.Of("s")), 2)
	is.Equal(len(dir.Of("t")), 0)
	seen := 0
	dir.All(func(*origin.Upstream) { seen++ })
	is.Equal(seen, 2)
}

// A server leaves without a word: its entry is removed, while this VM's own news
// was late. Its news is late again, and again. The server must be given up within
// the first wait all the same; it gets requests that long at most.
func TestLateNewsKeepsNobodyAlive(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	tb.Put(0, up("a", 1))
	tb.Suspect(10 * time.Second)
	is.True(!tb.Remove(10*time.Second, "a"))
	tb.Suspect(11 * time.Second)
	tb.Suspect(12 * time.Second)
	is.True(tb.Tick(10*time.Second+linger, false))
	is.True(!takes(tb, "a"))
}

// The store goes away again before a server, whose entry had lapsed, could write
// it anew. That it is still missing proves nothing until the store was back for as
// long as a server needs.
func TestStoreAwayAgain(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	tb.Put(0, up("a", 1))
	tb.Suspect(10 * time.Second)
	is.True(!tb.Remove(10*time.Second, "a"))
	is.True(!tb.Tick(10*time.Second+linger, true))
	tb.Suspect(20 * time.Second)
	is.True(!tb.Tick(21*time.Second, false))
	is.True(takes(tb, "a"))
	is.True(tb.Tick(20*time.Second+linger, false))
	is.True(!takes(tb, "a"))
}

// A server starts again under its id, and its sequence starts anew. Callers see
// shards without a server if its entry is taken for an old one: after a crash
// (another address, a lower sequence), after it said that it was leaving, and after
// its entry had ended. What its former life wrote comes late, and must not put the
// new one out of service or bring the old address back.
func TestAnotherLife(t *testing.T) {
	born := func(at int64, sequence uint64) *origin.Upstream {
		one := up("a", sequence)
		one.Born = at
		one.Addr = fmt.Sprintf("a:%d", at)
		return one
	}
	cases := []struct {
		name   string
		before func(tb *origin.Table)
	}{
		{"crashed", func(*origin.Table) {}},
		{"left", func(tb *origin.Table) { tb.Put(1, born(1, 41).WithLeaving()) }},
		{"left and gone", func(tb *origin.Table) {
			tb.Put(1, born(1, 41).WithLeaving())
			tb.Remove(2, "a")
		}},
		{"lapsed", func(tb *origin.Table) { tb.Remove(1, "a") }},
		{"lapsed while the store was away", func(tb *origin.Table) {
			tb.Suspect(time.Second)
			tb.Remove(1, "a")
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb := newTable()
			tb.Put(0, born(1, 40))
			tc.before(tb)
			is.True(tb.Put(3, born(2, 1)))
			for _, late := range []*origin.Upstream{born(1, 50), born(1, 51).WithLeaving(), up("a", 60)} {
				is.True(!tb.Put(4, late))
				found, ok := tb.Directory().Find("a")
				is.True(ok && found.Takes())
				is.Equal(found.Addr, "a:2")
			}
			is.True(tb.Directory().Has(born(2, 9).Process()))
			is.True(!tb.Directory().Has(born(1, 9).Process()))
			is.True(!tb.Tick(10*time.Second, false)) // it does not end with the former life
			is.True(takes(tb, "a"))
			is.True(tb.Put(5, born(2, 2).WithLeaving()))
			is.True(!takes(tb, "a"))
		})
	}
}

// Somebody else writes what no server writes under a server's key. Nothing is sent
// there until the server has written again; also while the store was away, for this
// entry did not lapse by itself. Other servers are not touched.
func TestRejected(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	tb.Put(0, up("a", 4))
	tb.Put(0, up("b", 4))
	tb.Suspect(time.Second)
	is.True(tb.Reject(1, "a"))
	is.True(!takes(tb, "a"))
	is.True(takes(tb, "b"))
	is.True(!tb.Reject(2, "a"))
	is.True(!tb.Reject(2, "unknown"))
	is.True(tb.Put(3, up("a", 5)))
	is.True(takes(tb, "a"))
}

// A data centre is evacuated. Its servers get nothing, those that are entered meanwhile too,
// and whatever their own entries say; servers elsewhere are not touched, and after the return
// all are used again but those that left.
func TestEvacuated(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	tb.Put(0, up("a", 1))
	west := up("b", 1)
	west.DataCentre = "west"
	tb.Put(0, west)
	is.True(tb.Evacuate("east"))
	is.True(!tb.Evacuate("east"))
	is.True(!takes(tb, "a"))
	is.True(takes(tb, "b"))
	tb.Put(1, up("a", 2))
	tb.Put(1, up("c", 1))
	is.True(!takes(tb, "a"))
	is.True(!takes(tb, "c"))
	tb.Put(2, up("c", 2).WithLeaving())
	is.True(tb.Evacuate("nowhere"))
	warmUp := func(string) time.Duration { return 3 * time.Second }
	is.True(tb.Return(second, "east", warmUp))
	is.True(!tb.Return(second, "east", warmUp))
	is.True(takes(tb, "a"))
	is.True(!takes(tb, "c"))
	is.True(cold(tb, "a", 3*second)) // what it says of itself may come late
	is.True(!cold(tb, "a", 4*second))
	is.True(!cold(tb, "b", second))
	tb.Put(2*second, up("a", 3))
	is.True(!cold(tb, "a", 2*second)) // it says that it is warm
}

// A server tells how much longer it is cold, anew while it warms up and also after it was warm:
// then other VMs may still send to it that have not heard.
func TestColdServers(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	left := func(sequence uint64, wait time.Duration) *origin.Upstream {
		one := up("a", sequence)
		one.WarmFor = wait
		return one
	}
	from := func() time.Duration {
		found, _ := tb.Directory().Find("a")
		return found.ColdFrom
	}
	tb.Put(second, left(1, 3*second))
	is.True(cold(tb, "a", 4*second-1))
	is.True(!cold(tb, "a", 4*second))
	is.Equal(from(), second)
	tb.Put(2*second, left(2, 1800*time.Millisecond))
	is.True(!cold(tb, "a", 3800*time.Millisecond))
	is.Equal(from(), second)
	tb.Put(4*second, up("a", 3))
	is.True(!cold(tb, "a", 4*second))
	tb.Put(6*second, left(4, 3*second))
	is.True(cold(tb, "a", 9*second-1))
	is.Equal(from(), 7*second)
}
