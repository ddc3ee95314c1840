package poison_test

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/origin"
	"laburnumvane/core/poison"
)

const second = time.Second

func process(id string) origin.Process { return origin.Process{ID: id, Addr: id + ":1"} }

func fingerprint(n int) poison.Fingerprint {
	var fp poison.Fingerprint
	binary.BigEndian.PutUint64(fp[:], uint64(n)+1)
	return fp
}

// crash crashes a server under a request, as seen by this VM.
func crash(tb *poison.Table, now time.Duration, fp poison.Fingerprint, id string, kind poison.TrialKind) []poison.Update {
	tb.RecordBroken(now, fp, process(id), kind)
	return tb.RecordServerEnd(now, process(id))
}

func stateOf(tb *poison.Table, now time.Duration, fp poison.Fingerprint) poison.State {
	st, _ := tb.Arrive(now, fp)
	return st
}

// A request is blocked once two servers crashed during exclusive trials of it. Any other crash
// may be due to another request.
func TestWhatBlocks(t *testing.T) {
	type step = func(tb *poison.Table)
	fp, other := fingerprint(1), fingerprint(2)
	exclusive := func(id string) step {
		return func(tb *poison.Table) { crash(tb, second, fp, id, poison.ExclusiveTrial) }
	}
	shared := func(id string, at time.Duration) step {
		return func(tb *poison.Table) { crash(tb, at, fp, id, poison.SharedTrial) }
	}
	noTrial := func(id string) step { return func(tb *poison.Table) { crash(tb, second, fp, id, poison.NotTrial) } }
	for _, tc := range []struct {
		name  string
		steps []step
		want  poison.State
	}{
		{"no event", nil, poison.Clear},
		{"broken connection, server still running", []step{func(tb *poison.Table) { tb.RecordBroken(second, fp, process("a"), poison.ExclusiveTrial) }}, poison.Clear},
		{"server ended without the request", []step{func(tb *poison.Table) { tb.RecordServerEnd(second, process("a")) }}, poison.Clear},
		{"server ended long before", []step{func(tb *poison.Table) {
			tb.RecordServerEnd(second, process("a"))
			tb.RecordBroken(9*second, fp, process("a"), poison.ExclusiveTrial)
		}}, poison.Clear},
		{"server's end known before the broken connection", []step{func(tb *poison.Table) {
			tb.RecordServerEnd(second, process("a"))
			tb.RecordBroken(second, fp, process("a"), poison.NotTrial)
		}}, poison.Suspect},
		{"several crashes, no trial", []step{noTrial("a"), noTrial("b"), noTrial("c"), noTrial("d"), noTrial("e"), noTrial("f")}, poison.Suspect},
		{"several crashes and one trial", []step{noTrial("a"), noTrial("b"), noTrial("c"), exclusive("d")}, poison.Suspect},
		{"one crash and two trials", []step{noTrial("a"), exclusive("d"), exclusive("e")}, poison.Blocked},
		{"same server twice", []step{exclusive("a"), exclusive("a")}, poison.Suspect},
		{"second trial also attributed to another request", []step{exclusive("a"), func(tb *poison.Table) {
			crash(tb, second, other, "b", poison.ExclusiveTrial)
		}, exclusive("b")}, poison.Suspect},
		{"second trial ambiguous, third not", []step{exclusive("a"), func(tb *poison.Table) {
			crash(tb, second, other, "b", poison.ExclusiveTrial)
		}, exclusive("b"), exclusive("c")}, poison.Blocked},
		{"trials attributed to another VM's request later", []step{exclusive("a"), exclusive("b"), func(tb *poison.Table) {
			tb.Merge(second, poison.Record{Fingerprint: other, Trials: []string{"a@0", "b@0"}})
		}}, poison.Suspect},
		{"one trial on this VM and one on another", []step{exclusive("a"), func(tb *poison.Table) {
			tb.Merge(second, poison.Record{Fingerprint: fp, Trials: []string{"b@0"}})
		}}, poison.Blocked},
		{"own trial reported by another VM", []step{exclusive("a"), func(tb *poison.Table) {
			tb.Merge(second, poison.Record{Fingerprint: fp, Trials: []string{"a@0"}})
		}}, poison.Suspect},
		{"suspect on another VM", []step{func(tb *poison.Table) {
			tb.Merge(second, poison.Record{Fingerprint: fp})
		}}, poison.Suspect},
		{"hint that names two trials", []step{func(tb *poison.Table) {
			tb.Hint(second, poison.Record{Fingerprint: fp, Trials: []string{"a@0", "b@0"}})
		}}, poison.Blocked},
		{"one trial and a hint of another", []step{exclusive("a"), func(tb *poison.Table) {
			tb.Hint(second, poison.Record{Fingerprint: fp, Trials: []string{"b@0"}})
		}}, poison.Blocked},
		{"two shared trials, a second apart", []step{noTrial("a"), shared("b", 2*second), shared("c", 3*second)}, poison.Blocked},
		{"two shared trials after a crash seen by another VM", []step{func(tb *poison.Table) {
			tb.Merge(second, poison.Record{Fingerprint: fp, Crashes: 1})
		}, shared("b", 2*second), shared("c", 3*second)}, poison.Blocked},
		{"one shared trial after another VM's", []step{func(tb *poison.Table) {
			tb.Merge(second, poison.Record{Fingerprint: fp, Crashes: 2, RepeatCrashes: 1})
		}, shared("b", 2*second)}, poison.Blocked},
		{"two shared trials, half a second apart", []step{noTrial("a"), shared("b", 2*second), shared("c", 2*second+second/2)}, poison.Suspect},
		{"one shared trial and a crash without trial", []step{noTrial("a"), shared("b", 2*second), func(tb *poison.Table) {
			crash(tb, 3*second, fp, "c", poison.NotTrial)
		}}, poison.Suspect},
		{"one shared trial", []step{noTrial("a"), shared("b", 2*second)}, poison.Suspect},
		{"blocked by another VM", []step{func(tb *poison.Table) {
			tb.Merge(second, poison.Record{Fingerprint: fp, Crashes: 3, RepeatCrashes: 2})
		}}, poison.Blocked},
		{"blocked by another VM, then released", []step{func(tb *poison.Table) {
			tb.Merge(second, poison.Record{Fingerprint: fp, Crashes: 3, RepeatCrashes: 2})
			tb.Unblock(second, fp)
		}}, poison.Suspect},
		{"released, then one more crash", []step{func(tb *poison.Table) {
			tb.Merge(second, poison.Record{Fingerprint: fp, Crashes: 3, RepeatCrashes: 2})
			tb.Unblock(second, fp)
		}, shared("d", 3*second)}, poison.Blocked},
		{"two trials, then an answer", []step{exclusive("a"), exclusive("b"), func(tb *poison.Table) { tb.RecordAnswer(second, fp) }}, poison.Clear},
		{"two trials, then released", []step{exclusive("a"), exclusive("b"), func(tb *poison.Table) { tb.Unblock(second, fp) }}, poison.Suspect},
		{"two trials, released, then one more trial", []step{exclusive("a"), exclusive("b"), func(tb *poison.Table) { tb.Unblock(second, fp) }, exclusive("c")}, poison.Blocked},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb := poison.New()
			for _, st := range tc.steps {
				st(tb)
			}
			is.Equal(stateOf(tb, 2*second, fp), tc.want)
		})
	}
}

