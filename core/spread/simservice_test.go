package spread

import (
	"maps"
	"slices"
	"time"
)

// fakeService is the key-value service as the machines see it.
type fakeService struct {
	fl       *fleet
	revision uint64
	floor    uint64 // events up to it are compacted
	held     map[string]Update
	log      []Update
	logAt    []uint64
	waiters  []waiter
	past     *fakeService // reads come from here
	down     bool
	silent   bool
	slow     time.Duration
	calls    int
	writes   int
	perSec   map[int]int
}

type waiter struct {
	v    *vm
	ac   Watch
	life int
}

func (sv *fakeService) call(v *vm, run func()) {
	sv.calls++
	if sv.perSec == nil {
		sv.perSec = map[int]int{}
	}
	sv.perSec[int(sv.fl.Now()/time.Second)]++
	life := v.life
	sv.fl.After(sv.fl.link.Delay(near)+sv.slow, func() {
		if v.life == life && !sv.down && !sv.fl.cut(v.self.DataCentre, "service") {
			run()
		}
	})
}

// answer carries an answer, unless the connection is gone.
func (sv *fakeService) answer(v *vm, life int, size int, ev Event) {
	if sv.down || sv.fl.cut(v.self.DataCentre, "service") {
		return
	}
	v.count(size)
	sv.fl.After(sv.fl.link.Delay(near), func() {
		if v.life == life {
			v.step(ev)
		}
	})
}

func (sv *fakeService) readable() *fakeService {
	if sv.past != nil {
		return sv.past
	}
	return sv
}

func (sv *fakeService) ranged(v *vm, ac Range) {
	rd := sv.readable()
	ups := make([]Update, 0, len(rd.held))
	for _, team := range slices.Sorted(maps.Keys(rd.held)) {
		ups = append(ups, rd.held[team])
	}
	sv.answer(v, v.life, sv.valuesOf(ups), Ranged{Call: ac.Call, Revision: rd.revision, Updates: ups})
}

func (sv *fakeService) watch(v *vm, ac Watch) {
	wt := waiter{v: v, ac: ac, life: v.life}
	if sv.look(wt, false) {
		return
	}
	sv.waiters = append(sv.waiters, wt)
	sv.fl.After(ac.Wait, func() {
		sv.waiters = slices.DeleteFunc(sv.waiters, func(other waiter) bool {
			if other != wt {
				return false
			}
			sv.look(wt, true)
			return true
		})
	})
}

// look answers a watch if there is something to say, or if its wait is over.
func (sv *fakeService) look(wt waiter, over bool) bool {
	if sv.silent {
		return false
	}
	rd := sv.readable()
	if wt.ac.From < rd.floor {
		sv.answer(wt.v, wt.life, 0, Watched{Call: wt.ac.Call, Revision: rd.revision, Compacted: true})
		return true
	}
	var ups []Update
	for i, up := range rd.log {
		if rd.logAt[i] > wt.ac.From {
			ups = append(ups, up)
		}
	}
	if len(ups) == 0 && !over {
		return false
	}
	sv.answer(wt.v, wt.life, sv.valuesOf(ups), Watched{Call: wt.ac.Call, Revision: rd.revision, Updates: ups})
	return true
}

func (sv *fakeService) put(up Update) {
	sv.revision++
	sv.writes++
	sv.held[up.Team] = up
	sv.log = append(sv.log, up)
	sv.logAt = append(sv.logAt, sv.revision)
	sv.waiters = slices.DeleteFunc(sv.waiters, func(wt waiter) bool { return sv.look(wt, false) })
}

func (sv *fakeService) restore(up Update) {
	if sv.held[up.Team].Revision < up.Revision {
		sv.put(up)
	}
}

// copy is the service's state as a backup has it.
func (sv *fakeService) copy() *fakeService {
	return &fakeService{fl: sv.fl, revision: sv.revision, floor: sv.floor, held: maps.Clone(sv.held), log: slices.Clone(sv.log), logAt: slices.Clone(sv.logAt)}
}

// back puts the service back to a backup.
func (sv *fakeService) back(bk *fakeService) {
	sv.revision, sv.floor, sv.held, sv.log, sv.logAt = bk.revision, bk.floor, maps.Clone(bk.held), slices.Clone(bk.log), slices.Clone(bk.logAt)
}

func (sv *fakeService) compact() {
	sv.floor, sv.log, sv.logAt = sv.revision, nil, nil
}
