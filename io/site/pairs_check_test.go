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

// attempt is one request of a caller and its answer or error.
type attempt struct {
	answer wire.SearchAnswer
	err    error
	// runsAtAnswer is the number of shards that had run the query when the answer arrived.
	runsAtAnswer int
}

// searchRecord is a search with a unique query, and its attempts in order. Only a search with a ticket
// has more than one attempt.
type searchRecord struct {
	caller   string
	query    string
	ticket   bool
	attempts []attempt
}

// trafficRecord is the data on which the invariants are checked.
type trafficRecord struct {
	snapshots map[uint64]*emul.Snapshot
	runsOf    func(query string) map[int]int
	searches  []searchRecord
	// revisions are the revisions observed at each VM, in the order of observation.
	revisions map[string][]uint64
}

// violations returns a description of each violated invariant.
func (re trafficRecord) violations() []string {
	var out []string
	for _, as := range re.searches {
		out = append(out, re.violationsOf(as)...)
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

func (re trafficRecord) violationsOf(as searchRecord) []string {
	var out []string
	fault := func(format string, args ...any) {
		out = append(out, as.query+": "+fmt.Sprintf(format, args...))
	}
	runs := re.runsOf(as.query)
	allNotRun := true // every attempt reports that nothing ran
	for _, at := range as.attempts {
		switch {
		case at.err != nil:
			allNotRun = allNotRun && client.KindOf(at.err) == client.KindUnreachable
		case at.answer.Outcome == wire.OutcomeNotRun:
			if at.runsAtAnswer > 0 {
				fault("notRun (%s), and %d shards had run it", at.answer.Reason, at.runsAtAnswer)
			}
		default:
			allNotRun = false
		}
		if at.err == nil {
			for _, what := range re.answerViolations(at.answer, runs) {
				fault("%s", what)
			}
		}
	}
	if allNotRun && len(runs) > 0 {
		fault("all answers report that nothing ran, but %d shards ran it", len(runs))
	}
	for shard, n := range runs {
		if as.ticket && n > 1 {
			fault("shard %d ran it %d times with one ticket", shard, n)
		}
	}
	return out
}

// answerViolations returns the errors in an answer's hits and coverage, compared with the snapshot that
// it names. No shard of these snapshots is empty, so that a shard without hits did not answer.
func (re trafficRecord) answerViolations(an wire.SearchAnswer, runs map[int]int) []string {
	switch an.Outcome {
	case wire.OutcomeNotRun, wire.OutcomeUnknown:
		if len(an.Hits) > 0 {
			return []string{"hits in an answer that must not have any: " + string(an.Outcome)}
		}
		return nil
	case wire.OutcomeComplete, wire.OutcomePartial:
	default:
		return []string{"no outcome: " + string(an.Outcome)}
	}
	sn := re.snapshots[an.Snapshot]
	if sn == nil {
		return []string{fmt.Sprintf("snapshot %d was never published", an.Snapshot)}
	}
	var out []string
	found, unexpected := byShard(sn, an.Hits)
	out = append(out, unexpected...)
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

// byShard counts the hits of each shard, and describes those that are not from this snapshot, are
// duplicates, or are out of order.
func byShard(sn *emul.Snapshot, hits []wire.Hit) (found map[int]int, unexpected []string) {
	found = map[int]int{}
	last := ""
	for _, hi := range hits {
		shard := emul.ShardOf(hi.Member, sn.Shards)
		if hi.Member <= last {
			unexpected = append(unexpected, fmt.Sprintf("member %s after %s", hi.Member, last))
		}
		last = hi.Member
		if !contains(sn, shard, hi) {
			unexpected = append(unexpected, fmt.Sprintf("member %s as %s, not of snapshot %d", hi.Member, hi.Fields, sn.Version))
		}
		found[shard]++
	}
	return found, unexpected
}

func contains(sn *emul.Snapshot, shard int, hi wire.Hit) bool {
	for _, me := range sn.Members(shard) {
		if me.ID == hi.Member {
			return bytes.Equal(me.Raw, hi.Fields)
		}
	}
	return false
}

// pairSlowDelay is the delay of each call to the slow key-value service.
const pairSlowDelay = 200 * time.Millisecond

// pairMembers is large enough for every shard of the snapshots to have members.
const pairMembers = 60

// updateMembers sets the version of every member, and adds one member per version, so that hits of
// two snapshots differ.
func updateMembers(rg *emul.Register, version int) error {
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

// The checker of TestPairs must find each kind of violation, and none in a correct record.
func TestPairsChecker(t *testing.T) {
	is := is.New(t)
	rg := emul.NewRegister("members")
	re := trafficRecord{snapshots: map[uint64]*emul.Snapshot{}}
	for version, shards := range []int{3, 4} {
		is.NoErr(updateMembers(rg, version))
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
		violated bool
	}{
		{name: "complete", runs: allRan, attempts: []attempt{{answer: answer(one, 0, 1, 2)}}},
		{name: "partial", runs: allRan, attempts: []attempt{{answer: answer(two, 0, 3)}}},
		{name: "not run", attempts: []attempt{{answer: notRun}}},
		{name: "not run, then run", ticket: true, runs: allRan, attempts: []attempt{{answer: notRun}, {answer: answer(one, 0, 1, 2)}}},
		{name: "answer lost", runs: allRan, attempts: []attempt{{err: &client.Error{Kind: client.KindUnknown}}}},
		{name: "revisions increase", seen: []uint64{1, 1, 3}},

		{name: "two snapshots mixed", violated: true, runs: allRan, attempts: []attempt{{answer: changed(answer(one, 0, 1, 2), func(an *wire.SearchAnswer) {
			an.Hits[7] = answer(two, 0, 1, 2, 3).Hits[7]
		})}}},
		{name: "another snapshot named", violated: true, runs: allRan, attempts: []attempt{{answer: changed(answer(one, 0, 1, 2), func(an *wire.SearchAnswer) { an.Snapshot = 2 })}}},
		{name: "unknown snapshot", violated: true, runs: allRan, attempts: []attempt{{answer: changed(answer(one, 0, 1, 2), func(an *wire.SearchAnswer) { an.Snapshot = 9 })}}},
		{name: "hit missing", violated: true, runs: allRan, attempts: []attempt{{answer: changed(answer(one, 0, 1, 2), func(an *wire.SearchAnswer) { an.Hits = an.Hits[1:] })}}},
		{name: "hit twice", violated: true, runs: allRan, attempts: []attempt{{answer: changed(answer(one, 0, 1, 2), func(an *wire.SearchAnswer) { an.Hits[1] = an.Hits[0] })}}},
		{name: "more answered than hits show", violated: true, runs: allRan, attempts: []attempt{{answer: changed(answer(two, 0, 1), func(an *wire.SearchAnswer) { an.Coverage.Answered = 3 })}}},
		{name: "wrong share", violated: true, runs: allRan, attempts: []attempt{{answer: changed(answer(two, 0, 1), func(an *wire.SearchAnswer) { an.Coverage.Share = 0.9 })}}},
		{name: "partial answer marked complete", violated: true, runs: allRan, attempts: []attempt{{answer: changed(answer(two, 0, 1), func(an *wire.SearchAnswer) { an.Outcome = wire.OutcomeComplete })}}},
		{name: "hits of a shard that never ran", violated: true, runs: map[int]int{0: 1}, attempts: []attempt{{answer: answer(one, 0, 1)}}},
		{name: "reported as not run, but it ran", violated: true, runs: map[int]int{1: 1}, attempts: []attempt{{answer: notRun}}},
		{name: "reported as not run after it ran", violated: true, ticket: true, runs: allRan, attempts: []attempt{{answer: answer(one, 0, 1, 2)}, {answer: notRun, runsAtAnswer: 3}}},
		{name: "unreachable, but it ran", violated: true, runs: map[int]int{1: 1}, attempts: []attempt{{err: &client.Error{Kind: client.KindUnreachable}}}},
		{name: "ticket run twice", violated: true, ticket: true, runs: map[int]int{0: 1, 1: 2, 2: 1}, attempts: []attempt{{answer: answer(one, 0, 1, 2)}}},
		{name: "revision decreases", violated: true, seen: []uint64{1, 3, 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			re.runsOf = func(string) map[int]int { return tc.runs }
			re.searches = []searchRecord{{query: "q", ticket: tc.ticket, attempts: tc.attempts}}
			re.revisions = map[string][]uint64{"vm": tc.seen}
			if len(tc.attempts) == 0 {
				re.searches = nil
			}
			found := re.violations()
			t.Log(found)
			is.Equal(len(found) > 0, tc.violated)
		})
	}
}
