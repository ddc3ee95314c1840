package poison_test

import (
	"time"

	"laburnumvane/core/fanout"
	"laburnumvane/core/poison"
)

type simVM struct {
	index int
	table *poison.Table
	// unreachable holds the processes to which no connection could be opened.
	unreachable map[string]bool
	// waiting holds, by suspect request that is being tried on this VM, the arrivals that wait
	// for the result.
	waiting map[poison.Fingerprint][]func()
}

// share sends updates to the other VMs.
func (vm *simVM) share(ft *fleet, ups []poison.Update) {
	for _, up := range ups {
		if !up.Share {
			continue
		}
		if !up.Cleared {
			ft.schedule(hintDelay, func() {
				for _, other := range ft.vms {
					other.table.Hint(ft.now, up.Record)
				}
			})
		}
		ft.schedule(shareDelay, func() {
			for _, other := range ft.vms {
				if other == vm {
					continue
				}
				if up.Cleared {
					other.table.Unblock(ft.now, up.Fingerprint)
				} else {
					other.table.Merge(ft.now, up.Record)
				}
			}
		})
	}
}

// arrive processes the arrival of a request at a VM.
func (ft *fleet) arrive(vm *simVM, fp poison.Fingerprint, crashes bool, retries int) {
	kind := "others "
	if crashes {
		kind = "crashing "
	}
	ft.counts[kind+"arrived"]++
	st, _ := vm.table.Arrive(ft.now, fp)
	if st != poison.Suspect {
		ft.start(vm, fp, crashes, retries, st)
		return
	}
	owner := ft.vms[fp.Key()%uint64(len(ft.vms))]
	if owner == vm {
		ft.takeTurn(vm, fp, crashes, retries, ft.now)
		return
	}
	arrivedAt := ft.now
	ft.schedule(forwardDelay, func() {
		owner.table.Hint(ft.now, poison.Record{Fingerprint: fp})
		ft.takeTurn(owner, fp, crashes, retries, arrivedAt)
	})
}

// takeTurn starts a request, or queues it while it is suspect and being tried.
func (ft *fleet) takeTurn(vm *simVM, fp poison.Fingerprint, crashes bool, retries int, arrivedAt time.Duration) {
	st, _ := vm.table.Arrive(ft.now, fp)
	if st != poison.Suspect {
		ft.start(vm, fp, crashes, retries, st)
		return
	}
	if queued, busy := vm.waiting[fp]; busy {
		vm.waiting[fp] = append(queued, func() {
			if ft.now < arrivedAt+ft.callerTimeout() {
				ft.takeTurn(vm, fp, crashes, retries, arrivedAt)
			}
		})
		return
	}
	vm.waiting[fp] = nil
	ft.start(vm, fp, crashes, retries, st)
}

// releaseTurn ends a trial and starts the requests that waited for it.
func (ft *fleet) releaseTurn(vm *simVM, fp poison.Fingerprint) {
	queued := vm.waiting[fp]
	delete(vm.waiting, fp)
	for _, next := range queued {
		next()
	}
}

// start sends a request to servers, or refuses it if it is blocked.
func (ft *fleet) start(vm *simVM, fp poison.Fingerprint, crashes bool, retries int, st poison.State) {
	if st == poison.Blocked {
		kind := "others "
		if crashes {
			kind = "crashing "
		}
		ft.counts[kind+"refused"]++
		return
	}
	ar := &simArrival{ft: ft, vm: vm, fp: fp, crashes: crashes, suspect: st == poison.Suspect, retriesLeft: retries, arrivedAt: ft.now, sent: map[int]*simAttempt{}}
	hard := ft.callerTimeout()
	ar.mc = fanout.New(fanout.Config{
		Shards: ft.cfg.shards, MinParts: ft.cfg.shards - ft.cfg.shards/5, Idempotent: ft.cfg.idempotent, MaxAttempts: 2,
		Target: ft.now + hard/4, HardDeadline: ft.now + hard, HedgeAfter: 3 * ft.cfg.work, MinTimeLeft: 3 * ms,
		Suspect: ar.suspect, TrialGap: 5 * ms, Blocked: func() bool { return vm.table.Blocked(ft.now, fp) }, Rand: ft.rnd.Float64, Chooser: ar, Budget: ar,
	})
	ar.perform(ar.mc.Start(ft.now))
}
