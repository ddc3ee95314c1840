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
	return origin.NewTable(origin.Config{LapseGrace: linger, TombstoneTTL: time.Minute})
}

func server(id string, sequence uint64) *origin.Upstream {
	return &origin.Upstream{ID: id, Service: "s", Addr: id + ":1", DataCentre: "east", Sequence: sequence}
}

const second = time.Second

func cold(tb *origin.Table, id string, now time.Duration) bool {
	found, ok := tb.Directory().Find(id)
	return ok && found.Cold(now)
}

func accepting(tb *origin.Table, id string) bool {
	found, ok := tb.Directory().Find(id)
	return ok && found.Accepting()
}

// A server has announced that it is leaving. Neither a late entry that it wrote before, nor
// the removal of its entry followed by another entry may bring it back: it would get requests
// until it exits, and those would be lost.
func TestLeavingIsFinal(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	is.True(tb.Put(0, server("a", 4)))
	is.True(tb.Put(1, server("a", 5).WithLeaving()))
	is.True(!accepting(tb, "a"))
	tb.Put(2, server("a", 4))
	is.True(!accepting(tb, "a"))
	tb.Put(3, server("a", 9))
	is.True(!accepting(tb, "a"))
	is.True(tb.Remove(4, "a"))
	tb.Put(5, server("a", 10))
	is.True(!accepting(tb, "a"))
}

// A server's entry is removed without an announcement. Only an entry newer than the last one
// shows that the server was merely cut off.
func TestRemovedServerReturnsWithNewerEntry(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	tb.Put(0, server("a", 4))
	is.True(tb.Remove(1, "a"))
	is.True(!accepting(tb, "a"))
	is.True(!tb.Put(2, server("a", 4)))
	is.True(!accepting(tb, "a"))
	is.True(tb.Put(3, server("a", 5)))
	is.True(accepting(tb, "a"))
}

// All entries expire while the store is unavailable, though the servers are running. Dropping
// the servers would refuse all callers. Running servers write their entries again within two
// seconds; those that do not by then are dropped.
func TestEntriesLapseWhileStoreIsUnavailable(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	tb.Put(0, server("a", 1))
	tb.Put(0, server("b", 1))
	tb.Put(0, server("c", 1).WithLeaving())
	tb.StoreReturned(10 * time.Second)
	is.True(!tb.Remove(10*time.Second, "a"))
	is.True(!tb.Remove(10*time.Second, "b"))
	is.True(tb.Remove(10*time.Second, "c"))
	is.Equal(tb.Lapsed(), 2)
	is.True(accepting(tb, "a"))
	is.True(accepting(tb, "b"))
	_, ok := tb.Directory().Find("c")
	is.True(!ok)
	tb.Put(11*time.Second, server("a", 2))
	is.True(!tb.Tick(12*time.Second, false))
	is.True(tb.Tick(10*time.Second+linger, false))
	is.True(accepting(tb, "a"))
	is.True(!accepting(tb, "b"))
	is.True(tb.Remove(20*time.Second, "a"))
}

func TestOlderEntryIsIgnored(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	tb.Put(0, server("a", 5))
	older := server("a", 4)
	older.Addr = "elsewhere:1"
	is.True(!tb.Put(1, older))
	found, _ := tb.Directory().Find("a")
	is.Equal(found.Addr, "a:1")
	is.True(!tb.Put(2, server("a", 5)))
}

func TestDirectory(t *testing.T) {
	is := is.New(t)
	dir := origin.New([]*origin.Upstream{server("a", 1), server("b", 1)})
	is.Equal(dir.Len(), 2)
	is.Equal(len(dir.OfService("s")), 2)
	is.Equal(len(dir.OfService("t")), 0)
	seen := 0
	dir.All(func(*origin.Upstream) { seen++ })
	is.Equal(seen, 2)
}

// A server exits without an announcement, and its entry is removed while this VM's copy of
// the store lags. The copy then lags repeatedly. The server must still be dropped within the
// first waiting time, since it gets requests until then.
func TestRepeatedOutagesDoNotExtendLapse(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	tb.Put(0, server("a", 1))
	tb.StoreReturned(10 * time.Second)
	is.True(!tb.Remove(10*time.Second, "a"))
	tb.StoreReturned(11 * time.Second)
	tb.StoreReturned(12 * time.Second)
	is.True(tb.Tick(10*time.Second+linger, false))
	is.True(!accepting(tb, "a"))
}

// The store becomes unavailable again before a server whose entry had lapsed could write it
// again. The missing entry proves nothing until the store has been back for as long as a
// server needs to write it.
func TestOutageDuringLapse(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	tb.Put(0, server("a", 1))
	tb.StoreReturned(10 * time.Second)
	is.True(!tb.Remove(10*time.Second, "a"))
	is.True(!tb.Tick(10*time.Second+linger, true))
	tb.StoreReturned(20 * time.Second)
	is.True(!tb.Tick(21*time.Second, false))
	is.True(accepting(tb, "a"))
	is.True(tb.Tick(20*time.Second+linger, false))
	is.True(!accepting(tb, "a"))
}

