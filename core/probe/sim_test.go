package probe_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/probe"
	"laburnumvane/core/steer"
)

// The replay below runs 60 small VMs in three data centres that forward requests to six large VMs,
// in virtual time, while something is wrong with some of the large VMs.
const (
	ms           = time.Millisecond
	replaySeed   = 11
	callers      = 60
	dataCentres  = 3
	largeVMs     = 6
	perSecond    = 2
	faultAt      = 5 * time.Second
	replayEnd    = 25 * time.Second
	gather       = 30 * ms
	ownGather    = 60 * ms
	localTrip    = ms / 5
	remoteTrip   = 2 * ms
	probeReply   = ms
	maxThrottle  = 87 * ms
	lateAfter    = 300 * ms
	maxTries     = 3
	busyFactor   = 10
	never        = time.Hour
	requestLimit = 2 * time.Second
)

// oldLimits are the constants that io/remote had before this package.
func oldLimits() probe.Limits {
	return probe.Limits{
		MinConnect: 200 * ms, MinReply: 800 * ms, MinProbeReply: 300 * ms, FreshFor: never,
		ProbeInterval: 500 * ms, MaxProbeInterval: 2 * time.Second,
		GiveUpUnreachable: 1100 * ms, GiveUpFrozen: 1100 * ms,
	}
}

// fault is what happens from faultAt to until.
type fault struct {
	until time.Duration
	// cut are the large VMs that are cut off, and cutCallers is set if a third of the small VMs is
	// cut off with them. The others are numbers of large VMs.
	cut                []int
	cutCallers         bool
	frozen, dead, busy int
}

const none = -1

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (ev events) Len() int { return len(ev) }
func (ev events) Less(i, j int) bool {
	return ev[i].at < ev[j].at || ev[i].at == ev[j].at && ev[i].seq < ev[j].seq
}
func (ev events) Swap(i, j int) { ev[i], ev[j] = ev[j], ev[i] }
func (ev *events) Push(x any)   { *ev = append(*ev, x.(event)) }
func (ev *events) Pop() any {
	old := *ev
	last := old[len(old)-1]
	*ev = old[:len(old)-1]
	return last
}

type replay struct {
	now    time.Duration
	rnd    *rand.Rand
	queue  events
	seq    int
	fa     fault
	limits probe.Limits
	vms    []*origin.Upstream
	// during counts the requests that arrive while the fault lasts, bad those of them that are
	// late or lost.
	during, bad, lost int
	// avoided counts the times at which a caller found the busy VM avoided, and used the requests
	// that it got.
	avoided, used int
}

type caller struct {
	re     *replay
	number int
	dc     int
	peers  *probe.Table
	table  *steer.Table
	// waiting holds, by address, what ends the requests in flight.
	waiting map[string]map[int]func()
}

func (re *replay) after(wait time.Duration, run func()) {
	re.seq++
	heap.Push(&re.queue, event{at: re.now + wait, seq: re.seq, run: run})
}

func (re *replay) active() bool { return re.now >= faultAt && re.now < re.fa.until }

// connected reports whether packets pass between a caller and a VM.
func (re *replay) connected(ca *caller, vm int) bool {
	callerCut := re.fa.cutCallers && ca.number/dataCentres%3 == 0
	return !re.active() || callerCut == slices.Contains(re.fa.cut, vm)
}

func trip(ca *caller, vm int) time.Duration {
	if vm%dataCentres == ca.dc {
		return localTrip
	}
	return remoteTrip
}

// connect opens a connection.
func (ca *caller) connect(vm int, limit time.Duration, done func(probe.Outcome, time.Duration)) {
	re, tr := ca.re, trip(ca, vm)
	switch {
	case !re.connected(ca, vm):
		re.after(limit, func() { done(probe.Unreachable, limit) })
	case re.active() && vm == re.fa.dead:
		re.after(tr, func() { done(probe.Refused, tr) })
	default:
		re.after(tr, func() { done(probe.Alive, tr) })
	}
}

// pace returns when the VM answers something that takes work, and whether it ever does.
func (ca *caller) pace(vm int, work time.Duration) time.Duration {
	re := ca.re
	switch {
	case re.active() && vm == re.fa.frozen:
		return re.fa.until - re.now + work
	case re.active() && vm == re.fa.busy:
		return busyFactor*work + time.Duration(re.rnd.Int64N(int64(maxThrottle)))
	}
	return work
}

func (ca *caller) probe(ac probe.Action, vm int) {
	re, began := ca.re, ca.re.now
	end := func(oc probe.Outcome) {
		ca.peers.EndProbe(re.now, ac.VM.Addr, oc, re.now-began)
		ca.tick()
	}
	ca.connect(vm, ac.Connect, func(oc probe.Outcome, _ time.Duration) {
		if oc != probe.Alive {
			end(oc)
			return
		}
		if took := ca.pace(vm, probeReply); took <= ac.Reply {
			re.after(took, func() { end(probe.Alive) })
			return
		}
		re.after(ac.Reply, func() { end(probe.Frozen) })
	})
}

