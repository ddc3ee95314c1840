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

func numbered(n int) poison.Fingerprint {
	var fp poison.Fingerprint
	binary.BigEndian.PutUint64(fp[:], uint64(n)+1)
	return fp
}

// end has a server end under a request, seen by this VM.
func end(tb *poison.Table, now time.Duration, fp poison.Fingerprint, id string, how poison.Place) []poison.Update {
	tb.Broken(now, fp, process(id), how)
	return tb.Ended(now, process(id))
}

func state(tb *poison.Table, now time.Duration, fp poison.Fingerprint) poison.State {
	st, _ := tb.Arrive(now, fp)
	return st
}

// What it takes until a request is refused: two servers that ended while it was tried there
// alone. Whatever else ends under it may be another request's doing.
func TestWhatBlocks(t *testing.T) {
	type step = func(tb *poison.Table)
	fp, other := numbered(1), numbered(2)
	alone := func(id string) step { return func(tb *poison.Table) { end(tb, second, fp, id, poison.Alone) } }
	beside := func(id string, at time.Duration) step {
		return func(tb *poison.Table) { end(tb, at, fp, id, poison.Beside) }
	}
	among := func(id string) step { return func(tb *poison.Table) { end(tb, second, fp, id, poison.Among) } }
	for _, tc := range []struct {
		name  string
		steps []step
		want  poison.State
	}{
		{"nothing", nil, poison.Clear},
		{"a connection that broke", []step{func(tb *poison.Table) { tb.Broken(second, fp, process("a"), poison.Alone) }}, poison.Clear},
		{"a server that ended without it", []step{func(tb *poison.Table) { tb.Ended(second, process("a")) }}, poison.Clear},
		{"a server that ended long before", []step{func(tb *poison.Table) {
			tb.Ended(second, process("a"))
			tb.Broken(9*second, fp, process("a"), poison.Alone)
		}}, poison.Clear},
		{"a server that ended first", []step{func(tb *poison.Table) {
			tb.Ended(second, process("a"))
			tb.Broken(second, fp, process("a"), poison.Among)
		}}, poison.Suspect},
		{"ten servers at once", []step{among("a"), among("b"), among("c"), among("d"), among("e"), among("f")}, poison.Suspect},
		{"and one trial", []step{among("a"), among("b"), among("c"), alone("d")}, poison.Suspect},
		{"and two", []step{among("a"), alone("d"), alone("e")}, poison.Blocked},
		{"the same server twice", []step{alone("a"), alone("a")}, poison.Suspect},
		{"a trial that another request claims too", []step{alone("a"), func(tb *poison.Table) {
			end(tb, second, other, "b", poison.Alone)
		}, alone("b")}, poison.Suspect},
		{"and one more", []step{alone("a"), func(tb *poison.Table) {
			end(tb, second, other, "b", poison.Alone)
		}, alone("b"), alone("c")}, poison.Blocked},
		{"a claim of another VM's request, later", []step{alone("a"), alone("b"), func(tb *poison.Table) {
			tb.Learn(second, poison.Record{Fingerprint: other, Trials: []string{"a@0", "b@0"}})
		}}, poison.Suspect},
		{"one trial here and one elsewhere", []step{alone("a"), func(tb *poison.Table) {
			tb.Learn(second, poison.Record{Fingerprint: fp, Trials: []string{"b@0"}})
		}}, poison.Blocked},
		{"the same trial told by others", []step{alone("a"), func(tb *poison.Table) {
			tb.Learn(second, poison.Record{Fingerprint: fp, Trials: []string{"a@0"}})
		}}, poison.Suspect},
		{"a suspicion of another VM", []step{func(tb *poison.Table) {
			tb.Learn(second, poison.Record{Fingerprint: fp})
		}}, poison.Suspect},
		{"a word that names two trials", []step{func(tb *poison.Table) {
			tb.Hint(second, poison.Record{Fingerprint: fp, Trials: []string{"a@0", "b@0"}})
		}}, poison.Blocked},
		{"one trial here, and a word of another", []step{alone("a"), func(tb *poison.Table) {
			tb.Hint(second, poison.Record{Fingerprint: fp, Trials: []string{"b@0"}})
		}}, poison.Blocked},
		{"two trials a second apart, beside others'", []step{among("a"), beside("b", 2*second), beside("c", 3*second)}, poison.Blocked},
		{"after an end that another VM saw", []step{func(tb *poison.Table) {
			tb.Learn(second, poison.Record{Fingerprint: fp, Ends: 1})
		}, beside("b", 2*second), beside("c", 3*second)}, poison.Blocked},
		{"one after another VM's", []step{func(tb *poison.Table) {
			tb.Learn(second, poison.Record{Fingerprint: fp, Ends: 2, Repeats: 1})
		}, beside("b", 2*second)}, poison.Blocked},
		{"two that follow at once", []step{among("a"), beside("b", 2*second), beside("c", 2*second+second/2)}, poison.Suspect},
		{"two of which one is no trial", []step{among("a"), beside("b", 2*second), func(tb *poison.Table) {
			end(tb, 3*second, fp, "c", poison.Among)
		}}, poison.Suspect},
		{"one only", []step{among("a"), beside("b", 2*second)}, poison.Suspect},
		{"as another VM says", []step{func(tb *poison.Table) {
			tb.Learn(second, poison.Record{Fingerprint: fp, Ends: 3, Repeats: 2})
		}}, poison.Blocked},
		{"and its entry was taken away", []step{func(tb *poison.Table) {
			tb.Learn(second, poison.Record{Fingerprint: fp, Ends: 3, Repeats: 2})
			tb.Release(second, fp)
		}}, poison.Suspect},
		{"and one more end then", []step{func(tb *poison.Table) {
			tb.Learn(second, poison.Record{Fingerprint: fp, Ends: 3, Repeats: 2})
			tb.Release(second, fp)
		}, beside("d", 3*second)}, poison.Blocked},
		{"an answer", []step{alone("a"), alone("b"), func(tb *poison.Table) { tb.Answered(second, fp) }}, poison.Clear},
		{"an entry that was taken away", []step{alone("a"), alone("b"), func(tb *poison.Table) { tb.Release(second, fp) }}, poison.Suspect},
		{"and one more end", []step{alone("a"), alone("b"), func(tb *poison.Table) { tb.Release(second, fp) }, alone("c")}, poison.Blocked},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb := poison.New()
			for _, st := range tc.steps {
				st(tb)
			}
			is.Equal(state(tb, 2*second, fp), tc.want)
		})
	}
}