// A server restarts under the same ID, and its sequence restarts. If the new entry is taken
// for an old one, callers find shards without a server. This is tested after a crash (new
// address, lower sequence), after the server announced that it was leaving, and after its
// entry was removed. Late entries of the earlier process must not put the new one out of
// service or bring the old address back.
func TestRestart(t *testing.T) {
	startedAt := func(startMs int64, sequence uint64) *origin.Upstream {
		up := server("a", sequence)
		up.StartMs = startMs
		up.Addr = fmt.Sprintf("a:%d", startMs)
		return up
	}
	cases := []struct {
		name   string
		before func(tb *origin.Table)
	}{
		{"crashed", func(*origin.Table) {}},
		{"left", func(tb *origin.Table) { tb.Put(1, startedAt(1, 41).WithLeaving()) }},
		{"left, entry removed", func(tb *origin.Table) {
			tb.Put(1, startedAt(1, 41).WithLeaving())
			tb.Remove(2, "a")
		}},
		{"entry removed", func(tb *origin.Table) { tb.Remove(1, "a") }},
		{"lapsed after a store outage", func(tb *origin.Table) {
			tb.StoreReturned(time.Second)
			tb.Remove(1, "a")
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb := newTable()
			tb.Put(0, startedAt(1, 40))
			tc.before(tb)
			is.True(tb.Put(3, startedAt(2, 1)))
			for _, stale := range []*origin.Upstream{startedAt(1, 50), startedAt(1, 51).WithLeaving(), server("a", 60)} {
				is.True(!tb.Put(4, stale))
				found, ok := tb.Directory().Find("a")
				is.True(ok && found.Accepting())
				is.Equal(found.Addr, "a:2")
			}
			is.True(tb.Directory().Has(startedAt(2, 9).Process()))
			is.True(!tb.Directory().Has(startedAt(1, 9).Process()))
			is.True(!tb.Tick(10*time.Second, false)) // it does not lapse with the earlier process
			is.True(accepting(tb, "a"))
			is.True(tb.Put(5, startedAt(2, 2).WithLeaving()))
			is.True(!accepting(tb, "a"))
		})
	}
}

// An unreadable entry is written under a server's key. The server gets no requests until it
// has written a valid entry, also in a suspect period, since this entry did not expire. Other
// servers are not affected.
func TestUnreadableEntry(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	tb.Put(0, server("a", 4))
	tb.Put(0, server("b", 4))
	tb.StoreReturned(time.Second)
	is.True(tb.Reject(1, "a"))
	is.True(!accepting(tb, "a"))
	is.True(accepting(tb, "b"))
	is.True(!tb.Reject(2, "a"))
	is.True(!tb.Reject(2, "unknown"))
	is.True(tb.Put(3, server("a", 5)))
	is.True(accepting(tb, "a"))
}

// Servers of an evacuated data centre get no requests, including servers that are added
// meanwhile and whatever their own entries say. Other servers are not affected. After the end
// of the evacuation all of them are used again except those that are leaving.
func TestEvacuation(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	tb.Put(0, server("a", 1))
	west := server("b", 1)
	west.DataCentre = "west"
	tb.Put(0, west)
	is.True(tb.Evacuate("east"))
	is.True(!tb.Evacuate("east"))
	is.True(!accepting(tb, "a"))
	is.True(accepting(tb, "b"))
	tb.Put(1, server("a", 2))
	tb.Put(1, server("c", 1))
	is.True(!accepting(tb, "a"))
	is.True(!accepting(tb, "c"))
	tb.Put(2, server("c", 2).WithLeaving())
	is.True(tb.Evacuate("nowhere"))
	warmUp := func(string) time.Duration { return 3 * time.Second }
	is.True(tb.EndEvacuation(second, "east", warmUp))
	is.True(!tb.EndEvacuation(second, "east", warmUp))
	is.True(accepting(tb, "a"))
	is.True(!accepting(tb, "c"))
	is.True(cold(tb, "a", 3*second)) // its own entry may arrive late
	is.True(!cold(tb, "a", 4*second))
	is.True(!cold(tb, "b", second))
	tb.Put(2*second, server("a", 3))
	is.True(!cold(tb, "a", 2*second)) // its entry says that it is warm
}

// A server's entries say how much longer it is cold, while it warms up and also after it was
// warm. In the latter case other VMs that do not know it yet may still send to it for a
// moment.
func TestColdServers(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	coldFor := func(sequence uint64, remaining time.Duration) *origin.Upstream {
		up := server("a", sequence)
		up.ColdFor = remaining
		return up
	}
	coldFrom := func() time.Duration {
		found, _ := tb.Directory().Find("a")
		return found.ColdKnownFrom
	}
	tb.Put(second, coldFor(1, 3*second))
	is.True(cold(tb, "a", 4*second-1))
	is.True(!cold(tb, "a", 4*second))
	is.Equal(coldFrom(), second)
	tb.Put(2*second, coldFor(2, 1800*time.Millisecond))
	is.True(!cold(tb, "a", 3800*time.Millisecond))
	is.Equal(coldFrom(), second)
	tb.Put(4*second, server("a", 3))
	is.True(!cold(tb, "a", 4*second))
	tb.Put(6*second, coldFor(4, 3*second))
	is.True(cold(tb, "a", 9*second-1))
	is.Equal(coldFrom(), 7*second)
}
