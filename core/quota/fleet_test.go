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
	// shared has a view for each data centre if all small VMs, which hold nothing, have the same
	// picture of the fleet.
	shared map[string]*plan.View
	// target is the time that requests may wait for a slow holder; 0 means that they have none, and are
	// not sent to frozen VMs.
	target time.Duration
	// storeDown is since when the store does not respond; 0 if it does.
	storeDown time.Duration
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
	// those of them that were refused. early counts those refused for lack of a reachable holder
	// before their time was used up.
	asked, ideal, ran, refused, falsely, unreachable, early, calls int

	// waits are the waits of the requests that waited.
	waits []time.Duration
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
	// listed is set if the VM's copy of the store has its entry. alone is set while the VM reaches neither
	// the store nor another VM; its copy is from copyAt then.
	listed, alone bool
	copyAt        time.Duration
	// owners holds the holders of each account if there is one owner; calls counts the calls to
	// and from the VM.
	owners     map[string]*quota.Holders
	ownerFleet *quota.Fleet
	calls      int
}

func newFleet(seed uint64, vms, centres int, accounts []acct.Account) *fleet {
	fl := emptyFleet(seed, centres, accounts)
	fl.fill(vms)
	return fl
}

func emptyFleet(seed uint64, centres int, accounts []acct.Account) *fleet {
	rnd := rand.New(rand.NewPCG(seed, 11))
	fl := &fleet{
		rnd: rnd, link: vtime.Link{Rand: rnd, Jitter: ms}, centres: centres,
		byAddr: map[string]*simVM{}, entries: map[string]bool{}, cut: map[[2]string]bool{}, accounts: map[string]*acct.Account{},
		ran: map[string][]time.Duration{}, ideal: map[string]*idealBucket{}, bounds: acct.Bounds{}.WithDefaults(),
	}
	for i := range accounts {
		fl.accounts[accounts[i].Name] = &accounts[i]
	}
	return fl
}

// fill adds VMs that run and know each other.
func (fl *fleet) fill(vms int) {
	for n := range vms {
		fl.add(n)
	}
	for _, sv := range fl.vms {
		fl.boot(sv, 0)
		fl.update(sv)
	}
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
		if sv.started != started || sv.alone {
			return
		}
		fl.update(sv)
		fl.observe(sv)
		if !fl.entries[sv.vm.Addr] {
			fl.entries[sv.vm.Addr] = true
			fl.spread()
		}
	})
}

// update gives a VM the current state of the store.
func (fl *fleet) update(sv *simVM) {
	sv.copyAt, sv.listed = fl.Now(), fl.entries[sv.vm.Addr]
	var vms []rank.VM
	capacity := map[string]float64{}
	for _, other := range fl.vms {
		if fl.entries[other.vm.Addr] {
			vms = append(vms, other.vm)
			capacity[other.vm.Addr] = other.capacity
		}
	}
	sv.accounts, sv.owners, sv.ownerFleet = fl.accounts, map[string]*quota.Holders{}, nil
	if fl.shared != nil && sv.capacity < 0.5 && fl.shared[sv.vm.DataCentre] != nil {
		sv.view = fl.shared[sv.vm.DataCentre]
		return
	}
	defer func() {
		if fl.shared != nil && sv.capacity < 0.5 {
			fl.shared[sv.vm.DataCentre] = sv.view
		}
	}()
	sv.view = plan.New(plan.Config{Self: sv.vm, Fleet: vms, Capacity: capacity})
}

// spread has all VMs that have a copy learn of a change, at different times.
func (fl *fleet) spread() {
	for _, sv := range fl.vms {
		fl.After(fl.upTo(propagation), func() {
			if sv.running && sv.view != nil && !sv.alone {
				fl.update(sv)
			}
		})
	}
}

// copyAge returns the age of a VM's copy of the store.
func (fl *fleet) copyAge(sv *simVM) time.Duration {
	switch {
	case sv.alone:
		return fl.Now() - sv.copyAt
	case fl.storeDown > 0:
		return fl.Now() - fl.storeDown
	}
	return 0
}

// observe has a VM observe the state of the store four times per second.
func (fl *fleet) observe(sv *simVM) {
	for _, ca := range sv.limiter.ObserveStore(fl.Now(), fl.copyAge(sv), sv.listed) {
		fl.call(sv, ca)
	}
	started := sv.started
	fl.After(250*ms, func() {
		if sv.started == started {
			fl.observe(sv)
		}
	})
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
	return a.alone || b.alone || fl.cut[[2]string{a.vm.DataCentre, b.vm.DataCentre}] || fl.cut[[2]string{b.vm.DataCentre, a.vm.DataCentre}]
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
	var arrive func()
	arrive = func() {
		switch {
		case !to.running || to.started != started || fl.isCut(from, to):
		case fl.Now() < to.frozenUntil:
			fl.After(to.frozenUntil-fl.Now()+ms, arrive) // read after the timers that are due
		default:
			run()
		}
	}
	fl.After(fl.link.Delay(latency), arrive)
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
