package spread

import (
	"maps"
	"slices"
	"time"
)

// fakeService simulates the key-value service.
type fakeService struct {
	fl          *fleet
	revision    uint64
	compactedTo uint64 // events up to it are compacted
	held        map[string]Update
	log         []Update
	logAt       []uint64
	waiters     []waiter
	stale       *fakeService // if set, reads return this older state
	down        bool
	watchesHang bool
	slow        time.Duration
	calls       int
	writes      int
	callsPerSec map[int]int
}

type waiter struct {
	v           *vm
	watch       Watch
	incarnation int
}

func (sv *fakeService) call(v *vm, f func()) {
	sv.calls++
	if sv.callsPerSec == nil {
		sv.callsPerSec = map[int]int{}
	}
	sv.callsPerSec[int(sv.fl.Now()/time.Second)]++
	incarnation := v.incarnation
	sv.fl.After(sv.fl.link.Delay(localDelay)+sv.slow, func() {
		if v.incarnation == incarnation && !sv.down && !sv.fl.cut(v.self.DataCentre, "service") {
			f()
		}
	})
}

// answer delivers an answer, unless the service is down or cut off.
func (sv *fakeService) answer(v *vm, incarnation int, size int, ev Event) {
	if sv.down || sv.fl.cut(v.self.DataCentre, "service") {
		return
	}
	v.count(size)
	sv.fl.After(sv.fl.link.Delay(localDelay), func() {
		if v.incarnation == incarnation {
			v.step(ev)
		}
	})
}

func (sv *fakeService) source() *fakeService {
	if sv.stale != nil {
		return sv.stale
	}
	return sv
}

func (sv *fakeService) answerRange(v *vm, ac Range) {
	src := sv.source()
	ups := make([]Update, 0, len(src.held))
	for _, team := range slices.Sorted(maps.Keys(src.held)) {
		ups = append(ups, src.held[team])
	}
	sv.answer(v, v.incarnation, sv.valueBytes(ups), Ranged{Call: ac.Call, Revision: src.revision, Updates: ups})
}

func (sv *fakeService) watch(v *vm, ac Watch) {
	wt := waiter{v: v, watch: ac, incarnation: v.incarnation}
	if sv.answerWatch(wt, false) {
		return
	}
	sv.waiters = append(sv.waiters, wt)
	sv.fl.After(ac.Wait, func() {
		sv.waiters = slices.DeleteFunc(sv.waiters, func(other waiter) bool {
			if other != wt {
				return false
			}
			sv.answerWatch(wt, true)
			return true
		})
	})
}

// answerWatch answers a watch if there are events for it or its wait is over, and reports whether
// it did.
func (sv *fakeService) answerWatch(wt waiter, waitOver bool) bool {
	if sv.watchesHang {
		return false
	}
	src := sv.source()
	if wt.watch.From < src.compactedTo {
		sv.answer(wt.v, wt.incarnation, 0, Watched{Call: wt.watch.Call, Revision: src.revision, Compacted: true})
		return true
	}
	var ups []Update
	for i, up := range src.log {
		if src.logAt[i] > wt.watch.From {
			ups = append(ups, up)
		}
	}
	if len(ups) == 0 && !waitOver {
		return false
	}
	sv.answer(wt.v, wt.incarnation, sv.valueBytes(ups), Watched{Call: wt.watch.Call, Revision: src.revision, Updates: ups})
	return true
}

func (sv *fakeService) put(up Update) {
	sv.revision++
	sv.writes++
	sv.held[up.Team] = up
	sv.log = append(sv.log, up)
	sv.logAt = append(sv.logAt, sv.revision)
	sv.waiters = slices.DeleteFunc(sv.waiters, func(wt waiter) bool { return sv.answerWatch(wt, false) })
}

func (sv *fakeService) restore(up Update) {
	if sv.held[up.Team].Revision < up.Revision {
		sv.put(up)
	}
}

// copy returns a backup of the service's state.
func (sv *fakeService) copy() *fakeService {
	return &fakeService{fl: sv.fl, revision: sv.revision, compactedTo: sv.compactedTo, held: maps.Clone(sv.held), log: slices.Clone(sv.log), logAt: slices.Clone(sv.logAt)}
}

// restoreBackup sets the service back to a backup.
func (sv *fakeService) restoreBackup(bk *fakeService) {
	sv.revision, sv.compactedTo, sv.held, sv.log, sv.logAt = bk.revision, bk.compactedTo, maps.Clone(bk.held), slices.Clone(bk.log), slices.Clone(bk.logAt)
}

func (sv *fakeService) compact() {
	sv.compactedTo, sv.log, sv.logAt = sv.revision, nil, nil
}
