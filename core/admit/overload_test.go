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

// The harness: VMs that cannot see each other, before servers with slots and a
// short queue, in virtual time. It holds only what admission and limits meet.

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

// The budget of retries of each VM.
const (
	spareShare = 0.1
	spareBurst = 20
)

// deployment is the sizes of one register.
type deployment struct {
	name     string
	vms      int
	services int
	replicas int
	slots    int
	queue    int
	oneWay   time.Duration
	service  time.Duration // mean: half fixed, half exponential
}

var pettigrew = deployment{"Pettigrew member-desk", 9, 10, 3, 3, 12, time.Millisecond, 10 * time.Millisecond}
var kalimba = deployment{"Kalimba enrol-desk", 9, 10, 3, 2, 12, 1500 * time.Microsecond, 10 * time.Millisecond}

// capacity is the searches a second that the servers can do.
func (de deployment) capacity() float64 {
	return float64(de.replicas*de.slots) / de.service.Seconds()
}

var classMix = [admit.Classes]float64{0.1, 0.5, 0.4}
var classDeadline = [admit.Classes]time.Duration{200 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second}

type world struct {
	de   deployment
	mode mode
	vtime.Agenda[func()]
	rnd     *rand.Rand
	servers []*simServer
	vms     []*simVM
	// from counts only what arrives after the start-up.
	from  time.Duration
	count tally
	// watch is told of each search that ended.
	watch func(se *simSearch)
}

type tally struct {
	offered, good, failed, refused [admit.Classes]int
	latency                        [admit.Classes][]time.Duration
	primaries, retries, sheds      int
	// By 100 ms: of the answer, and of the arrival.
	goodAt, goodBy, offeredBy map[int]int
	ranAfterRefusal           int
}

func (wo *world) run(until time.Duration) {
	for what := range wo.Until(until) {
		what()
	}
}

type simVM struct {
	wo    *world
	mc    *admit.Machine[*simSearch]
	tb    *limit.Table
	pool  *limit.Pool
	spare *budget.Budget
	rnd   *rand.Rand
	// polling is set while a poll is due.
	polling bool
}

type simSearch struct {
	vm       *simVM
	class    admit.Class
	team     admit.TeamID
	arrived  time.Duration
	started  time.Duration
	deadline time.Duration
	missing  int
	mc       *admit.Machine[*simSearch]
	refused  bool
	running  bool
	over     bool
	counted  bool
	good     bool
	why      admit.Reason
	retry    time.Duration
}

func newWorld(de deployment, mo mode, seed uint64) *world {
	wo := &world{de: de, mode: mo, rnd: rand.New(rand.NewPCG(seed, 1))}
	wo.count.goodAt = make(map[int]int)
	wo.count.goodBy = make(map[int]int)
	wo.count.offeredBy = make(map[int]int)
	for range de.services * de.replicas {
		wo.servers = append(wo.servers, &simServer{wo: wo, slots: de.slots})
	}
	for range de.vms {
		wo.vms = append(wo.vms, wo.newVM())
	}
	return wo
}

func (wo *world) newVM() *simVM {
	cfg := limit.Config{}
	if wo.mode == static || wo.mode == static2 {
		fixed := float64(wo.mode) * float64(wo.de.slots) / float64(wo.de.vms)
		cfg = limit.Config{Start: fixed, Least: fixed, Most: fixed, Levels: [limit.Classes]float64{1, 1, 1}}
	}
	vm := &simVM{wo: wo, tb: limit.New(cfg), rnd: rand.New(rand.NewPCG(wo.rnd.Uint64(), 2))}
	for i := range wo.servers {
		vm.tb.Place(view.ServerID(i), limit.GroupKey{Service: string(rune('a' + i/wo.de.replicas))})
	}
	vm.pool = vm.tb.Pool(limit.PoolKey{})
	vm.spare = budget.New(budget.Config{Share: spareShare, Burst: spareBurst})
	vm.mc = admit.New[*simSearch](admit.Config{Room: vm.pool.Room})
	return vm
}

// load brings searches at a rate for the whole fleet, Poisson on each VM.
func (wo *world) load(rate float64) {
	for _, vm := range wo.vms {
		vm.arrivals(rate/float64(len(wo.vms)), func() { vm.offer(vm.drawClass(), 0) })
	}
}

