package site_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/io/client"
	"laburnumvane/io/emul"
	"laburnumvane/io/wire"
)

// attempt is one search of a caller and what came back.
type attempt struct {
	answer wire.SearchAnswer
	err    error
	// runsThen is how many shards had run the query when the answer came.
	runsThen int
}

// asked is a query that no other search has, and its attempts in their order.
// Only one with a ticket has more than one.
type asked struct {
	by       string // the caller
	query    string
	ticket   bool
	attempts []attempt
}

// record is all that the invariants are checked on.
type record struct {
	snapshots map[uint64]*emul.Snapshot
	runsOf    func(query string) map[int]int
	asked     []asked
	// revisions are those seen at each VM, in the order of seeing.
	revisions map[string][]uint64
}

// faults lists what breaks an invariant.
func (re record) faults() []string {
	var out []string
	for _, as := range re.asked {
		out = append(out, re.faultsOf(as)...)
	}
	for vm, seen := range re.revisions {
		for i := 1; i < len(seen); i++ {
			if seen[i] < seen[i-1] {
				out = append(out, fmt.Sprintf("VM %s: revision %d after %d", vm, seen[i], seen[i-1]))
			}
		}
	}
	return out
}

func (re record) faultsOf(as asked) []string {
	var out []string
	fault := func(format string, args ...any) {
		out = append(out, as.query+": "+fmt.Sprintf(format, args...))
	}
	runs := re.runsOf(as.query)
	claimed := true // every attempt claims that nothing ran
	for _, at := range as.attempts {
		switch {
		case at.err != nil:
			claimed = claimed && client.KindOf(at.err) == client.KindUnreachable
		case at.answer.Outcome == wire.OutcomeNotRun:
			if at.runsThen > 0 {
				fault("notRun (%s), and %d shards had run it", at.answer.Reason, at.runsThen)
			}
		default:
			claimed = false
		}
		if at.err == nil {
			for _, what := range re.untrue(at.answer, runs) {
				fault("%s", what)
			}
		}
	}
	if claimed && len(runs) > 0 {
		fault("nothing ran, say all answers, and %d shards ran it", len(runs))
	}
	for shard, n := range runs {
		if as.ticket && n > 1 {
			fault("shard %d ran it %d times with one ticket", shard, n)
		}
	}
	return out
}

// untrue lists what an answer's hits and coverage have wrong, by the snapshot
// that it names. No shard of a pair's snapshots is empty, so a shard with no hit
// is one that did not answer.
func (re record) untrue(an wire.SearchAnswer, runs map[int]int) []string {
	switch an.Outcome {
	case wire.OutcomeNotRun, wire.OutcomeUnknown:
		if len(an.Hits) > 0 {
			return []string{"hits in an answer without any: " + string(an.Outcome)}
		}
		return nil
	case wire.OutcomeComplete, wire.OutcomePartial:
	default:
		return []string{"no outcome: " + string(an.Outcome)}
	}
	sn := re.snapshots[an.Snapshot]
	if sn == nil {
		return []string{fmt.Sprintf("no snapshot %d was ever published", an.Snapshot)}
	}
	var out []string
	found, strange := byShard(sn, an.Hits)
	out = append(out, strange...)
	for shard, n := range found {
		if n != len(sn.Members(shard)) {
			out = append(out, fmt.Sprintf("%d of %d members of shard %d", n, len(sn.Members(shard)), shard))
		}
		if runs[shard] == 0 {
			out = append(out, fmt.Sprintf("hits of shard %d, which never ran it", shard))
		}
	}
	cv := an.Coverage
	if cv.Shards != sn.Shards || cv.Answered != len(found) {
		out = append(out, fmt.Sprintf("coverage %d of %d, hits of %d of %d", cv.Answered, cv.Shards, len(found), sn.Shards))
	}
	if cv.Share != float64(cv.Answered)/float64(max(cv.Shards, 1)) {
		out = append(out, fmt.Sprintf("share %v of %d of %d", cv.Share, cv.Answered, cv.Shards))
	}
	if (an.Outcome == wire.OutcomeComplete) != (len(found) == sn.Shards) {
		out = append(out, fmt.Sprintf("%s with %d of %d shards", an.Outcome, len(found), sn.Shards))
	}
	return out
}

