package poison_test

import (
	"fmt"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/poison"
)

type simServer struct {
	shard, replica, generation int
	up                         *origin.Upstream
	down                       bool
}

func (sv *simServer) start() {
	sv.generation++
	sv.down = false
	sv.up = &origin.Upstream{ID: fmt.Sprintf("%d.%d.%d", sv.shard, sv.replica, sv.generation), Addr: fmt.Sprintf("%d.%d", sv.shard, sv.replica)}
}

// crash ends a server; all attempts there break.
func (ft *fleet) crash(sv *simServer) {
	if sv.down {
		return
	}
	sv.down = true
	ft.counts["ended"]++
	pr := sv.up.Process()
	attempts := ft.attempts[sv]
	ft.attempts[sv] = nil
	for _, at := range attempts {
		if at.closed {
			continue
		}
		at.closed = true
		ar := at.arrival
		ar.countBroken(1)
		ar.vm.share(ft, ar.vm.table.RecordBroken(ft.now, ar.fp, pr, at.endTrial(pr)))
	}
	for _, vm := range ft.vms {
		ft.schedule(dialDelay, func() { vm.share(ft, vm.table.RecordServerEnd(ft.now, pr)) })
	}
	for _, at := range attempts {
		at.arrival.step(fanout.Event{Kind: fanout.EvResult, Attempt: at.k, Verdict: fanout.Lost, Broken: true})
	}
	ft.schedule(restartTime, sv.start)
}

// breakConnection ends the connection of an attempt while its server keeps running.
func (ft *fleet) breakConnection(at *simAttempt, sv *simServer, generation int) {
	if at.closed || sv.generation != generation {
		return
	}
	at.closed = true
	ar, pr := at.arrival, sv.up.Process()
	ar.countBroken(1)
	ar.vm.share(ft, ar.vm.table.RecordBroken(ft.now, ar.fp, pr, at.endTrial(pr)))
	ar.step(fanout.Event{Kind: fanout.EvResult, Attempt: at.k, Verdict: fanout.Lost, Broken: true})
}

// endTrial ends an attempt and returns how it ran on its server.
func (at *simAttempt) endTrial(pr origin.Process) poison.TrialKind {
	if !at.trial {
		return poison.NotTrial
	}
	return at.arrival.vm.table.EndTrial(pr)
}