func (vm *simVM) arrivals(rate float64, arrive func()) {
	gap := time.Duration(vm.rnd.ExpFloat64() / rate * float64(time.Second))
	vm.wo.After(gap, func() {
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
	wo := vm.wo
	se := &simSearch{vm: vm, mc: vm.mc, class: cl, team: tm, arrived: wo.Now(), deadline: wo.Now() + classDeadline[cl], counted: wo.Now() >= wo.from}
	wo.count.offeredBy[int(wo.Now()/(100*time.Millisecond))]++
	if se.counted {
		wo.count.offered[cl]++
	}
	if wo.mode == unlimited {
		se.start()
		return
	}
	rq := admit.Request{Class: cl, Team: tm, Cost: int32(wo.de.services), Deadline: se.deadline}
	de := vm.mc.Offer(wo.Now(), rq, se)
	switch de.Kind {
	case admit.Admitted:
		se.start()
	case admit.Queued:
		mc := vm.mc // a restart replaces it
		wo.After(de.Until-wo.Now(), func() {
			if mc.Withdraw(wo.Now(), de.Handle) {
				se.why = admit.ReasonWaited
				se.refuse()
			}
		})
		vm.poll()
	case admit.Refused:
		se.why, se.retry = de.Reason, de.RetryAfter
		se.refuse()
	}
}

func (se *simSearch) refuse() {
	se.refused = true
	if se.vm.wo.watch != nil {
		se.vm.wo.watch(se)
	}
	if se.counted {
		se.vm.wo.count.refused[se.class]++
	}
}

// poll steps for as long as something waits: room may come by time alone.
func (vm *simVM) poll() {
	at, ok := vm.mc.Next(vm.wo.Now())
	if !ok || vm.polling {
		return
	}
	vm.polling = true
	vm.wo.After(at-vm.wo.Now(), func() {
		vm.polling = false
		vm.step()
		vm.poll()
	})
}

func (vm *simVM) step() {
	if vm.wo.mode == unlimited {
		return
	}
	for {
		grants := vm.mc.Step(vm.wo.Now())
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
	wo := se.vm.wo
	if se.refused {
		wo.count.ranAfterRefusal++
	}
	se.running = true
	se.started = wo.Now()
	se.missing = wo.de.services
	se.vm.spare.Earn(wo.de.services)
	for sh := range wo.de.services {
		wo.count.primaries++
		se.send(&simSub{se: se, shard: sh})
	}
	if wo.mode != unlimited {
		se.mc.Begun()
	}
	wo.After(se.deadline-wo.Now(), func() { se.finish(false) })
}

func (se *simSearch) send(su *simSub) bool {
	vm := se.vm
	id, ok := vm.pick(su.shard, su.tried)
	if !ok {
		return false
	}
	su.server = id
	su.tried = append(su.tried, id)
	su.sentAt = vm.wo.Now()
	vm.tb.Begin(vm.wo.Now(), id)
	sub := &simSub{se: se, shard: su.shard, server: id, tried: su.tried, sentAt: vm.wo.Now()}
	vm.wo.After(vm.wo.de.oneWay, func() { vm.wo.servers[id].arrive(sub) })
	// Silence ends at the deadline.
	vm.wo.After(se.deadline-vm.wo.Now(), func() {
		if !sub.over {
			sub.over = true
			vm.tb.End(vm.wo.Now(), id, limit.Sample{Kind: limit.Failed, Latency: vm.wo.Now() - sub.sentAt})
			vm.step()
		}
	})
	return true
}

// pick is the better of two that have room, else the fallback.
func (vm *simVM) pick(shard int, tried []view.ServerID) (view.ServerID, bool) {
	var ids, all []view.ServerID
	for r := range vm.wo.de.replicas {
		id := view.ServerID(shard*vm.wo.de.replicas + r)
		if slices.Contains(tried, id) {
			continue
		}
		all = append(all, id)
		if vm.wo.mode == unlimited || vm.tb.Room(vm.wo.Now(), id) {
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
	if su.over {
		return
	}
	su.over = true
	now := vm.wo.Now()
	vm.tb.End(now, su.server, limit.Sample{Kind: kind, Latency: now - su.sentAt, Running: running, Queued: queued})
	se := su.se
	switch {
	case se.over:
	case kind == limit.Replied:
		se.missing--
		if se.missing == 0 {
			se.finish(true)
		}
	case len(su.tried) <= 1 && vm.spare.Spend():
		if se.send(su) {
			vm.wo.count.retries++
		} else {
			vm.spare.Refund()
		}
	}
	vm.step()
}

func (se *simSearch) finish(good bool) {
	if se.over || !se.running {
		return
	}
	se.over = true
	wo := se.vm.wo
	if wo.mode != unlimited {
		se.mc.Done(wo.Now(), se.class, wo.Now()-se.started, false)
	}
	se.good = good
	if wo.watch != nil {
		wo.watch(se)
	}
	if good {
		wo.count.goodAt[int(wo.Now()/(100*time.Millisecond))]++
		wo.count.goodBy[int(se.arrived/(100*time.Millisecond))]++
	}
	if !se.counted {
		return
	}
	if !good {
		wo.count.failed[se.class]++
		return
	}
	wo.count.good[se.class]++
	wo.count.latency[se.class] = append(wo.count.latency[se.class], wo.Now()-se.arrived)
}

func p99(lats []time.Duration) time.Duration {
	if len(lats) == 0 {
		return 0
	}
	sorted := slices.Clone(lats)
	slices.Sort(sorted)
	return sorted[len(sorted)*99/100]
}
