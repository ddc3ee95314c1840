package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumvane/core/acct"
	"laburnumvane/core/plan"
	"laburnumvane/core/quota"
	"laburnumvane/core/rank"
	"laburnumvane/internal/vtime"
)

const (
	ms     = time.Millisecond
	second = time.Second
	// bootTime is the most that a VM needs to get a copy of the store, propagation the most that an
	// update takes, and lapse how long the entry of a dead VM counts.
	bootTime, propagation, lapse = 500 * ms, 800 * ms, 28 * second
	// callTimeout limits a call between VMs.
	callTimeout = 100 * ms
)

// fleet is a fleet of VMs that limit accounts, in virtual time.
type fleet struct {
	vtime.Agenda[func()]
	link    vtime.Link
	rnd     *rand.Rand
	bounds  acct.Bounds
	centres int
	vms     []*simVM
	byAddr  map[string]*simVM
	// entries holds the addresses that are in the store.
	entries map[string]bool
	// cut holds the pairs of data centres that do not reach each other.
	cut map[[2]string]bool
	// oneOwner replaces the holders by a single one for each account.
	oneOwner bool
	// accounts is the configuration in force, accountNames its order.
	accounts map[string]*acct.Account
	ran      map[string][]time.Duration
	// ideal is a single bucket for each account that sees all requests.
	ideal map[string]*idealBucket
	total tally
}

// tally counts the requests of a run.
type tally struct {
	// ideal is how many requests one bucket that sees all of them would admit; falsely counts
	// those of them that were refused.
	asked, ideal, ran, refused, falsely, unreachable, calls int

	waited time.Duration
	// waits counts the requests that waited.
	waits int
}

type idealBucket struct {
	level float64
	at    time.Duration
}

type simVM struct {
	vm          rank.VM
	capacity    float64
	running     bool
	started     int
	frozenUntil time.Duration
	limiter     *quota.Limiter
	view        *plan.View
	accounts    map[string]*acct.Account
	waiters     map[string][]func()
}

func newFleet(seed uint64, vms, centres int, accounts []acct.Account) *fleet {
	rnd := rand.New(rand.NewPCG(seed, 11))
	fl := &fleet{
		rnd: rnd, link: vtime.Link{Rand: rnd, Jitter: ms}, centres: centres,
		byAddr: map[string]*simVM{}, entries: map[string]bool{}, cut: map[[2]string]bool{}, accounts: map[string]*acct.Account{},
		ran: map[string][]time.Duration{}, ideal: map[string]*idealBucket{}, bounds: acct.Bounds{}.WithDefaults(),
	}
	for i := range accounts {
		fl.accounts[accounts[i].Name] = &accounts[i]
	}
	for n := range vms {
		fl.add(n)
	}
	for _, sv := range fl.vms {
		fl.boot(sv, 0)
		fl.update(sv)
	}
	return fl
}

// add adds a VM with an entry; the first two of each data centre are large.
func (fl *fleet) add(n int) *simVM {
	sv := &simVM{capacity: 0.16, vm: rank.VM{Addr: fmt.Sprintf("10.%d.%d.%d:1", n%fl.centres, n/250, n%250), DataCentre: fmt.Sprint("dc", n%fl.centres)}}
	if n < 2*fl.centres {
		sv.capacity = 0.8
	}
	fl.vms = append(fl.vms, sv)
	fl.byAddr[sv.vm.Addr] = sv
	fl.entries[sv.vm.Addr] = true
	return sv
}

// boot starts a VM, which gets its copy of the store after some time.
func (fl *fleet) boot(sv *simVM, after time.Duration) {
	sv.running, sv.view, sv.accounts, sv.waiters = true, nil, nil, map[string][]func(){}
	sv.started++
	sv.limiter = quota.New(quota.Config{Bounds: fl.bounds, DataCentres: fl.centres})
	started := sv.started
	fl.After(after, func() {
		if sv.started != started {
			return
		}
		fl.update(sv)
		if !fl.entries[sv.vm.Addr] {
			fl.entries[sv.vm.Addr] = true
			fl.spread()
		}
	})
}

// update gives a VM the current state of the store.
func (fl *fleet) update(sv *simVM) {
	var vms []rank.VM
	capacity := map[string]float64{}
	for _, other := range fl.vms {
		if fl.entries[other.vm.Addr] {
			vms = append(vms, other.vm)
			capacity[other.vm.Addr] = other.capacity
		}
	}
	sv.accounts = fl.accounts
	sv.view = plan.New(plan.Config{Self: sv.vm, Fleet: vms, Capacity: capacity})
}

// spread has all VMs that have a copy learn of a change, at different times.
func (fl *fleet) spread() {
	for _, sv := range fl.vms {
		fl.After(fl.upTo(propagation), func() {
			if sv.running && sv.view != nil {
				fl.update(sv)
			}
		})
	}
}

