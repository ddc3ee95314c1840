package search_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"laburnumvane/core/merge"
	"laburnumvane/core/search"
	"laburnumvane/core/view"
)

// outcome is what happens to a sub-request at the server and on its way back.
type outcome uint8

const (
	outcomeReply outcome = iota + 1
	outcomeOtherVersion
	outcomeShed
	outcomeSnapshotGone
	outcomeLeaving
	outcomeUnsent
	outcomeLostBeforeRun
	outcomeLostAfterRun
	outcomeSilent
	outcomeWrongShard
	outcomeWrongMap
)

// subRequest is one sub-request in the model.
type subRequest struct {
	ac        search.Action
	outcome   outcome
	event     search.Event
	ran       bool
	delivered bool
	cancelled bool
}

// model records what the upstream servers did and which events the machine
// received. It shares no code and no counts with the machine.
type model struct {
	rt    *rapid.T
	cfg   search.Config
	maps  map[uint64]int
	newer uint64
	// newestGiven is the newest version that Newer returned to the machine.
	newestGiven uint64
	now         time.Duration
	wake        time.Duration
	mc          *search.Machine
	subs        []*subRequest
	// used holds the replies delivered in time, by version and shard.
	used   map[uint64]map[int]bool
	tokens *countingBudget
	answer *search.Answer
	// callerGone is set once the caller has cancelled.
	callerGone bool
	// cancelledMissing is set if the last actions cancelled a sub-request for a
	// shard that was still missing.
	cancelledMissing bool
}

// countingBudget is a budget that counts the tokens spent.
type countingBudget struct {
	available, spent int
}

func (cb *countingBudget) Earn(int) {}

func (cb *countingBudget) Spend() bool {
	if cb.available <= 0 {
		return false
	}
	cb.available--
	cb.spent++
	return true
}

func (cb *countingBudget) Refund() {
	cb.available++
	cb.spent--
}

func (cb *countingBudget) Charge(n int) {
	cb.available -= n
	cb.spent += n
}

// mapOf returns the snapshot of a version in the model.
func (md *model) mapOf(version uint64) view.Snapshot {
	return snapshotOf(version, md.maps[version])
}

func (md *model) newerThan(version uint64) (view.Snapshot, bool) {
	if md.newer <= version {
		return view.Snapshot{}, false
	}
	md.newestGiven = md.newer
	return md.mapOf(md.newer), true
}

// require fails the test unless ok.
func (md *model) require(ok bool, format string, args ...any) {
	if !ok {
		md.rt.Fatalf("%s (answer %+v)", fmt.Sprintf(format, args...), md.answer)
	}
}

func (md *model) step(ev search.Event) {
	if ev.Kind == search.EvWake {
		// The timer is no longer set, even if it fired too early.
		md.wake = 0
	}
	md.perform(md.mc.Step(md.now, ev))
}

func (md *model) perform(actions []search.Action) {
	md.cancelledMissing = false
	for _, ac := range actions {
		md.require(md.answer == nil, "action %d after the answer", ac.Kind)
		switch ac.Kind {
		case search.ActSend:
			md.send(ac)
		case search.ActCancel:
			md.cancel(ac)
		case search.ActWake:
			md.require(ac.At <= md.cfg.HardDeadline, "set a timer after the hard deadline")
			md.wake = ac.At
		case search.ActAnswer:
			md.answer = ac.Answer
			md.checkAnswer(ac.Answer)
		}
	}
	md.checkState()
}

func (md *model) send(ac search.Action) {
	md.require(int(ac.Sub.Attempt) == len(md.subs), "attempt %v is out of order", ac.Sub)
	md.require(md.cfg.HardDeadline-md.now >= md.cfg.MinTimeLeft, "sent too late for its deadline")
	md.require(ac.Deadline <= md.cfg.HardDeadline, "sent with a deadline after the hard deadline")
	md.require(ac.Shard < md.maps[ac.Snapshot], "shard %d lies outside the map of %d", ac.Shard, ac.Snapshot)
	md.require(contains(md.mapOf(ac.Snapshot).Replicas[ac.Shard], ac.Server), "server %d does not hold shard %d", ac.Server, ac.Shard)
	md.require(!md.used[ac.Snapshot][ac.Shard], "shard %d of snapshot %d is already answered", ac.Shard, ac.Snapshot)
	for _, sr := range md.subs {
		first, now := md.subs[0].ac.Snapshot, ac.Snapshot
		md.require(sr.ac.Snapshot == first || sr.ac.Snapshot == now, "sent for a third snapshot: %d", now)
		if sr.ac.Shard != ac.Shard {
			continue
		}
		again := sr.ac.Server == ac.Server && (sr.ac.Snapshot == ac.Snapshot || sr.open())
		back := sr.lost() && ac.Attempt == search.AttemptRetry && md.askedAll(ac)
		md.require(!again || back, "server %d is asked twice for shard %d", ac.Server, ac.Shard)
		if md.cfg.AtMostOnce {
			md.require(sr.delivered && !sr.ran, "shard %d may run twice", ac.Shard)
		}
	}
	md.subs = append(md.subs, md.drawOutcome(ac))
}

