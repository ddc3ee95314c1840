package admit_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"laburnumvane/core/admit"
	"laburnumvane/core/budget"
	"laburnumvane/core/limit"
	"laburnumvane/core/view"
	"laburnumvane/internal/vtime"
)

// The simulation runs VMs that do not communicate against servers with slots and a
// short queue, in virtual time. It models only what admission and limits depend on.

type mode uint8

const (
	adaptive mode = iota
	static
	static2
	unlimited
)

func (mo mode) String() string {
	return [...]string{"adaptive", "static 1/N", "static 2/N", "no limits"}[mo]
}

// The retry budget of each VM.
const (
	retryShare = 0.1
	retryBurst = 20
)

// deployment is the size of one register: its VMs, services and servers.
type deployment struct {
	name     string
	vms      int
	services int
	replicas int
	slots    int
	queue    int
	oneWay   time.Duration
	service  time.Duration // mean service time: half fixed, half exponential
}

var pettigrew = deployment{"Pettigrew member-desk", 9, 10, 3, 3, 12, time.Millisecond, 10 * time.Millisecond}
var kalimba = deployment{"Kalimba enrol-desk", 9, 10, 3, 2, 12, 1500 * time.Microsecond, 10 * time.Millisecond}

// capacity is the number of searches per second that the servers can answer.
func (de deployment) capacity() float64 {
	return float64(de.replicas*de.slots) / de.service.Seconds()
}

var classMix = [admit.Classes]float64{0.1, 0.5, 0.4}
var classDeadline = [admit.Classes]time.Duration{200 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second}

type simulation struct {
	de   deployment
	mode mode
	vtime.Agenda[func()]
	rnd     *rand.Rand
	servers []*simServer
	vms     []*simVM
	// countFrom excludes searches that arrive earlier, during warm-up.
	countFrom time.Duration
	count     counts
	// onEnd is called for each search that is refused or ends; it may be nil.
	onEnd func(se *simSearch)
}

type counts struct {
	offered, good, failed, refused [admit.Classes]int
	latency                        [admit.Classes][]time.Duration
	primaries, retries, sheds      int
	// By intervals of 100 ms: goodAt by the time of the answer, goodBy and
	// offeredBy by that of the arrival.
	goodAt, goodBy, offeredBy map[int]int
	ranAfterRefusal           int
}

func (sm *simulation) run(until time.Duration) {
	for event := range sm.Until(until) {
		event()
	}
}

type simVM struct {
	sm          *simulation
	mc          *admit.Machine[*simSearch]
	tb          *limit.Table
	pool        *limit.Pool
	retryBudget *budget.Budget
	rnd         *rand.Rand
	// polling is set while a call of poll is scheduled.
	polling bool
}

type simSearch struct {
	vm         *simVM
	class      admit.Class
	team       admit.TeamID
	arrived    time.Duration
	started    time.Duration
	deadline   time.Duration
	missing    int
	mc         *admit.Machine[*simSearch]
	refused    bool
	running    bool
	ended      bool
	counted    bool
	good       bool
	reason     admit.Reason
	retryAfter time.Duration
	// subs are all attempts; the first primaries of them were sent at the start.
	subs      []*simSub
	primaries int
}

func newSimulation(de deployment, mo mode, seed uint64) *simulation {
	sm := &simulation{de: de, mode: mo, rnd: rand.New(rand.NewPCG(seed, 1))}
	sm.count.goodAt = make(map[int]int)
	sm.count.goodBy = make(map[int]int)
	sm.count.offeredBy = make(map[int]int)
	for range de.services * de.replicas {
		sm.servers = append(sm.servers, &simServer{sm: sm, slots: de.slots})
	}
	for range de.vms {
		sm.vms = append(sm.vms, sm.newVM())
	}
	return sm
}