// Two requests are tried on the same server, which crashes. The crash must count for neither, or
// the harmless one would be refused as well.
func TestSharedTrials(t *testing.T) {
	is := is.New(t)
	tb := poison.New()
	pr := process("a")
	is.True(!tb.HasTrial(pr))
	tb.BeginTrial(pr)
	tb.BeginTrial(pr)
	is.True(tb.HasTrial(pr))
	is.Equal(tb.EndTrial(pr), poison.SharedTrial)
	is.Equal(tb.EndTrial(pr), poison.SharedTrial)
	is.True(!tb.HasTrial(pr))
	tb.BeginTrial(pr)
	is.Equal(tb.EndTrial(pr), poison.ExclusiveTrial)
}

// Other VMs are informed once a request is blocked or an arrival ended without an answer. They
// are not informed of every request that ran on a crashed server, since most are answered by
// another one.
func TestUpdatesToShare(t *testing.T) {
	is := is.New(t)
	tb := poison.New()
	fp := fingerprint(1)
	shared := func(ups []poison.Update) bool {
		for _, up := range ups {
			if up.Share {
				return true
			}
		}
		return false
	}
	is.True(!shared(crash(tb, second, fp, "a", poison.NotTrial)))
	up, known := tb.RecordAnswer(second, fp)
	is.True(known && !up.Share)
	is.True(tb.Empty())
	crash(tb, second, fp, "b", poison.NotTrial)
	is.True(shared(tb.RecordUnserved(second, fp)))
	is.True(!shared(tb.RecordUnserved(second, fp)))
	is.True(shared(crash(tb, second, fp, "c", poison.ExclusiveTrial)))
	up, known = tb.RecordAnswer(second, fp)
	is.True(known && up.Share && up.Cleared)
	// The server's end becomes known after the arrival ended.
	tb.RecordBroken(second, fp, process("d"), poison.NotTrial)
	is.True(!shared(tb.RecordUnserved(second, fp)))
	is.True(shared(tb.RecordServerEnd(second, process("d"))))
}

