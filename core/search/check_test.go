package search_test

import (
	"fmt"
	"time"

	"laburnumvane/core/search"
	"laburnumvane/core/view"
)

// checkAnswer compares an answer with what the servers did.
func (md *model) checkAnswer(an *search.Answer) {
	md.require(md.now <= md.cfg.HardDeadline, "answered after the hard deadline")
	md.require(an.Shards == md.maps[an.Snapshot], "claims %d shards for snapshot %d", an.Shards, an.Snapshot)
	md.checkCoverage(an)
	md.checkOutcome(an)
	md.checkWork(an)
	md.checkTiming(an)
}

// checkTiming checks that an incomplete answer is not given too early: before it,
// no open sub-request of a missing shard may be cancelled, and every missing shard
// must have used up its retries.
func (md *model) checkTiming(an *search.Answer) {
	if an.Outcome == search.OutcomeComplete || md.callerGone || md.now >= md.cfg.HardDeadline {
		return
	}
	if md.now >= md.cfg.SoftDeadline && md.enoughCoverage() {
		return
	}
	md.require(!md.cancelledMissing, "cancelled an open sub-request of a missing shard too early")
	if md.cfg.AtMostOnce || md.tokens.available <= 0 || md.cfg.HardDeadline-md.now < md.cfg.MinTimeLeft {
		return
	}
	last := md.subs[len(md.subs)-1].ac.Snapshot
	for i := range md.maps[last] {
		sends := md.sends(last, i)
		spent := sends > md.cfg.RetryPerShard || sends >= 3 && !md.lostServerRemains(last, i)
		md.require(md.used[last][i] || spent, "stopped retrying shard %d after %d attempts", i, sends)
	}
}

// lostServerRemains reports whether there is a server whose attempts on the shard
// all ended with a lost reply, so that it may be asked again.
func (md *model) lostServerRemains(version uint64, shard int) bool {
	other := map[view.ServerID]bool{}
	lost := map[view.ServerID]bool{}
	for _, sr := range md.subs {
		if sr.ac.Snapshot != version || sr.ac.Shard != shard {
			continue
		}
		if sr.lost() {
			lost[sr.ac.Server] = true
		} else {
			other[sr.ac.Server] = true
		}
	}
	for id := range lost {
		if !other[id] {
			return true
		}
	}
	return false
}

func (md *model) sends(version uint64, shard int) int {
	n := 0
	for _, sr := range md.subs {
		if sr.ac.Snapshot == version && sr.ac.Shard == shard {
			n++
		}
	}
	return n
}

func (md *model) checkCoverage(an *search.Answer) {
	md.require(an.Answered == len(md.used[an.Snapshot]), "coverage %d, true is %d", an.Answered, len(md.used[an.Snapshot]))
	md.require(an.Answered == len(an.Hits), "coverage %d with the hits of %d shards", an.Answered, len(an.Hits))
	for _, hi := range an.Hits {
		var version uint64
		var shard int
		_, err := fmt.Sscanf(hi.Member, "%d/%d", &version, &shard)
		md.require(err == nil && version == an.Snapshot, "hit %s in an answer of snapshot %d", hi.Member, an.Snapshot)
		md.require(md.used[version][shard], "hit %s was never delivered", hi.Member)
	}
	for version, shards := range md.used {
		coverage := float64(an.Answered) / float64(an.Shards)
		md.require(float64(len(shards))/float64(md.maps[version]) <= coverage, "snapshot %d covers more", version)
	}
}

func (md *model) checkOutcome(an *search.Answer) {
	ran, doubt := false, false
	for _, sr := range md.subs {
		ran = ran || sr.ran
		known := sr.delivered && (sr.event.Kind == search.EvRefused || sr.outcome == outcomeUnsent)
		doubt = doubt || !known
	}
	switch {
	case an.Answered == an.Shards:
		md.require(an.Outcome == search.OutcomeComplete, "all shards, but outcome %d", an.Outcome)
	case an.Answered > 0:
		md.require(an.Outcome == search.OutcomePartial, "some shards, but outcome %d", an.Outcome)
	case doubt:
		md.require(an.Outcome == search.OutcomeUnknown, "in doubt, but outcome %d", an.Outcome)
	default:
		md.require(an.Outcome == search.OutcomeNotRun, "nothing ran, but outcome %d", an.Outcome)
	}
	md.require(!ran || an.Outcome != search.OutcomeNotRun, "notRun, but a shard ran it")
	md.require(an.Outcome == search.OutcomeComplete || an.Reason != "", "not complete and no reason")
}

// checkWork checks that hedges and retries do not exceed the tokens spent and the
// attempts that cost no server any work.
func (md *model) checkWork(an *search.Answer) {
	md.require(an.Primaries+an.Hedges+an.Retries == len(md.subs), "work does not add up")
	free := 0
	for _, sr := range md.subs {
		if sr.delivered && (sr.outcome == outcomeSnapshotGone || sr.outcome == outcomeLeaving || sr.outcome == outcomeUnsent) {
			free++
		}
	}
	md.require(an.Hedges+an.Retries <= md.tokens.spent+free, "%d extra for %d tokens and %d free", an.Hedges+an.Retries, md.tokens.spent, free)
	if md.cfg.AtMostOnce {
		md.require(an.Hedges == 0, "hedged a search that must not be repeated")
	}
}

// checkState checks the invariants that hold after every event.
func (md *model) checkState() {
	open := 0
	for _, sr := range md.subs {
		if sr.open() {
			open++
			md.require(md.missing(sr.ac.Shard), "shard %d is answered, but has an open sub-request", sr.ac.Shard)
		}
	}
	md.require(md.mc.Settled() == (open == 0), "Settled is %v with %d open", md.mc.Settled(), open)
	if md.answer != nil {
		md.require(open == 0, "%d sub-requests left open by the answer", open)
		return
	}
	md.require(open > 0, "no answer, although no sub-request is open")
	md.require(md.now < md.cfg.HardDeadline, "no answer at the hard deadline")
	md.require(md.wake > 0, "waits without a timer")
	for version, shards := range md.used {
		md.require(len(shards) < md.maps[version], "no answer, although snapshot %d is complete", version)
	}
	md.require(md.now < md.cfg.SoftDeadline || !md.enoughCoverage(), "no answer at the soft deadline")
}

// missing reports whether a shard is missing under a version that the search may
// be using: the first one, or a newer one that it knows of.
func (md *model) missing(shard int) bool {
	if !md.used[firstVersion][shard] || md.newestGiven > firstVersion && !md.used[md.newestGiven][shard] {
		return true
	}
	for version := range md.used {
		if version > firstVersion && !md.used[version][shard] {
			return true
		}
	}
	return false
}

func (md *model) enoughCoverage() bool {
	for version, shards := range md.used {
		if float64(len(shards))/float64(md.maps[version]) >= md.cfg.MinCoverage {
			return true
		}
	}
	return false
}

// advanceTo advances the time to at and fires the timer when it is due.
func (md *model) advanceTo(at time.Duration) {
	for md.answer == nil && md.wake <= at {
		md.now = max(md.now, md.wake)
		asked := md.wake
		md.step(search.Event{Kind: search.EvWake})
		md.require(md.answer != nil || md.wake > asked, "timer fired at %v and was set to the same time again", asked)
	}
	md.now = max(md.now, at)
	md.checkState()
}