func (sm *simulation) newVM() *simVM {
	cfg := limit.Config{}
	if sm.mode == static || sm.mode == static2 {
		fixed := float64(sm.mode) * float64(sm.de.slots) / float64(sm.de.vms)
		cfg = limit.Config{InitialLimit: fixed, MinLimit: fixed, MaxLimit: fixed, ClassFactors: [limit.Classes]float64{1, 1, 1}}
	}
	vm := &simVM{sm: sm, tb: limit.New(cfg), rnd: rand.New(rand.NewPCG(sm.rnd.Uint64(), 2))}
	for i := range sm.servers {
		vm.tb.Add(view.ServerID(i), limit.GroupKey{Service: string(rune('a' + i/sm.de.replicas))})
	}
	vm.pool = vm.tb.Pool(limit.PoolKey{})
	vm.retryBudget = budget.New(budget.Config{Share: retryShare, Burst: retryBurst})
	vm.mc = admit.New[*simSearch](admit.Config{HasCapacity: vm.pool.HasCapacity})
	return vm
}

// startLoad starts Poisson arrivals of searches on each VM, at a total rate.
func (sm *simulation) startLoad(rate float64) {
	for _, vm := range sm.vms {
		vm.arrivals(rate/float64(len(sm.vms)), func() { vm.offer(vm.drawClass(), 0) })
	}
}

func (vm *simVM) arrivals(rate float64, arrive func()) {
	gap := time.Duration(vm.rnd.ExpFloat64() / rate * float64(time.Second))
	vm.sm.After(gap, func() {
		arrive()
		vm.arrivals(rate, arrive)
	})
}

func (vm *simVM) arrivalsOf(cl admit.Class, tm admit.TeamID, rate float64) {
	vm.arrivals(rate, func() { vm.offer(cl, tm) })
}

func (vm *simVM) drawClass() admit.Class {
	x := vm.rnd.Float64()
	switch {
	case x < classMix[0]:
		return admit.Urgent
	case x < classMix[0]+classMix[1]:
		return admit.Interactive
	}
	return admit.Batch
}

func (vm *simVM) offer(cl admit.Class, tm admit.TeamID) {
	sm := vm.sm
	se := &simSearch{vm: vm, mc: vm.mc, class: cl, team: tm, arrived: sm.Now(), deadline: sm.Now() + classDeadline[cl], counted: sm.Now() >= sm.countFrom}
	sm.count.offeredBy[int(sm.Now()/(100*time.Millisecond))]++
	if se.counted {
		sm.count.offered[cl]++
	}
	if sm.mode == unlimited {
		se.start()
		return
	}
	rq := admit.Request{Class: cl, Team: tm, Cost: int32(sm.de.services), Deadline: se.deadline}
	de := vm.mc.Offer(sm.Now(), rq, se)
	switch de.Kind {
	case admit.Admitted:
		se.start()
	case admit.Queued:
		mc := vm.mc // a restart of the VM replaces vm.mc
		sm.After(de.StartBy-sm.Now(), func() {
			if mc.Withdraw(sm.Now(), de.Handle) {
				se.reason = admit.ReasonQueueTimeout
				se.refuse()
			}
		})
		vm.poll()
	case admit.Refused:
		se.reason, se.retryAfter = de.Reason, de.RetryAfter
		se.refuse()
	}
}

func (se *simSearch) refuse() {
	se.refused = true
	if se.vm.sm.onEnd != nil {
		se.vm.sm.onEnd(se)
	}
	if se.counted {
		se.vm.sm.count.refused[se.class]++
	}
}

// poll calls step while searches wait, since capacity may become available by the
// passage of time alone.
func (vm *simVM) poll() {
	at, ok := vm.mc.Next(vm.sm.Now())
	if !ok || vm.polling {
		return
	}
	vm.polling = true
	vm.sm.After(at-vm.sm.Now(), func() {
		vm.polling = false
		vm.step()
		vm.poll()
	})
}

