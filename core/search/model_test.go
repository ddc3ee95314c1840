package search_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"laburnumvane/core/merge"
	"laburnumvane/core/search"
	"laburnumvane/core/view"
)

// fate is what really becomes of a sub-request, whatever its sender hears.
type fate uint8

const (
	fateReply fate = iota + 1
	fateOther
	fateRefused
	fateGone
	fateLeaving
	fateUnsent
	fateLostBefore
	fateLostAfter
	fateSilent
	fateWrongShard
	fateWrongMap
)

// flight is one sub-request in the model.
type flight struct {
	ac        search.Action
	fate      fate
	event     search.Event
	ran       bool
	told      bool
	cancelled bool
}

// world is the model: what the upstreams really did, and what the machine was
// told of it. It shares no code and no counts with the machine.
type world struct {
	rt    *rapid.T
	cfg   search.Config
	maps  map[uint64]int
	newer uint64
	// force is the newest snapshot that the machine has been given.
	force   uint64
	now     time.Duration
	wake    time.Duration
	mc      *search.Machine
	flights []*flight
	// used are the replies delivered in time, by version and shard.
	used   map[uint64]map[int]bool
	tokens *tokens
	answer *search.Answer
	// callerGone is set once the caller cancelled.
	callerGone bool
	// dropped is set if the last actions gave up work that was under way for a
	// shard which was still missing.
	dropped bool
}

// tokens is a budget that counts.
type tokens struct {
	have, spent int
}

func (tk *tokens) Earn(int) {}

func (tk *tokens) Spend() bool {
	if tk.have <= 0 {
		return false
	}
	tk.have--
	tk.spent++
	return true
}

func (tk *tokens) Refund() {
	tk.have++
	tk.spent--
}

func (tk *tokens) Charge(n int) {
	tk.have -= n
	tk.spent += n
}

// mapOf is the shard map of a version in the model.
func (wd *world) mapOf(version uint64) view.Snapshot {
	return snapshotOf(version, wd.maps[version])
}

func (wd *world) newerThan(version uint64) (view.Snapshot, bool) {
	if wd.newer <= version {
		return view.Snapshot{}, false
	}
	wd.force = wd.newer
	return wd.mapOf(wd.newer), true
}

// must fails the property unless ok.
func (wd *world) must(ok bool, format string, args ...any) {
	if !ok {
		wd.rt.Fatalf("%s (answer %+v)", fmt.Sprintf(format, args...), wd.answer)
	}
}

func (wd *world) step(ev search.Event) {
	if ev.Kind == search.EvWake {
		// The timer is used up, also where it fired too early.
		wd.wake = 0
	}
	wd.perform(wd.mc.Step(wd.now, ev))
}

func (wd *world) perform(actions []search.Action) {
	wd.dropped = false
	for _, ac := range actions {
		wd.must(wd.answer == nil, "action %d after the answer", ac.Kind)
		switch ac.Kind {
		case search.ActSend:
			wd.send(ac)
		case search.ActCancel:
			wd.cancel(ac)
		case search.ActWake:
			wd.must(ac.At <= wd.cfg.Hard, "asks to be woken after the hard deadline")
			wd.wake = ac.At
		case search.ActAnswer:
			wd.answer = ac.Answer
			wd.judge(ac.Answer)
		}
	}
	wd.judgeState()
}

func (wd *world) send(ac search.Action) {
	wd.must(int(ac.Sub.Attempt) == len(wd.flights), "attempt %v is out of order", ac.Sub)
	wd.must(wd.cfg.Hard-wd.now >= wd.cfg.LeastTime, "sent too late for its deadline")
	wd.must(ac.Deadline <= wd.cfg.Hard, "handed down a later deadline")
	wd.must(ac.Shard < wd.maps[ac.Snapshot], "shard %d lies outside the map of %d", ac.Shard, ac.Snapshot)
	wd.must(among(wd.mapOf(ac.Snapshot).Replicas[ac.Shard], ac.Server), "server %d does not hold shard %d", ac.Server, ac.Shard)
	wd.must(!wd.used[ac.Snapshot][ac.Shard], "shard %d of %d is there already", ac.Shard, ac.Snapshot)
	for _, fl := range wd.flights {
		first, now := wd.flights[0].ac.Snapshot, ac.Snapshot
		wd.must(fl.ac.Snapshot == first || fl.ac.Snapshot == now, "a third snapshot: %d", now)
		if fl.ac.Shard != ac.Shard {
			continue
		}
		again := fl.ac.Server == ac.Server && (fl.ac.Snapshot == ac.Snapshot || fl.open())
		back := fl.lost() && ac.Attempt == search.AttemptRetry && wd.askedAll(ac)
		wd.must(!again || back, "server %d is asked twice for shard %d", ac.Server, ac.Shard)
		if wd.cfg.Once {
			wd.must(fl.told && !fl.ran, "shard %d may run twice", ac.Shard)
		}
	}
	wd.flights = append(wd.flights, wd.draw(ac))
}

