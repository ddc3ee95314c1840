package limit

// Budget is a token bucket for hedges and retries; *budget.Budget implements it.
type Budget interface {
	Earn(n int)
	Spend() bool
	Refund()
	Charge(n int)
}

// CombinedBudget combines the budget of one kind of search with the VM's budget for
// all kinds: each hedge or retry needs a token of both. The budgets of the kinds alone
// do not suffice, since the cause of retries of one kind usually affects all kinds at
// once.
type CombinedBudget struct {
	kind Budget
	vm   Budget
	// earnsVM is set if Earn credits the VM's budget, too. It is set on only one
	// of a search's two budgets, so that its primaries count once.
	earnsVM bool
}

// RetryBudget combines a kind's retry budget with the VM's budget. Its Earn credits the
// VM's budget, too.
func RetryBudget(kind, vm Budget) CombinedBudget {
	return CombinedBudget{kind: kind, vm: vm, earnsVM: true}
}

// HedgeBudget combines a kind's hedge budget with the VM's budget. Its Earn does not credit
// the VM's budget.
func HedgeBudget(kind, vm Budget) CombinedBudget {
	return CombinedBudget{kind: kind, vm: vm}
}

// Earn credits the budget for n primary sub-requests.
func (cb CombinedBudget) Earn(n int) {
	cb.kind.Earn(n)
	if cb.earnsVM {
		cb.vm.Earn(n)
	}
}

// Spend takes a token of both budgets; if either has none, it takes none and returns
// false.
func (cb CombinedBudget) Spend() bool {
	if !cb.kind.Spend() {
		return false
	}
	if !cb.vm.Spend() {
		cb.kind.Refund()
		return false
	}
	return true
}

// Refund returns the tokens of a sub-request that was not sent after all.
func (cb CombinedBudget) Refund() {
	cb.kind.Refund()
	cb.vm.Refund()
}

// Charge takes n tokens of both budgets even if a balance becomes negative.
func (cb CombinedBudget) Charge(n int) {
	cb.kind.Charge(n)
	cb.vm.Charge(n)
}
