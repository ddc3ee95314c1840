package drive

import (
	"slices"
	"strings"

	"laburnumvane/core/admit"
	"laburnumvane/core/limit"
	"laburnumvane/io/wire"
)

// Queues lists the searches under way and waiting of each register that was
// searched here, by name.
func (dr *Driver) Queues() []wire.QueueOfVM {
	out := []wire.QueueOfVM{}
	dr.admission.doors.Range(func(key, do any) bool {
		pk := key.(limit.PoolKey)
		out = append(out, do.(*door).status(pk.Team+"/"+pk.Register))
		return true
	})
	slices.SortFunc(out, func(a, b wire.QueueOfVM) int { return strings.Compare(a.Register, b.Register) })
	return out
}

func (do *door) status(register string) wire.QueueOfVM {
	do.mu.Lock()
	defer do.mu.Unlock()
	return wire.QueueOfVM{
		Register:    register,
		InFlight:    do.machine.InFlight(),
		Urgent:      do.machine.Queued(admit.Urgent),
		Interactive: do.machine.Queued(admit.Interactive),
		Batch:       do.machine.Queued(admit.Batch),
	}
}

// ExtraLeft is the tokens of the VM's budget of extra work, below 0 in debt.
func (dr *Driver) ExtraLeft() int {
	return dr.admission.spare.Tokens()
}

// Budgets lists what is left for the extra work of each search that ran here,
// by name.
func (dr *Driver) Budgets() []wire.ExtraBudget {
	out := []wire.ExtraBudget{}
	dr.kinds.Range(func(key, kd any) bool {
		kk := key.(kindKey)
		out = append(out, wire.ExtraBudget{
			Search:  kk.team + "/" + kk.search,
			Hedges:  kd.(*kind).hedges.Tokens(),
			Retries: kd.(*kind).retries.Tokens(),
		})
		return true
	})
	slices.SortFunc(out, func(a, b wire.ExtraBudget) int { return strings.Compare(a.Search, b.Search) })
	return out
}
