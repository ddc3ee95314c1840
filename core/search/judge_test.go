package search_test

import (
	"fmt"
	"time"

	"laburnumvane/core/search"
	"laburnumvane/core/view"
)

// judge holds an answer against what really happened.
func (wd *world) judge(an *search.Answer) {
	wd.must(wd.now <= wd.cfg.Hard, "answered after the hard deadline")
	wd.must(an.Shards == wd.maps[an.Snapshot], "claims %d shards for snapshot %d", an.Shards, an.Snapshot)
	wd.judgeCoverage(an)
	wd.judgeOutcome(an)
	wd.judgeWork(an)
	wd.judgeTime(an)
}

// judgeTime holds that nothing is given up before its time: neither work under
// way nor a shard that another server could still be asked for.
func (wd *world) judgeTime(an *search.Answer) {
	if an.Outcome == search.OutcomeComplete || wd.callerGone || wd.now >= wd.cfg.Hard {
		return
	}
	if wd.now >= wd.cfg.Soft && wd.coveredEnough() {
		return
	}
	wd.must(!wd.dropped, "gave up work under way before its time")
	if wd.cfg.Once || wd.tokens.have <= 0 || wd.cfg.Hard-wd.now < wd.cfg.LeastTime {
		return
	}
	last := wd.flights[len(wd.flights)-1].ac.Snapshot
	for i := range wd.maps[last] {
		sends := wd.sends(last, i)
		spent := sends > wd.cfg.RetryPerShard || sends >= 3 && !wd.anyLost(last, i)
		wd.must(wd.used[last][i] || spent, "gave up shard %d after %d attempts", i, sends)
	}
}

// anyLost tells whether a server's only attempts on a shard ended with a lost
// reply, so that it may be asked again.
func (wd *world) anyLost(version uint64, shard int) bool {
	other := map[view.ServerID]bool{}
	lost := map[view.ServerID]bool{}
	for _, fl := range wd.flights {
		if fl.ac.Snapshot != version || fl.ac.Shard != shard {
			continue
		}
		if fl.lost() {
			lost[fl.ac.Server] = true
		} else {
			other[fl.ac.Server] = true
		}
	}
	for id := range lost {
		if !other[id] {
			return true
		}
	}
	return false
}

func (wd *world) sends(version uint64, shard int) int {
	n := 0
	for _, fl := range wd.flights {
		if fl.ac.Snapshot == version && fl.ac.Shard == shard {
			n++
		}
	}
	return n
}

func (wd *world) judgeCoverage(an *search.Answer) {
	wd.must(an.Answered == len(wd.used[an.Snapshot]), "coverage %d, true is %d", an.Answered, len(wd.used[an.Snapshot]))
	wd.must(an.Answered == len(an.Hits), "coverage %d with the hits of %d shards", an.Answered, len(an.Hits))
	for _, hi := range an.Hits {
		var version uint64
		var shard int
		_, err := fmt.Sscanf(hi.Member, "%d/%d", &version, &shard)
		wd.must(err == nil && version == an.Snapshot, "hit %s in an answer of snapshot %d", hi.Member, an.Snapshot)
		wd.must(wd.used[version][shard], "hit %s was never delivered", hi.Member)
	}
	for version, shards := range wd.used {
		mine := float64(an.Answered) / float64(an.Shards)
		wd.must(float64(len(shards))/float64(wd.maps[version]) <= mine, "snapshot %d covers more", version)
	}
}

func (wd *world) judgeOutcome(an *search.Answer) {
	ran, doubt := false, false
	for _, fl := range wd.flights {
		ran = ran || fl.ran
		known := fl.told && (fl.event.Kind == search.EvRefused || fl.fate == fateUnsent)
		doubt = doubt || !known
	}
	switch {
	case an.Answered == an.Shards:
		wd.must(an.Outcome == search.OutcomeComplete, "all shards, but outcome %d", an.Outcome)
	case an.Answered > 0:
		wd.must(an.Outcome == search.OutcomePartial, "some shards, but outcome %d", an.Outcome)
	case doubt:
		wd.must(an.Outcome == search.OutcomeUnknown, "in doubt, but outcome %d", an.Outcome)
	default:
		wd.must(an.Outcome == search.OutcomeNotRun, "nothing ran, but outcome %d", an.Outcome)
	}
	wd.must(!ran || an.Outcome != search.OutcomeNotRun, "notRun, but a shard ran it")
	wd.must(an.Outcome == search.OutcomeComplete || an.Reason != "", "not complete and no reason")
}

// judgeWork holds the extra sub-requests against the tokens spent and the
// attempts that cost nobody anything.
func (wd *world) judgeWork(an *search.Answer) {
	wd.must(an.Primaries+an.Hedges+an.Retries == len(wd.flights), "work does not add up")
	free := 0
	for _, fl := range wd.flights {
		if fl.told && (fl.fate == fateGone || fl.fate == fateLeaving || fl.fate == fateUnsent) {
			free++
		}
	}
	wd.must(an.Hedges+an.Retries <= wd.tokens.spent+free, "%d extra for %d tokens and %d free", an.Hedges+an.Retries, wd.tokens.spent, free)
	if wd.cfg.Once {
		wd.must(an.Hedges == 0, "hedged a search that must not be repeated")
	}
}

// judgeState holds between any two events.
func (wd *world) judgeState() {
	open := 0
	for _, fl := range wd.flights {
		if fl.open() {
			open++
			wd.must(wd.missing(fl.ac.Shard), "shard %d is there, and another attempt goes on", fl.ac.Shard)
		}
	}
	wd.must(wd.mc.Settled() == (open == 0), "Settled is %v with %d open", wd.mc.Settled(), open)
	if wd.answer != nil {
		wd.must(open == 0, "%d sub-requests left open by the answer", open)
		return
	}
	wd.must(open > 0, "waits, although nothing more can come")
	wd.must(wd.now < wd.cfg.Hard, "no answer at the hard deadline")
	wd.must(wd.wake > 0, "waits without a time to be woken")
	for version, shards := range wd.used {
		wd.must(len(shards) < wd.maps[version], "snapshot %d is whole, and no answer", version)
	}
	wd.must(wd.now < wd.cfg.Soft || !wd.coveredEnough(), "no answer at the soft deadline")
}

// missing tells whether a shard is missing under a version that the search may
// be after: the one it began with, or a newer one that it knows of.
func (wd *world) missing(shard int) bool {
	if !wd.used[firstVersion][shard] || wd.force > firstVersion && !wd.used[wd.force][shard] {
		return true
	}
	for version := range wd.used {
		if version > firstVersion && !wd.used[version][shard] {
			return true
		}
	}
	return false
}

func (wd *world) coveredEnough() bool {
	for version, shards := range wd.used {
		if float64(len(shards))/float64(wd.maps[version]) >= wd.cfg.MinCoverage {
			return true
		}
	}
	return false
}

// pass lets time go on to at, waking the machine when it asked for it.
func (wd *world) pass(at time.Duration) {
	for wd.answer == nil && wd.wake <= at {
		wd.now = max(wd.now, wd.wake)
		asked := wd.wake
		wd.step(search.Event{Kind: search.EvWake})
		wd.must(wd.answer != nil || wd.wake > asked, "woken at %v and asks for it again", asked)
	}
	wd.now = max(wd.now, at)
	wd.judgeState()
}