func (md *model) cancel(ac search.Action) {
	sr := md.subs[ac.Sub.Attempt]
	md.require(!sr.delivered && !sr.cancelled, "cancelled %v, which has ended", ac.Sub)
	md.require(sr.ac.Server == ac.Server, "cancelled %v at another server", ac.Sub)
	sr.cancelled = true
	there := false
	for _, shards := range md.used {
		there = there || shards[ac.Shard]
	}
	md.cancelledMissing = md.cancelledMissing || !there
}

// lost reports whether the machine was informed that the reply was lost.
func (sr *subRequest) lost() bool {
	return sr.delivered && sr.event.Kind == search.EvFailed && sr.event.Sent
}

// askedAll reports whether all servers of a shard were asked under the snapshot or
// have an open sub-request for the shard.
func (md *model) askedAll(ac search.Action) bool {
	for _, id := range md.mapOf(ac.Snapshot).Replicas[ac.Shard] {
		asked := false
		for _, sr := range md.subs {
			same := sr.ac.Server == id && sr.ac.Shard == ac.Shard
			asked = asked || same && (sr.ac.Snapshot == ac.Snapshot || sr.open())
		}
		if !asked {
			return false
		}
	}
	return true
}

func (sr *subRequest) open() bool {
	return !sr.delivered && !sr.cancelled
}

// drawOutcome draws the outcome of a sub-request and its event.
func (md *model) drawOutcome(ac search.Action) *subRequest {
	sr := &subRequest{ac: ac, outcome: rapid.SampledFrom(md.outcomes()).Draw(md.rt, "outcome")}
	sr.event = search.Event{Kind: search.EvReply, Sub: ac.Sub, Shard: ac.Shard}
	sr.ran = true
	switch sr.outcome {
	case outcomeReply:
		md.fillReply(&sr.event, ac.Snapshot)
	case outcomeOtherVersion:
		md.fillReply(&sr.event, md.otherThan(ac.Snapshot))
	case outcomeWrongShard:
		md.fillReply(&sr.event, ac.Snapshot)
		sr.event.Shard++
	case outcomeWrongMap:
		md.fillReply(&sr.event, ac.Snapshot)
		sr.event.Shards += 3
	case outcomeShed:
		sr.ran = false
		sr.event = search.Event{Kind: search.EvRefused, Sub: ac.Sub, Reason: "shed", RetryAfter: time.Millisecond}
	case outcomeSnapshotGone:
		sr.ran = false
		sr.event = search.Event{Kind: search.EvRefused, Sub: ac.Sub, Reason: "snapshotGone", SnapshotGone: true}
	case outcomeLeaving:
		sr.ran = false
		sr.event = search.Event{Kind: search.EvRefused, Sub: ac.Sub, Reason: "draining", Elsewhere: true}
	case outcomeUnsent:
		sr.ran = false
		sr.event = search.Event{Kind: search.EvFailed, Sub: ac.Sub, Reason: "dial"}
	case outcomeLostBeforeRun:
		sr.ran = false
		sr.event = search.Event{Kind: search.EvFailed, Sub: ac.Sub, Reason: "reset", Sent: true}
	case outcomeLostAfterRun, outcomeSilent:
		sr.event = search.Event{Kind: search.EvFailed, Sub: ac.Sub, Reason: "timeout", Sent: true}
	}
	return sr
}

func (md *model) outcomes() []outcome {
	return []outcome{
		outcomeReply, outcomeReply, outcomeReply, outcomeReply, outcomeReply, outcomeOtherVersion, outcomeShed, outcomeSnapshotGone,
		outcomeLeaving, outcomeUnsent, outcomeLostBeforeRun, outcomeLostAfterRun, outcomeSilent, outcomeWrongShard, outcomeWrongMap,
	}
}

func (md *model) otherThan(version uint64) uint64 {
	versions := make([]uint64, 0, len(md.maps))
	for v := firstVersion; v < firstVersion+uint64(len(md.maps)); v++ {
		if v != version {
			versions = append(versions, v)
		}
	}
	return rapid.SampledFrom(versions).Draw(md.rt, "otherVersion")
}

// fillReply fills in a reply under a version. Its only hit names version and shard,
// so that an answer shows which replies it contains.
func (md *model) fillReply(ev *search.Event, version uint64) {
	ev.Snapshot = version
	ev.Shards = md.maps[version]
	ev.Hits = []merge.Hit{{
		Member: fmt.Sprintf("%d/%04d", version, ev.Shard),
		Key:    fmt.Sprintf("%04d", ev.Shard),
	}}
}

// deliver passes the event of a sub-request to the machine, possibly as a
// duplicate.
func (md *model) deliver(sr *subRequest) {
	first := !sr.delivered && !sr.cancelled && md.answer == nil
	sr.delivered = sr.delivered || !sr.cancelled
	if first && (sr.outcome == outcomeReply || sr.outcome == outcomeOtherVersion) && sr.event.Shard < sr.event.Shards {
		md.markUsed(sr.event.Snapshot, sr.event.Shard)
	}
	md.step(sr.event)
}

func (md *model) markUsed(version uint64, shard int) {
	if md.used[version] == nil {
		md.used[version] = map[int]bool{}
	}
	md.used[version][shard] = true
}