func (fl *fleet) kill(sv *simVM) {
	sv.running = false
	sv.started++
	started := sv.started
	fl.After(lapse, func() {
		if sv.started == started {
			delete(fl.entries, sv.vm.Addr)
			fl.spread()
		}
	})
}

// setLimit puts a new version of the configuration in force.
func (fl *fleet) setLimit(ac acct.Account) {
	next := make(map[string]*acct.Account, len(fl.accounts))
	for name, old := range fl.accounts {
		next[name] = old
	}
	next[ac.Name] = &ac
	fl.accounts = next
	fl.spread()
}

func (fl *fleet) upTo(most time.Duration) time.Duration {
	return time.Duration(fl.rnd.Int64N(int64(most)))
}

func (fl *fleet) isCut(a, b *simVM) bool {
	return fl.cut[[2]string{a.vm.DataCentre, b.vm.DataCentre}] || fl.cut[[2]string{b.vm.DataCentre, a.vm.DataCentre}]
}

// deliver runs a message at its destination unless it is lost. A frozen VM gets it later.
func (fl *fleet) deliver(from, to *simVM, run func()) {
	latency := 100 * time.Microsecond
	if from.vm.DataCentre != to.vm.DataCentre {
		latency = 900 * time.Microsecond
	}
	if fl.isCut(from, to) {
		return
	}
	started := to.started
	fl.After(max(fl.link.Delay(latency), to.frozenUntil-fl.Now()), func() {
		if to.running && to.started == started && !fl.isCut(from, to) {
			run()
		}
	})
}

func (sv *simVM) holders(fl *fleet, account string) *quota.Holders {
	ho := sv.view.Holders(account)
	if !fl.oneOwner {
		return ho
	}
	// The owner is the first holder of the account's own data centre.
	one := &quota.Holders{Fleet: &quota.Fleet{VMs: ho.Fleet.VMs, DataCentres: 1, Listed: ho.Fleet.Listed}, Rank: -1, Local: 1}
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
	return one
}

// request has a VM run a request of an account, if the limit permits.
func (fl *fleet) request(sv *simVM, account string) {
	if !sv.running || sv.view == nil || fl.Now() < sv.frozenUntil {
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
	fl.take(sv, ac, &quota.Attempt{}, func(de quota.Decision) {
		if fl.Now() > began {
			fl.total.waits++
			fl.total.waited += fl.Now() - began
		}
		switch de.Kind {
		case quota.Granted:
			fl.total.ran++
			fl.ran[account] = append(fl.ran[account], fl.Now())
			return
		case quota.Unreachable:
			fl.total.unreachable++
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
	fl.After(callTimeout, func() { end(quota.Reply{Failed: true}) })
	fl.deliver(from, to, func() {
		fl.serve(to, ca, func(rp quota.Reply) { fl.deliver(to, from, func() { end(rp) }) })
	})
}

func (fl *fleet) serve(sv *simVM, ca quota.Call, reply func(quota.Reply)) {
	if sv.view == nil || sv.accounts[ca.Account] == nil {
		reply(quota.Reply{})
		return
	}
	ac := sv.accounts[ca.Account]
	if !ac.Limited() {
		reply(quota.Reply{Granted: ca.Want, Holds: true})
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

// load sends requests of an account at a rate to some of the VMs, until a time.
func (fl *fleet) load(account string, rate float64, vms []*simVM, until time.Duration) {
	gap := time.Duration(fl.rnd.ExpFloat64() / rate * float64(second))
	if fl.Now()+gap > until {
		return
	}
	fl.After(gap, func() {
		fl.request(vms[fl.rnd.IntN(len(vms))], account)
		fl.load(account, rate, vms, until)
	})
}

// run runs all events due by a time.
func (fl *fleet) run(until time.Duration) {
	for run := range fl.Until(until) {
		run()
	}
}

// excess returns by how many requests an account exceeded a limit in the worst window that begins at
// or after a time; it is negative if it kept the limit.
func (fl *fleet) excess(ac acct.Account, from time.Duration) float64 {
	worst := math.Inf(-1)
	times := fl.ran[ac.Name]
	slices.Sort(times)
	most := ac.Rate*fl.bounds.Window.Seconds() + ac.Burst + fl.bounds.Allowance(&ac)
	last := 0
	for first, at := range times {
		for last < len(times) && times[last]-at <= fl.bounds.Window {
			last++
		}
		if at >= from {
			worst = max(worst, float64(last-first)-most)
		}
	}
	return worst
}

// powerLaw returns accounts as in the requirements: usual rates by a power law with exponent 1.2
// that sum up to total, and limits of 1.6 times the usual rate.
func powerLaw(n int, total float64) (accounts []acct.Account, usual []float64) {
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -1.2)
	}
	for i := range n {
		rate := total * math.Pow(float64(i+1), -1.2) / sum
		usual = append(usual, rate)
		accounts = append(accounts, acct.Account{Name: fmt.Sprint("account-", i), Rate: 1.6 * rate, Burst: 1.6 * rate})
	}
	return accounts, usual
}
