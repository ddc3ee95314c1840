package poison_test

import (
	"fmt"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/poison"
)

type simServer struct {
	shard, replica, life int
	up                   *origin.Upstream
	down                 bool
}

func (sv *simServer) begin() {
	sv.life++
	sv.down = false
	sv.up = &origin.Upstream{ID: fmt.Sprintf("%d.%d.%d", sv.shard, sv.replica, sv.life), Addr: fmt.Sprintf("%d.%d", sv.shard, sv.replica)}
}

// end ends a server; whatever is under way there breaks.
func (fw *fleet) end(sv *simServer) {
	if sv.down {
		return
	}
	sv.down = true
	fw.tally["ended"]++
	pr := sv.up.Process()
	under := fw.flights[sv]
	fw.flights[sv] = nil
	for _, at := range under {
		if at.closed {
			continue
		}
		at.closed = true
		fl := at.fl
		fl.breaks(1)
		fl.vm.told(fw, fl.vm.table.Broken(fw.now, fl.fp, pr, at.ends(pr)))
	}
	for _, vm := range fw.vms {
		fw.after(dialTime, func() { vm.told(fw, vm.table.Ended(fw.now, pr)) })
	}
	for _, at := range under {
		at.fl.step(fanout.Event{Kind: fanout.EvResult, Attempt: at.k, Verdict: fanout.Lost, Broken: true})
	}
	fw.after(awayTime, sv.begin)
}

// breakOne ends one connection, of a server that lives.
func (fw *fleet) breakOne(at *simAttempt, sv *simServer, life int) {
	if at.closed || sv.life != life {
		return
	}
	at.closed = true
	fl, pr := at.fl, sv.up.Process()
	fl.breaks(1)
	fl.vm.told(fw, fl.vm.table.Broken(fw.now, fl.fp, pr, at.ends(pr)))
	fl.step(fanout.Event{Kind: fanout.EvResult, Attempt: at.k, Verdict: fanout.Lost, Broken: true})
}

// ends ends an attempt, and tells how it stood at its server.
func (at *simAttempt) ends(pr origin.Process) poison.Place {
	if !at.trial {
		return poison.Among
	}
	return at.fl.vm.table.EndTrial(pr)
}
