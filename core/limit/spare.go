package limit

// Tokens is a budget of extra work; *budget.Budget is one.
type Tokens interface {
	Earn(n int)
	Spend() bool
	Refund()
	Charge(n int)
}

// Spare is the budget of one kind of search under the VM's budget of all kinds:
// extra work needs a token of each. Each kind may be modest and all of them
// together still a storm, since what makes one retry makes all.
type Spare struct {
	kind Tokens
	vm   Tokens
	// earns is set on one of a search's budgets alone: its primaries must
	// earn the VM's tokens once.
	earns bool
}

// Retries puts a kind's budget of retries under the VM's. It is this one that
// earns the VM's tokens.
func Retries(kind, vm Tokens) Spare {
	return Spare{kind: kind, vm: vm, earns: true}
}

// Hedges puts a kind's budget of hedges under the VM's.
func Hedges(kind, vm Tokens) Spare {
	return Spare{kind: kind, vm: vm}
}

// Earn credits n primaries.
func (sp Spare) Earn(n int) {
	sp.kind.Earn(n)
	if sp.earns {
		sp.vm.Earn(n)
	}
}

// Spend takes a token of each and tells whether there was one of each.
func (sp Spare) Spend() bool {
	if !sp.kind.Spend() {
		return false
	}
	if !sp.vm.Spend() {
		sp.kind.Refund()
		return false
	}
	return true
}

// Refund returns the tokens of work that was not sent after all.
func (sp Spare) Refund() {
	sp.kind.Refund()
	sp.vm.Refund()
}

// Charge takes n tokens of each, also where that leaves a debt.
func (sp Spare) Charge(n int) {
	sp.kind.Charge(n)
	sp.vm.Charge(n)
}
