package mirror_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"laburnumvane/core/mirror"
)

func put(key string, revision uint64) mirror.Event {
	return mirror.Event{Item: mirror.Item{Key: key, Value: fmt.Appendf(nil, "%s@%d", key, revision), Revision: revision}}
}

func removed(key string, revision uint64) mirror.Event {
	return mirror.Event{Item: mirror.Item{Key: key, Revision: revision}, Removed: true}
}

func whole(asOf uint64, evs ...mirror.Event) mirror.Update {
	return mirror.Update{Full: true, AsOf: asOf, Events: evs}
}

func since(asOf uint64, evs ...mirror.Event) mirror.Update {
	return mirror.Update{AsOf: asOf, Events: evs}
}

func keys(evs []mirror.Event) map[string]bool {
	out := map[string]bool{}
	for _, ev := range evs {
		out[ev.Key] = !ev.Removed
	}
	return out
}

func TestApply(t *testing.T) {
	is := is.New(t)
	re := mirror.NewReplica(mirror.DefaultHistory)
	is.Equal(len(re.Apply(since(3, put("a", 2)))), 0) // nothing to apply it to
	is.True(!re.Loaded())
	is.Equal(len(re.Apply(whole(5, put("a", 2), put("b", 5)))), 2)
	is.Equal(keys(re.Apply(since(7, removed("a", 6), put("c", 7)))), map[string]bool{"a": false, "c": true})
	is.Equal(re.AsOf(), uint64(7))
	is.Equal(re.Len(), 2)
}

// Guards against applying an update from a source that is behind another one: a server that
// has left would be restored, and a configuration would be reverted.
func TestOlderUpdateChangesNothing(t *testing.T) {
	is := is.New(t)
	re := mirror.NewReplica(mirror.DefaultHistory)
	re.Apply(whole(5, put("a", 2)))
	re.Apply(since(9, removed("a", 8)))
	is.Equal(len(re.Apply(whole(6, put("a", 2)))), 0)
	is.Equal(len(re.Apply(since(7, put("a", 7)))), 0)
	is.Equal(re.AsOf(), uint64(9))
	is.Equal(re.Len(), 0)
}

// Guards against wrong removals when the history is lost and a full copy is read page by page
// while entries change. Entries that no longer exist must be removed, and an entry written
// between two pages must stay.
func TestFullCopyAfterLostHistory(t *testing.T) {
	is := is.New(t)
	re := mirror.NewReplica(mirror.DefaultHistory)
	re.Apply(whole(5, put("a", 2), put("b", 3), put("c", 4)))
	changed := re.Apply(whole(10, put("a", 2), put("c", 12)))
	is.Equal(keys(changed), map[string]bool{"b": false, "c": true})
	changed = re.Apply(since(13, put("c", 12), put("d", 13)))
	is.Equal(keys(changed), map[string]bool{"d": true})
}

func TestSince(t *testing.T) {
	is := is.New(t)
	re := mirror.NewReplica(2)
	_, ok := re.Since(0)
	is.True(!ok)
	re.Apply(whole(5, put("a", 2)))
	up, ok := re.Since(0)
	is.True(ok && up.Full)
	_, ok = re.Since(5)
	is.True(!ok)
	re.Apply(since(6, put("b", 6)))
	up, ok = re.Since(5)
	is.True(ok && !up.Full)
	is.Equal(len(up.Events), 1)
	re.Apply(since(8, put("c", 7), put("d", 8)))
	up, _ = re.Since(5)
	is.True(up.Full) // the history is two events long
	up, _ = re.Since(6)
	is.True(!up.Full)
	is.Equal(len(up.Events), 2)
}

// A chain of VMs replicates from one another, each at its own pace and some of them from the
// store itself. In the end all must hold the same entries as the store.
func TestChainConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		store := mirror.NewReplica(1 << 20)
		store.Apply(whole(1))
		chain := make([]*mirror.Replica, 4)
		for i := range chain {
			chain[i] = mirror.NewReplica(3)
		}
		replicate := func(i int) {
			from := store
			if i > 0 && rnd.IntN(4) > 0 {
				from = chain[i-1]
			}
			after := chain[i].AsOf()
			if up, ok := from.Since(after); ok {
				chain[i].Apply(up)
			}
		}
		revision := uint64(1)
		for range rapid.IntRange(0, 60).Draw(rt, "steps") {
			if rnd.IntN(2) == 0 {
				revision++
				key := string(rune('a' + rnd.IntN(5)))
				ev := put(key, revision)
				if rnd.IntN(3) == 0 {
					ev = removed(key, revision)
				}
				store.Apply(since(revision, ev))
			}
			replicate(rnd.IntN(len(chain)))
		}
		for i := range chain {
			for range 3 {
				if up, ok := store.Since(chain[i].AsOf()); ok {
					chain[i].Apply(up)
				}
			}
			is.Equal(contents(chain[i]), contents(store))
		}
	})
}

func contents(re *mirror.Replica) map[string]string {
	out := map[string]string{}
	up, _ := re.Since(0)
	for _, ev := range up.Events {
		out[ev.Key] = string(ev.Value)
	}
	return out
}

// Guards against applying a change twice. While a VM waits for the store, it gets the same changes
// from another VM: an entry was written and removed. If the store's answer were applied once more,
// the removed server would appear again, and its removal would be reported as a second one.
func TestChangesThatAreKnownAreSkipped(t *testing.T) {
	is := is.New(t)
	re := mirror.NewReplica(mirror.DefaultHistory)
	re.Apply(mirror.Update{Full: true, AsOf: 1})
	up := mirror.Update{AsOf: 3, Events: []mirror.Event{
		{Item: mirror.Item{Key: "a", Revision: 2}},
		{Item: mirror.Item{Key: "a", Revision: 3}, Removed: true},
	}}
	is.Equal(len(re.Apply(up)), 2)
	is.Equal(len(re.Apply(up)), 0)
	up.AsOf, up.Events = 4, append(up.Events, mirror.Event{Item: mirror.Item{Key: "b", Revision: 4}})
	is.Equal(re.Apply(up), up.Events[2:])
}