func (ca *caller) tick() {
	re := ca.re
	for _, ac := range ca.peers.Tick(re.now) {
		var vm int
		_, _ = fmt.Sscan(ac.VM.Addr, &vm)
		if ac.Kind == probe.GiveUp {
			for _, end := range ca.waiting[ac.VM.Addr] {
				end()
			}
			continue
		}
		ca.probe(ac, vm)
	}
	if at, ok := ca.peers.Next(); ok {
		re.after(max(0, at-re.now), ca.tickIfDue(at))
	}
}

// tickIfDue ticks unless a later call of Next has changed the time.
func (ca *caller) tickIfDue(at time.Duration) func() {
	return func() {
		if due, ok := ca.peers.Next(); ok && due <= at {
			ca.tick()
		}
	}
}

func (ca *caller) request(began time.Duration, tried []*origin.Upstream) {
	re := ca.re
	var usable []*origin.Upstream
	for _, vm := range re.vms {
		ca.peers.Want(re.now, probe.VM{Addr: vm.Addr, DataCentre: vm.DataCentre})
		if !ca.peers.Avoid(vm.Addr) {
			usable = append(usable, vm)
		} else if vm.Addr == fmt.Sprint(re.fa.busy) {
			re.avoided++
		}
	}
	up, ok := ca.table.Pick(re.now, steer.RequestKind{UsualLatency: gather}, usable, tried, re.rnd.Float64)
	if !ok || len(tried) == maxTries {
		re.after(ownGather, func() { re.finish(began, true) })
		return
	}
	var vm int
	_, _ = fmt.Sscan(up.Addr, &vm)
	if ca.peers.Fresh(re.now, up.Addr) {
		ca.send(began, up, vm)
		return
	}
	ca.connect(vm, ca.peers.ConnectLimit(up.Addr), func(oc probe.Outcome, took time.Duration) {
		ca.peers.Connect(re.now, up.Addr, oc, took)
		ca.tick()
		if oc != probe.Alive {
			ca.request(began, append(tried, up))
			return
		}
		limit := ca.peers.ContinueLimit(up.Addr)
		ready := ca.pace(vm, probeReply)
		re.after(min(ready, limit), func() {
			if ready > limit || !re.connected(ca, vm) {
				ca.peers.Connect(re.now, up.Addr, probe.Frozen, limit)
				ca.tick()
				ca.request(began, append(tried, up))
				return
			}
			ca.peers.Continue(re.now, up.Addr, ready)
			ca.send(began, up, vm)
		})
	})
}

func (ca *caller) send(began time.Duration, up *origin.Upstream, vm int) {
	re, sentAt := ca.re, ca.re.now
	if vm == re.fa.busy && re.active() {
		re.used++
	}
	ca.peers.Begin(re.now, up.Addr)
	ca.table.Begin(re.now, gather, up.Process())
	re.seq++
	id, done := re.seq, false
	lose := func() {
		if !done {
			done = true
			delete(ca.waiting[up.Addr], id)
			ca.peers.Doubt(re.now, up.Addr)
			ca.table.Withdraw(re.now, up.Process(), re.now-sentAt)
			re.finish(began, false)
			ca.tick()
		}
	}
	if ca.waiting[up.Addr] == nil {
		ca.waiting[up.Addr] = make(map[int]func())
	}
	ca.waiting[up.Addr][id] = lose
	re.after(requestLimit, lose)
	if sent := re.connected(ca, vm); sent {
		re.after(ca.pace(vm, time.Duration(float64(gather)*(0.7+0.6*re.rnd.Float64())))+trip(ca, vm), func() {
			switch {
			case done || !re.connected(ca, vm):
			case re.active() && vm == re.fa.dead:
				lose()
			default:
				done = true
				delete(ca.waiting[up.Addr], id)
				ca.peers.Answer(re.now, up.Addr, re.now-sentAt)
				ca.table.End(re.now, up.Process(), steer.Result{Verdict: fanout.Served, Latency: re.now - sentAt, UsualLatency: gather})
				re.finish(began, true)
			}
		})
	}
	ca.tick()
}

func (re *replay) finish(began time.Duration, served bool) {
	if began < faultAt || began >= re.fa.until {
		return
	}
	re.during++
	if !served {
		re.lost++
	}
	if !served || re.now-began > lateAfter {
		re.bad++
	}
}

func (ca *caller) arrive() {
	re := ca.re
	if re.now < replayEnd {
		ca.request(re.now, nil)
		re.after(time.Duration(re.rnd.ExpFloat64()/perSecond*float64(time.Second)), ca.arrive)
	}
}

func runReplay(fa fault, li probe.Limits) *replay {
	re := &replay{now: time.Second, rnd: rand.New(rand.NewPCG(replaySeed, 1)), fa: fa, limits: li}
	for k := range largeVMs {
		re.vms = append(re.vms, &origin.Upstream{ID: fmt.Sprint(k), Addr: fmt.Sprint(k), DataCentre: fmt.Sprint(k % dataCentres)})
	}
	for k := range callers {
		ca := &caller{
			re: re, number: k, dc: k % dataCentres, peers: probe.New(probe.Config{Limits: li}),
			table:   steer.New(steer.Config{DataCentre: fmt.Sprint(k % dataCentres)}),
			waiting: make(map[string]map[int]func()),
		}
		re.after(time.Duration(re.rnd.Int64N(int64(time.Second))), ca.arrive)
	}
	for len(re.queue) > 0 {
		next := heap.Pop(&re.queue).(event)
		re.now = next.at
		next.run()
	}
	return re
}