func (vm *simVM) step() {
	if vm.sm.mode == unlimited {
		return
	}
	for {
		grants := vm.mc.Step(vm.sm.Now())
		if len(grants) == 0 {
			return
		}
		for _, gr := range slices.Clone(grants) {
			if gr.Start {
				gr.Waiter.start()
			} else {
				gr.Waiter.refuse()
			}
		}
	}
}

func (se *simSearch) start() {
	sm := se.vm.sm
	if se.refused {
		sm.count.ranAfterRefusal++
	}
	se.running = true
	se.started = sm.Now()
	se.missing = sm.de.services
	se.vm.retryBudget.Earn(sm.de.services)
	for sh := range sm.de.services {
		sm.count.primaries++
		se.send(&simSub{se: se, shard: sh})
	}
	if sm.mode != unlimited {
		se.mc.ConfirmStart()
	}
	se.primaries = len(se.subs)
	sm.After(se.deadline-sm.Now(), se.expire)
}

func (se *simSearch) send(su *simSub) bool {
	vm := se.vm
	id, ok := vm.pick(su.shard, su.tried)
	if !ok {
		return false
	}
	su.server = id
	su.tried = append(su.tried, id)
	su.sentAt = vm.sm.Now()
	vm.tb.Begin(vm.sm.Now(), id)
	sub := &simSub{se: se, shard: su.shard, server: id, tried: su.tried, sentAt: vm.sm.Now()}
	vm.sm.After(vm.sm.de.oneWay, func() { vm.sm.servers[id].arrive(sub) })
	se.subs = append(se.subs, sub)
	return true
}

// pick returns the less loaded of two random servers that have capacity, else the
// fallback.
func (vm *simVM) pick(shard int, tried []view.ServerID) (view.ServerID, bool) {
	var ids, all []view.ServerID
	for r := range vm.sm.de.replicas {
		id := view.ServerID(shard*vm.sm.de.replicas + r)
		if slices.Contains(tried, id) {
			continue
		}
		all = append(all, id)
		if vm.sm.mode == unlimited || vm.tb.HasCapacity(vm.sm.Now(), id) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return vm.tb.Fallback(all)
	}
	vm.rnd.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	if len(ids) > 1 && vm.tb.Load(ids[1]) < vm.tb.Load(ids[0]) {
		return ids[1], true
	}
	return ids[0], true
}

func (vm *simVM) replied(su *simSub, kind limit.Kind, running, queued int) {
	if su.ended {
		return
	}
	su.ended = true
	now := vm.sm.Now()
	vm.tb.End(now, su.server, limit.Sample{Kind: kind, Latency: now - su.sentAt, Running: running, Queued: queued})
	se := su.se
	switch {
	case se.ended:
	case kind == limit.Replied:
		se.missing--
		if se.missing == 0 {
			se.finish(true)
		}
	case len(su.tried) <= 1 && vm.retryBudget.Spend():
		if se.send(su) {
			vm.sm.count.retries++
		} else {
			vm.retryBudget.Refund()
		}
	}
	vm.step()
}

func (se *simSearch) finish(good bool) {
	if se.ended || !se.running {
		return
	}
	se.ended = true
	sm := se.vm.sm
	if sm.mode != unlimited {
		se.mc.Done(sm.Now(), se.class, sm.Now()-se.started, false)
	}
	se.good = good
	if sm.onEnd != nil {
		sm.onEnd(se)
	}
	if good {
		sm.count.goodAt[int(sm.Now()/(100*time.Millisecond))]++
		sm.count.goodBy[int(se.arrived/(100*time.Millisecond))]++
	}
	if !se.counted {
		return
	}
	if !good {
		sm.count.failed[se.class]++
		return
	}
	sm.count.good[se.class]++
	sm.count.latency[se.class] = append(sm.count.latency[se.class], sm.Now()-se.arrived)
}

func p99(lats []time.Duration) time.Duration {
	if len(lats) == 0 {
		return 0
	}
	sorted := slices.Clone(lats)
	slices.Sort(sorted)
	return sorted[len(sorted)*99/100]
}
