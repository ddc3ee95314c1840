package quota_test

import (
	"time"

	"laburnumvane/core/acct"
	"laburnumvane/core/quota"
	"laburnumvane/core/rank"
)

func (sv *simVM) holders(fl *fleet, account string) *quota.Holders {
	ho := sv.view.Holders(account)
	if !fl.oneOwner {
		return ho
	}
	if one, ok := sv.owners[account]; ok {
		return one
	}
	// The owner is the first holder of the account's own data centre.
	one := &quota.Holders{Fleet: fl.ownerFleet(sv), Rank: -1, Local: 1}
	owner := ""
	best := uint64(0)
	consider := func(addr string, rk int) {
		if score := rank.Hash(account, addr); rk == 0 && score >= best {
			owner, best = addr, score
		}
	}
	consider(sv.vm.Addr, ho.Rank)
	for _, pe := range ho.Peers {
		consider(pe.Addr, pe.Rank)
	}
	if owner == sv.vm.Addr {
		one.Rank = 0
	} else {
		one.Peers = []quota.Peer{{Addr: owner, Local: true}}
	}
	sv.owners[account] = one
	return one
}

// ownerFleet makes the owner's part the whole limit.
func (fl *fleet) ownerFleet(sv *simVM) *quota.Fleet {
	if sv.ownerFleet == nil {
		sv.ownerFleet = &quota.Fleet{VMs: len(fl.vms), DataCentres: 1, Listed: true}
	}
	return sv.ownerFleet
}

// request has a VM run a request of an account, if the limit permits.
func (fl *fleet) request(sv *simVM, account string) {
	if !sv.running || sv.view == nil {
		return
	}
	if fl.Now() < sv.frozenUntil {
		if fl.target > 0 {
			fl.After(sv.frozenUntil-fl.Now(), func() { fl.request(sv, account) })
		}
		return
	}
	ac := sv.accounts[account]
	if ac == nil {
		return
	}
	within := fl.takeIdeal(account)
	if within {
		fl.total.ideal++
	}
	fl.total.asked++
	began := fl.Now()
	if !ac.Limited() {
		fl.ran[account] = append(fl.ran[account], began)
		return
	}
	at := &quota.Attempt{}
	if fl.target > 0 {
		at.Deadline = began + max(fl.target, quota.MaxWait)
	}
	fl.take(sv, ac, at, func(de quota.Decision) {
		if fl.Now() > began {
			fl.total.waits = append(fl.total.waits, fl.Now()-began)
		}
		switch de.Kind {
		case quota.Granted:
			fl.total.ran++
			fl.ran[account] = append(fl.ran[account], fl.Now())
			return
		case quota.Unreachable:
			fl.total.unreachable++
			if fl.Now() < at.Deadline {
				fl.total.early++
			}
		}
		fl.total.refused++
		if within {
			fl.total.falsely++
		}
	})
}

// takeIdeal takes a token from a bucket that all requests share, as if there were one VM.
func (fl *fleet) takeIdeal(account string) bool {
	ac := fl.accounts[account]
	ib, ok := fl.ideal[account]
	if !ok {
		ib = &idealBucket{level: ac.Burst, at: fl.Now()}
		fl.ideal[account] = ib
	}
	ib.level = min(max(1, ac.Burst), ib.level+(fl.Now()-ib.at).Seconds()*ac.Rate)
	ib.at = fl.Now()
	if ib.level < 1 {
		return false
	}
	ib.level--
	return true
}

// take does what io/entry does to get a token.
func (fl *fleet) take(sv *simVM, ac *acct.Account, at *quota.Attempt, done func(quota.Decision)) {
	if fl.Now() < sv.frozenUntil {
		started := sv.started
		fl.After(sv.frozenUntil-fl.Now(), func() {
			if sv.started == started {
				fl.take(sv, ac, at, done)
			}
		})
		return
	}
	de := sv.limiter.Take(fl.Now(), ac, sv.holders(fl, ac.Name), at, fl.rnd.Float64())
	fl.call(sv, de.Call)
	if de.Kind != quota.Waiting {
		done(de)
		return
	}
	if de.Call.Peer != "" {
		fl.take(sv, ac, at, done)
		return
	}
	started, again := sv.started, false
	retry := func() {
		if !again && sv.started == started {
			again = true
			fl.take(sv, ac, at, done)
		}
	}
	sv.waiters[ac.Name] = append(sv.waiters[ac.Name], retry)
	fl.After(de.Until-fl.Now(), retry)
}

// call makes a call for tokens; its reply may be lost, or come after the time limit.
func (fl *fleet) call(from *simVM, ca quota.Call) {
	to := fl.byAddr[ca.Peer]
	if to == nil {
		return
	}
	fl.total.calls++
	from.calls++
	to.calls++
	started, ended := from.started, false
	end := func(rp quota.Reply) {
		if ended || from.started != started {
			return
		}
		ended = true
		from.limiter.Reply(fl.Now(), ca, rp)
		waiters := from.waiters[ca.Account]
		delete(from.waiters, ca.Account)
		for _, retry := range waiters {
			retry()
		}
	}
	fl.After(quota.CallTimeout, func() { end(quota.Reply{Failed: true}) })
	fl.deliver(from, to, func() {
		fl.serve(to, ca, func(rp quota.Reply) { fl.deliver(to, from, func() { end(rp) }) })
	})
}

func (fl *fleet) serve(sv *simVM, ca quota.Call, reply func(quota.Reply)) {
	if ca.Want == 0 {
		reply(quota.Reply{CopyAge: fl.copyAge(sv) + ms})
		return
	}
	if sv.view == nil || sv.accounts[ca.Account] == nil {
		reply(quota.Reply{})
		return
	}
	ac := sv.accounts[ca.Account]
	if !ac.Limited() {
		if ca.Borrow {
			reply(quota.Reply{})
			return
		}
		reply(quota.Reply{Granted: 1, Holds: true})
		return
	}
	rp, next := sv.limiter.Serve(fl.Now(), ac, sv.holders(fl, ac.Name), ca.Want, ca.Borrow)
	fl.call(sv, next)
	if !rp.Holds || rp.Granted > 0 || ca.Borrow {
		reply(rp)
		return
	}
	fl.take(sv, ac, &quota.Attempt{Deadline: fl.Now() + quota.ServeWait, Served: true}, func(de quota.Decision) {
		if de.Kind == quota.Granted {
			rp.Granted = 1
		}
		reply(rp)
	})
}

// load sends requests of an account at a rate to some of the VMs, until a time. Without VMs each
// request arrives at any VM, and nine in ten are forwarded to a large one of its data centre.
func (fl *fleet) load(account string, rate float64, vms []*simVM, until time.Duration) {
	gap := time.Duration(fl.rnd.ExpFloat64() / rate * float64(second))
	if fl.Now()+gap > until {
		return
	}
	fl.After(gap, func() {
		if len(vms) > 0 {
			fl.request(vms[fl.rnd.IntN(len(vms))], account)
		} else {
			fl.request(fl.usualVM(), account)
		}
		fl.load(account, rate, vms, until)
	})
}

// usualVM draws the VM that runs a request.
func (fl *fleet) usualVM() *simVM {
	at := fl.rnd.IntN(len(fl.vms))
	if fl.rnd.IntN(10) > 0 {
		first, second := fl.vms[at%fl.centres], fl.vms[at%fl.centres+fl.centres]
		if !first.running || second.running && fl.rnd.IntN(2) == 0 {
			return second
		}
		return first
	}
	for !fl.vms[at].running {
		at = (at + 1) % len(fl.vms)
	}
	return fl.vms[at]
}