// A blocked request that keeps arriving stays blocked, and other VMs are informed again before
// their records expire. One that did not arrive for long is tried again on one server.
func TestBlockDuration(t *testing.T) {
	is := is.New(t)
	tb := poison.New()
	fp := fingerprint(1)
	crash(tb, second, fp, "a", poison.ExclusiveTrial)
	crash(tb, second, fp, "b", poison.ExclusiveTrial)
	refreshes := 0
	now := second
	for ; now < 3*poison.BlockDuration; now += time.Minute {
		st, up := tb.Arrive(now, fp)
		is.Equal(st, poison.Blocked)
		if up.Share {
			refreshes++
		}
	}
	is.True(refreshes >= 5 && refreshes <= 7)
	now += poison.BlockDuration
	is.Equal(stateOf(tb, now, fp), poison.Suspect)
	is.Equal(crash(tb, now, fp, "c", poison.ExclusiveTrial)[0].State, poison.Blocked)
}

// A hint from another VM makes a request suspect for a while, unless a server answered it just
// before: the sender did not know of that.
func TestHints(t *testing.T) {
	is := is.New(t)
	tb := poison.New()
	fp := fingerprint(1)
	tb.Hint(second, poison.Record{Fingerprint: fp})
	is.Equal(stateOf(tb, 2*second, fp), poison.Suspect)
	is.Equal(stateOf(tb, 12*second, fp), poison.Clear)
	is.Equal(stateOf(tb, 15*second, fp), poison.Clear)
	is.True(tb.Empty()) // no record is left that requests would have to look up
	tb.Hint(20*second, poison.Record{Fingerprint: fp})
	tb.RecordAnswer(21*second, fp)
	tb.Hint(22*second, poison.Record{Fingerprint: fp})
	is.Equal(stateOf(tb, 22*second, fp), poison.Clear)
	tb.Hint(30*second, poison.Record{Fingerprint: fp})
	is.Equal(stateOf(tb, 30*second, fp), poison.Suspect)
}

// Thousands of requests, each with a server crash: the number of records is bounded, and blocked
// requests are kept regardless of how many others arrive.
func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	tb := poison.New()
	blocked := fingerprint(0)
	crash(tb, second, blocked, "a", poison.ExclusiveTrial)
	crash(tb, second, blocked, "b", poison.ExclusiveTrial)
	const many = 6000
	for n := range many {
		crash(tb, second+time.Duration(n)*time.Millisecond, fingerprint(n+1), "s", poison.NotTrial)
	}
	is.True(tb.Len() <= 4096)
	is.Equal(stateOf(tb, 8*second, blocked), poison.Blocked)
	is.Equal(stateOf(tb, 8*second, fingerprint(many)), poison.Suspect) // the newest
	is.Equal(stateOf(tb, 8*second, fingerprint(1)), poison.Clear)      // the oldest
	tb.RecordBroken(2*time.Hour, fingerprint(many), process("z"), poison.NotTrial)
	is.Equal(tb.Len(), 1)
}

// Arriving requests take no lock while there are no records.
func BenchmarkArriveEmptyTable(b *testing.B) {
	tb := poison.New()
	for b.Loop() {
		if !tb.Empty() {
			b.Fatal("table is not empty")
		}
	}
}