// Two requests are tried at the same server, which ends. Neither is to be blamed for it: the
// one that did nothing would be refused with the other.
func TestTrialsAtOneServerShowNothing(t *testing.T) {
	is := is.New(t)
	tb := poison.New()
	pr := process("a")
	is.True(!tb.OnTrial(pr))
	tb.BeginTrial(pr)
	tb.BeginTrial(pr)
	is.True(tb.OnTrial(pr))
	is.Equal(tb.EndTrial(pr), poison.Beside)
	is.Equal(tb.EndTrial(pr), poison.Beside)
	is.True(!tb.OnTrial(pr))
	tb.BeginTrial(pr)
	is.Equal(tb.EndTrial(pr), poison.Alone)
}

// Others hear of a request once it is blocked, or an arrival ended without an answer; not of
// each that was under way at a server that ended, for most are answered by another one.
func TestWhatOthersHear(t *testing.T) {
	is := is.New(t)
	tb := poison.New()
	fp := numbered(1)
	shared := func(ups []poison.Update) bool {
		for _, up := range ups {
			if up.Share {
				return true
			}
		}
		return false
	}
	is.True(!shared(end(tb, second, fp, "a", poison.Among)))
	up, known := tb.Answered(second, fp)
	is.True(known && !up.Share)
	is.True(tb.Empty())
	end(tb, second, fp, "b", poison.Among)
	is.True(shared(tb.Unserved(second, fp)))
	is.True(!shared(tb.Unserved(second, fp)))
	is.True(shared(end(tb, second, fp, "c", poison.Alone)))
	up, known = tb.Answered(second, fp)
	is.True(known && up.Share && up.Cleared)
	// An end that is shown after the arrival.
	tb.Broken(second, fp, process("d"), poison.Among)
	is.True(!shared(tb.Unserved(second, fp)))
	is.True(shared(tb.Ended(second, process("d"))))
}

// A blocked request that keeps coming stays blocked, and others are told anew before they
// forget. One that stayed away is tried again, at one server.
func TestHowLongItIsBlocked(t *testing.T) {
	is := is.New(t)
	tb := poison.New()
	fp := numbered(1)
	end(tb, second, fp, "a", poison.Alone)
	end(tb, second, fp, "b", poison.Alone)
	told := 0
	now := second
	for ; now < 3*poison.BlockFor; now += time.Minute {
		st, up := tb.Arrive(now, fp)
		is.Equal(st, poison.Blocked)
		if up.Share {
			told++
		}
	}
	is.True(told >= 5 && told <= 7)
	now += poison.BlockFor
	is.Equal(state(tb, now, fp), poison.Suspect)
	is.Equal(end(tb, now, fp, "c", poison.Alone)[0].State, poison.Blocked)
}

// Another VM's word makes a request a suspect for a while, unless a server answered it just
// now: who sent the word had not heard of that.
func TestHints(t *testing.T) {
	is := is.New(t)
	tb := poison.New()
	fp := numbered(1)
	tb.Hint(second, poison.Record{Fingerprint: fp})
	is.Equal(state(tb, 2*second, fp), poison.Suspect)
	is.Equal(state(tb, 12*second, fp), poison.Clear)
	is.Equal(state(tb, 15*second, fp), poison.Clear)
	is.True(tb.Empty()) // nothing is left to look at for each request
	tb.Hint(20*second, poison.Record{Fingerprint: fp})
	tb.Answered(21*second, fp)
	tb.Hint(22*second, poison.Record{Fingerprint: fp})
	is.Equal(state(tb, 22*second, fp), poison.Clear)
	tb.Hint(30*second, poison.Record{Fingerprint: fp})
	is.Equal(state(tb, 30*second, fp), poison.Suspect)
}

// Thousands of requests in turn, each with a server's end: what is remembered is bounded,
// and what is blocked stays, however many others come.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	tb := poison.New()
	blocked := numbered(0)
	end(tb, second, blocked, "a", poison.Alone)
	end(tb, second, blocked, "b", poison.Alone)
	const many = 6000
	for n := range many {
		end(tb, second+time.Duration(n)*time.Millisecond, numbered(n+1), "s", poison.Among)
	}
	is.True(tb.Len() <= 4096)
	is.Equal(state(tb, 8*second, blocked), poison.Blocked)
	is.Equal(state(tb, 8*second, numbered(many)), poison.Suspect) // the newest
	is.Equal(state(tb, 8*second, numbered(1)), poison.Clear)      // the oldest
	tb.Broken(2*time.Hour, numbered(many), process("z"), poison.Among)
	is.Equal(tb.Len(), 1)
}

// Without any record a request costs no lock.
func BenchmarkArriveNothingKnown(b *testing.B) {
	tb := poison.New()
	for b.Loop() {
		if !tb.Empty() {
			b.Fatal("something is known")
		}
	}
}