// byShard counts the hits of each shard, and lists those that are not of this
// very snapshot, twice there, or out of order.
func byShard(sn *emul.Snapshot, hits []wire.Hit) (found map[int]int, strange []string) {
	found = map[int]int{}
	last := ""
	for _, hi := range hits {
		shard := emul.ShardOf(hi.Member, sn.Shards)
		if hi.Member <= last {
			strange = append(strange, fmt.Sprintf("member %s after %s", hi.Member, last))
		}
		last = hi.Member
		if !holds(sn, shard, hi) {
			strange = append(strange, fmt.Sprintf("member %s as %s, not of snapshot %d", hi.Member, hi.Fields, sn.Version))
		}
		found[shard]++
	}
	return found, strange
}

func holds(sn *emul.Snapshot, shard int, hi wire.Hit) bool {
	for _, me := range sn.Members(shard) {
		if me.ID == hi.Member {
			return bytes.Equal(me.Raw, hi.Fields)
		}
	}
	return false
}

// pairSlow is what each call to the slow service takes.
const pairSlow = 200 * time.Millisecond

// pairMembers is enough that no shard of a pair's snapshots is empty.
const pairMembers = 60

// renewMembers gives every member another version, and adds one, so that hits of
// two snapshots can't be taken for each other's.
func renewMembers(rg *emul.Register, version int) error {
	for i := range pairMembers + version {
		raw, err := json.Marshal(map[string]any{"member": fmt.Sprintf("m%03d", i), "version": version})
		if err != nil {
			return err
		}
		if err := rg.Put(raw); err != nil {
			return err
		}
	}
	return nil
}

