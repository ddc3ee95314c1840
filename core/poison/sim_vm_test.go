package poison_test

import (
	"time"

	"laburnumvane/core/fanout"
	"laburnumvane/core/poison"
)

type simVM struct {
	index int
	table *poison.Table
	// away are the processes that could not be reached.
	away map[string]bool
	// turns holds, for each suspect request that is being tried here, those that wait.
	turns map[poison.Fingerprint][]func()
}

// told passes on to the other VMs what they should hear.
func (vm *simVM) told(fw *fleet, ups []poison.Update) {
	for _, up := range ups {
		if !up.Share {
			continue
		}
		if !up.Cleared {
			fw.after(hintTime, func() {
				for _, other := range fw.vms {
					other.table.Hint(fw.now, up.Record)
				}
			})
		}
		fw.after(shareTime, func() {
			for _, other := range fw.vms {
				if other == vm {
					continue
				}
				if up.Cleared {
					other.table.Release(fw.now, up.Fingerprint)
				} else {
					other.table.Learn(fw.now, up.Record)
				}
			}
		})
	}
}

// arrive brings a request to a VM.
func (fw *fleet) arrive(vm *simVM, fp poison.Fingerprint, crashes bool, tries int) {
	kind := "others "
	if crashes {
		kind = "crashing "
	}
	fw.tally[kind+"arrived"]++
	st, _ := vm.table.Arrive(fw.now, fp)
	if st != poison.Suspect {
		fw.begin(vm, fp, crashes, tries, st)
		return
	}
	owner := fw.vms[fp.Key()%uint64(len(fw.vms))]
	if owner == vm {
		fw.take(vm, fp, crashes, tries, fw.now)
		return
	}
	began := fw.now
	fw.after(hopTime, func() {
		owner.table.Hint(fw.now, poison.Record{Fingerprint: fp})
		fw.take(owner, fp, crashes, tries, began)
	})
}

// take takes a request in its turn, if it is still a suspect.
func (fw *fleet) take(vm *simVM, fp poison.Fingerprint, crashes bool, tries int, began time.Duration) {
	st, _ := vm.table.Arrive(fw.now, fp)
	if st != poison.Suspect {
		fw.begin(vm, fp, crashes, tries, st)
		return
	}
	if waiting, busy := vm.turns[fp]; busy {
		vm.turns[fp] = append(waiting, func() {
			if fw.now < began+fw.patience() {
				fw.take(vm, fp, crashes, tries, began)
			}
		})
		return
	}
	vm.turns[fp] = nil
	fw.begin(vm, fp, crashes, tries, st)
}

// release ends a turn.
func (fw *fleet) release(vm *simVM, fp poison.Fingerprint) {
	waiting := vm.turns[fp]
	delete(vm.turns, fp)
	for _, next := range waiting {
		next()
	}
}

// begin runs a request, or refuses it.
func (fw *fleet) begin(vm *simVM, fp poison.Fingerprint, crashes bool, tries int, st poison.State) {
	if st == poison.Blocked {
		kind := "others "
		if crashes {
			kind = "crashing "
		}
		fw.tally[kind+"refused"]++
		return
	}
	fl := &simFlight{fw: fw, vm: vm, fp: fp, crashes: crashes, suspect: st == poison.Suspect, tries: tries, began: fw.now, sent: map[int]*simAttempt{}}
	hard := fw.patience()
	fl.mc = fanout.New(fanout.Config{
		Shards: fw.sh.shards, MinParts: fw.sh.shards - fw.sh.shards/5, Idempotent: fw.sh.idempotent, MaxAttempts: 2,
		Target: fw.now + hard/4, Hard: fw.now + hard, HedgeAfter: 3 * fw.sh.work, LeastTime: 3 * ms,
		Suspect: fl.suspect, TrialGap: 5 * ms, Blocked: func() bool { return vm.table.Blocked(fw.now, fp) }, Draw: fw.rnd.Float64, Chooser: fl, Budget: fl,
	})
	fl.perform(fl.mc.Start(fw.now))
}
