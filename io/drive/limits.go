package drive

import (
	"slices"
	"strings"

	"laburnumvane/core/admit"
	"laburnumvane/core/limit"
	"laburnumvane/io/wire"
)

// Queues lists the searches in flight and queued of each register that was searched on this VM,
// sorted by name.
func (dr *Driver) Queues() []wire.QueueOfVM {
	out := []wire.QueueOfVM{}
	dr.admission.queues.Range(func(key, aq any) bool {
		pk := key.(limit.PoolKey)
		out = append(out, aq.(*admissionQueue).status(pk.Team+"/"+pk.Register))
		return true
	})
	slices.SortFunc(out, func(a, b wire.QueueOfVM) int { return strings.Compare(a.Register, b.Register) })
	return out
}

func (aq *admissionQueue) status(register string) wire.QueueOfVM {
	aq.mu.Lock()
	defer aq.mu.Unlock()
	return wire.QueueOfVM{
		Register:    register,
		InFlight:    aq.machine.InFlight(),
		Urgent:      aq.machine.Queued(admit.Urgent),
		Interactive: aq.machine.Queued(admit.Interactive),
		Batch:       aq.machine.Queued(admit.Batch),
	}
}

// ExtraLeft returns the tokens left in the VM's budget of extra work. They may be below 0.
func (dr *Driver) ExtraLeft() int {
	return dr.admission.extra.Tokens()
}

// Budgets lists the tokens left for the extra work of each search that ran on this VM, sorted by
// name.
func (dr *Driver) Budgets() []wire.ExtraBudget {
	out := []wire.ExtraBudget{}
	dr.kinds.Range(func(key, kd any) bool {
		kk := key.(kindKey)
		out = append(out, wire.ExtraBudget{
			Search:  kk.team + "/" + kk.search,
			Hedges:  kd.(*searchKind).hedges.Tokens(),
			Retries: kd.(*searchKind).retries.Tokens(),
		})
		return true
	})
	slices.SortFunc(out, func(a, b wire.ExtraBudget) int { return strings.Compare(a.Search, b.Search) })
	return out
}