// The checker of the pairs finds each kind of lie, and none in a true record.
func TestPairsChecker(t *testing.T) {
	is := is.New(t)
	rg := emul.NewRegister("members")
	re := record{snapshots: map[uint64]*emul.Snapshot{}}
	for version, shards := range []int{3, 4} {
		is.NoErr(renewMembers(rg, version))
		sn, err := rg.Snapshot(shards)
		is.NoErr(err)
		re.snapshots[sn.Version] = sn
	}
	qu, err := emul.ParseQuery(json.RawMessage(`{}`))
	is.NoErr(err)
	answer := func(sn *emul.Snapshot, answered ...int) wire.SearchAnswer {
		an := wire.SearchAnswer{Outcome: wire.OutcomePartial, Snapshot: sn.Version}
		held := map[int]bool{}
		for _, shard := range answered {
			held[shard] = true
		}
		whole := map[string]wire.Hit{}
		for shard := range sn.Shards {
			hits, _ := qu.Run(sn, shard, 0)
			for _, hi := range hits {
				if held[shard] {
					whole[hi.Member] = hi
				}
			}
		}
		for i := range pairMembers + 1 {
			if hi, ok := whole[fmt.Sprintf("m%03d", i)]; ok {
				an.Hits = append(an.Hits, hi)
			}
		}
		if len(answered) == sn.Shards {
			an.Outcome = wire.OutcomeComplete
		}
		an.Coverage = wire.Coverage{Shards: sn.Shards, Answered: len(answered), Share: float64(len(answered)) / float64(sn.Shards)}
		return an
	}
	one, two := re.snapshots[1], re.snapshots[2]
	allRan := map[int]int{0: 1, 1: 1, 2: 1, 3: 1}
	notRun := wire.SearchAnswer{Outcome: wire.OutcomeNotRun}
	changed := func(an wire.SearchAnswer, change func(*wire.SearchAnswer)) wire.SearchAnswer {
		change(&an)
		return an
	}
	for _, tc := range []struct {
		name     string
		runs     map[int]int
		ticket   bool
		attempts []attempt
		seen     []uint64
		bad      bool
	}{
		{name: "complete", runs: allRan, attempts: []attempt{{answer: answer(one, 0, 1, 2)}}},
		{name: "partial", runs: allRan, attempts: []attempt{{answer: answer(two, 0, 3)}}},
		{name: "not run", attempts: []attempt{{answer: notRun}}},
		{name: "not run, then run", ticket: true, runs: allRan, attempts: []attempt{{answer: notRun}, {answer: answer(one, 0, 1, 2)}}},
		{name: "lost", runs: allRan, attempts: []attempt{{err: &client.Error{Kind: client.KindUnknown}}}},
		{name: "revisions rise", seen: []uint64{1, 1, 3}},

		{name: "two snapshots mixed", bad: true, runs: allRan, attempts: []attempt{{answer: changed(answer(one, 0, 1, 2), func(an *wire.SearchAnswer) {
			an.Hits[7] = answer(two, 0, 1, 2, 3).Hits[7]
		})}}},
		{name: "another snapshot named", bad: true, runs: allRan, attempts: []attempt{{answer: changed(answer(one, 0, 1, 2), func(an *wire.SearchAnswer) { an.Snapshot = 2 })}}},
		{name: "unheard-of snapshot", bad: true, runs: allRan, attempts: []attempt{{answer: changed(answer(one, 0, 1, 2), func(an *wire.SearchAnswer) { an.Snapshot = 9 })}}},
		{name: "hit left out", bad: true, runs: allRan, attempts: []attempt{{answer: changed(answer(one, 0, 1, 2), func(an *wire.SearchAnswer) { an.Hits = an.Hits[1:] })}}},
		{name: "hit twice", bad: true, runs: allRan, attempts: []attempt{{answer: changed(answer(one, 0, 1, 2), func(an *wire.SearchAnswer) { an.Hits[1] = an.Hits[0] })}}},
		{name: "more answered than hits show", bad: true, runs: allRan, attempts: []attempt{{answer: changed(answer(two, 0, 1), func(an *wire.SearchAnswer) { an.Coverage.Answered = 3 })}}},
		{name: "wrong share", bad: true, runs: allRan, attempts: []attempt{{answer: changed(answer(two, 0, 1), func(an *wire.SearchAnswer) { an.Coverage.Share = 0.9 })}}},
		{name: "partial called complete", bad: true, runs: allRan, attempts: []attempt{{answer: changed(answer(two, 0, 1), func(an *wire.SearchAnswer) { an.Outcome = wire.OutcomeComplete })}}},
		{name: "hits of a shard that never ran", bad: true, runs: map[int]int{0: 1}, attempts: []attempt{{answer: answer(one, 0, 1)}}},
		{name: "not run, and it ran", bad: true, runs: map[int]int{1: 1}, attempts: []attempt{{answer: notRun}}},
		{name: "not run after it ran", bad: true, ticket: true, runs: allRan, attempts: []attempt{{answer: answer(one, 0, 1, 2)}, {answer: notRun, runsThen: 3}}},
		{name: "unreachable, and it ran", bad: true, runs: map[int]int{1: 1}, attempts: []attempt{{err: &client.Error{Kind: client.KindUnreachable}}}},
		{name: "ticket run twice", bad: true, ticket: true, runs: map[int]int{0: 1, 1: 2, 2: 1}, attempts: []attempt{{answer: answer(one, 0, 1, 2)}}},
		{name: "revision falls", bad: true, seen: []uint64{1, 3, 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			re.runsOf = func(string) map[int]int { return tc.runs }
			re.asked = []asked{{query: "q", ticket: tc.ticket, attempts: tc.attempts}}
			re.revisions = map[string][]uint64{"vm": tc.seen}
			if len(tc.attempts) == 0 {
				re.asked = nil
			}
			found := re.faults()
			t.Log(found)
			is.Equal(len(found) > 0, tc.bad)
		})
	}
}