func (wd *world) cancel(ac search.Action) {
	fl := wd.flights[ac.Sub.Attempt]
	wd.must(!fl.told && !fl.cancelled, "cancels %v, which is settled", ac.Sub)
	wd.must(fl.ac.Server == ac.Server, "cancels %v at another server", ac.Sub)
	fl.cancelled = true
	there := false
	for _, shards := range wd.used {
		there = there || shards[ac.Shard]
	}
	wd.dropped = wd.dropped || !there
}

// lost tells whether the sender heard that a reply was lost.
func (fl *flight) lost() bool {
	return fl.told && fl.event.Kind == search.EvFailed && fl.event.Sent
}

// askedAll tells whether all servers of a shard were asked, or still are.
func (wd *world) askedAll(ac search.Action) bool {
	for _, id := range wd.mapOf(ac.Snapshot).Replicas[ac.Shard] {
		asked := false
		for _, fl := range wd.flights {
			same := fl.ac.Server == id && fl.ac.Shard == ac.Shard
			asked = asked || same && (fl.ac.Snapshot == ac.Snapshot || fl.open())
		}
		if !asked {
			return false
		}
	}
	return true
}

func (fl *flight) open() bool {
	return !fl.told && !fl.cancelled
}

// draw decides what becomes of a sub-request.
func (wd *world) draw(ac search.Action) *flight {
	fl := &flight{ac: ac, fate: rapid.SampledFrom(wd.fates()).Draw(wd.rt, "fate")}
	fl.event = search.Event{Kind: search.EvReply, Sub: ac.Sub, Shard: ac.Shard}
	fl.ran = true
	switch fl.fate {
	case fateReply:
		wd.fill(&fl.event, ac.Snapshot)
	case fateOther:
		wd.fill(&fl.event, wd.otherThan(ac.Snapshot))
	case fateWrongShard:
		wd.fill(&fl.event, ac.Snapshot)
		fl.event.Shard++
	case fateWrongMap:
		wd.fill(&fl.event, ac.Snapshot)
		fl.event.Shards += 3
	case fateRefused:
		fl.ran = false
		fl.event = search.Event{Kind: search.EvRefused, Sub: ac.Sub, Reason: "shed", RetryAfter: time.Millisecond}
	case fateGone:
		fl.ran = false
		fl.event = search.Event{Kind: search.EvRefused, Sub: ac.Sub, Reason: "snapshotGone", SnapshotGone: true}
	case fateLeaving:
		fl.ran = false
		fl.event = search.Event{Kind: search.EvRefused, Sub: ac.Sub, Reason: "draining", Elsewhere: true}
	case fateUnsent:
		fl.ran = false
		fl.event = search.Event{Kind: search.EvFailed, Sub: ac.Sub, Reason: "dial"}
	case fateLostBefore:
		fl.ran = false
		fl.event = search.Event{Kind: search.EvFailed, Sub: ac.Sub, Reason: "reset", Sent: true}
	case fateLostAfter, fateSilent:
		fl.event = search.Event{Kind: search.EvFailed, Sub: ac.Sub, Reason: "timeout", Sent: true}
	}
	return fl
}

func (wd *world) fates() []fate {
	return []fate{
		fateReply, fateReply, fateReply, fateReply, fateReply, fateOther, fateRefused, fateGone,
		fateLeaving, fateUnsent, fateLostBefore, fateLostAfter, fateSilent, fateWrongShard, fateWrongMap,
	}
}

func (wd *world) otherThan(version uint64) uint64 {
	versions := make([]uint64, 0, len(wd.maps))
	for v := firstVersion; v < firstVersion+uint64(len(wd.maps)); v++ {
		if v != version {
			versions = append(versions, v)
		}
	}
	return rapid.SampledFrom(versions).Draw(wd.rt, "otherVersion")
}

// fill makes a reply under a version; its only hit names version and shard, so
// that an answer shows by itself what it was made of.
func (wd *world) fill(ev *search.Event, version uint64) {
	ev.Snapshot = version
	ev.Shards = wd.maps[version]
	ev.Hits = []merge.Hit{{
		Member: fmt.Sprintf("%d/%04d", version, ev.Shard),
		Key:    fmt.Sprintf("%04d", ev.Shard),
	}}
}

// deliver tells the machine the end of a flight, perhaps not for the first time.
func (wd *world) deliver(fl *flight) {
	first := !fl.told && !fl.cancelled && wd.answer == nil
	fl.told = fl.told || !fl.cancelled
	if first && (fl.fate == fateReply || fl.fate == fateOther) && fl.event.Shard < fl.event.Shards {
		wd.use(fl.event.Snapshot, fl.event.Shard)
	}
	wd.step(fl.event)
}

func (wd *world) use(version uint64, shard int) {
	if wd.used[version] == nil {
		wd.used[version] = map[int]bool{}
	}
	wd.used[version][shard] = true
}
