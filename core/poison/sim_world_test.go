package poison_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/poison"
)

// A fleet in virtual time: VMs with a table each, shards with servers, callers. Servers end
// under some requests, or for other reasons while requests run there.

const (
	ms = time.Millisecond
	// shareTime is how long it takes until the other VMs hear of a request.
	shareTime = 250 * ms
	// hintTime is the same for a word that it may be one, and hintEnds what it takes.
	hintTime = 8 * ms
	hintEnds = 3
	// returnTime is how long a caller takes to ask again, at another VM.
	returnTime = 5 * ms
	// dialTime is how long it takes to find that a server is away.
	dialTime = 2 * ms
	// hopTime is how long another VM takes to get a request.
	hopTime = 3 * ms
	// awayTime is how long a server that ended is away.
	awayTime = 3 * time.Second
	// crashTime is how long a server works on a request before it ends.
	crashTime = 30 * ms
	// window is how long after the third end VMs may still learn of it, and mostAfter how
	// many arrivals may reach servers later.
	window    = 4 * time.Second
	mostAfter = 3
)

// shape is what a fleet is made of, and what its callers want.
type shape struct {
	name       string
	vms        int
	shards     int
	replicas   int
	idempotent bool
	rate       int
	work       time.Duration
}

// fleet is one run.
type fleet struct {
	sh   shape
	rnd  *rand.Rand
	now  time.Duration
	todo todo
	vms  []*simVM
	// servers are by shard and replica; each life of one is another process.
	servers [][]*simServer
	flights map[*simServer][]*simAttempt
	lastKey int

	// ended holds when servers ended under each request that crashes them, and reached when
	// its arrivals first came to one.
	ended   map[poison.Fingerprint][]time.Duration
	reached map[poison.Fingerprint][]time.Duration
	// lost is the share of answers that are lost with their connections.
	lost  float64
	tally map[string]int
}

type simServer struct {
	shard, replica, life int
	up                   *origin.Upstream
	down                 bool
}

type simVM struct {
	index int
	table *poison.Table
	// away are the processes that could not be reached.
	away map[string]bool
	// turns holds, for each suspect request that is being tried here, those that wait.
	turns map[poison.Fingerprint][]func()
}

type simAttempt struct {
	fl     *simFlight
	k      int
	trial  bool
	closed bool
}

// simFlight is one arrival at one VM.
type simFlight struct {
	fw      *fleet
	vm      *simVM
	fp      poison.Fingerprint
	crashes bool
	suspect bool
	tries   int
	began   time.Duration
	mc      *fanout.Machine
	sent    map[int]*simAttempt
	seen    bool
	replied bool
	broken  int
	hinted  bool
	over    bool
}

type task struct {
	at  time.Duration
	seq int
	do  func()
}

type todo struct {
	tasks []task
	seq   int
}

func (td *todo) Len() int { return len(td.tasks) }
func (td *todo) Less(i, j int) bool {
	if td.tasks[i].at != td.tasks[j].at {
		return td.tasks[i].at < td.tasks[j].at
	}
	return td.tasks[i].seq < td.tasks[j].seq
}
func (td *todo) Swap(i, j int) { td.tasks[i], td.tasks[j] = td.tasks[j], td.tasks[i] }
func (td *todo) Push(x any)    { td.tasks = append(td.tasks, x.(task)) }
func (td *todo) Pop() any {
	last := td.tasks[len(td.tasks)-1]
	td.tasks = td.tasks[:len(td.tasks)-1]
	return last
}

func newFleet(sh shape, seed uint64) *fleet {
	fw := &fleet{
		sh: sh, rnd: rand.New(rand.NewPCG(seed, 1)), flights: map[*simServer][]*simAttempt{}, tally: map[string]int{},
		ended: map[poison.Fingerprint][]time.Duration{}, reached: map[poison.Fingerprint][]time.Duration{},
		servers: make([][]*simServer, sh.shards),
	}
	for i := range sh.vms {
		fw.vms = append(fw.vms, &simVM{index: i, table: poison.New(), away: map[string]bool{}, turns: map[poison.Fingerprint][]func(){}})
	}
	for i := range sh.shards {
		for r := range sh.replicas {
			sv := &simServer{shard: i, replica: r}
			sv.begin()
			fw.servers[i] = append(fw.servers[i], sv)
		}
	}
	return fw
}

func (sv *simServer) begin() {
	sv.life++
	sv.down = false
	sv.up = &origin.Upstream{ID: fmt.Sprintf("%d.%d.%d", sv.shard, sv.replica, sv.life), Addr: fmt.Sprintf("%d.%d", sv.shard, sv.replica)}
}

func (fw *fleet) after(wait time.Duration, do func()) {
	fw.todo.seq++
	heap.Push(&fw.todo, task{at: fw.now + wait, seq: fw.todo.seq, do: do})
}

func (fw *fleet) run(until time.Duration) {
	for len(fw.todo.tasks) > 0 && fw.todo.tasks[0].at <= until {
		ta := heap.Pop(&fw.todo).(task)
		fw.now = ta.at
		ta.do()
	}
	fw.now = until
}

// end ends a server; whatever is under way there breaks.
func (fw *fleet) end(sv *simServer) {
	if sv.down {
		return
	}
	sv.down = true
	fw.tally["ended"]++
	pr := sv.up.Process()
	under := fw.flights[sv]
	fw.flights[sv] = nil
	for _, at := range under {
		if at.closed {
			continue
		}
		at.closed = true
		fl := at.fl
		fl.breaks(1)
		alone := at.trial && fl.vm.table.EndTrial(pr)
		fl.vm.told(fw, fl.vm.table.Broken(fw.now, fl.fp, pr, alone))
	}
	for _, vm := range fw.vms {
		fw.after(dialTime, func() { vm.told(fw, vm.table.Ended(fw.now, pr)) })
	}
	for _, at := range under {
		at.fl.step(fanout.Event{Kind: fanout.EvResult, Attempt: at.k, Verdict: fanout.Lost, Broken: true})
	}
	fw.after(awayTime, sv.begin)
}

// breakOne ends one connection, of a server that lives.
func (fw *fleet) breakOne(at *simAttempt, sv *simServer, life int) {
	if at.closed || sv.life != life {
		return
	}
	at.closed = true
	fl, pr := at.fl, sv.up.Process()
	fl.breaks(1)
	alone := at.trial && fl.vm.table.EndTrial(pr)
	fl.vm.told(fw, fl.vm.table.Broken(fw.now, fl.fp, pr, alone))
	fl.step(fanout.Event{Kind: fanout.EvResult, Attempt: at.k, Verdict: fanout.Lost, Broken: true})
}

// told passes on to the other VMs what they should hear.
func (vm *simVM) told(fw *fleet, ups []poison.Update) {
	for _, up := range ups {
		if !up.Share {
			continue
		}
		if !up.Cleared {
			fw.after(hintTime, func() {
				for _, other := range fw.vms {
					other.table.Hint(fw.now, up.Record)
				}
			})
		}
		fw.after(shareTime, func() {
			for _, other := range fw.vms {
				if other == vm {
					continue
				}
				if up.Cleared {
					other.table.Release(fw.now, up.Fingerprint)
				} else {
					other.table.Learn(fw.now, up.Record)
				}
			}
		})
	}
}

// arrive brings a request to a VM.
func (fw *fleet) arrive(vm *simVM, fp poison.Fingerprint, crashes bool, tries int) {
	kind := "others "
	if crashes {
		kind = "crashing "
	}
	fw.tally[kind+"arrived"]++
	st, _ := vm.table.Arrive(fw.now, fp)
	if st != poison.Suspect {
		fw.begin(vm, fp, crashes, tries, st)
		return
	}
	owner := fw.vms[fp.Key()%uint64(len(fw.vms))]
	if owner == vm {
		fw.take(vm, fp, crashes, tries, fw.now)
		return
	}
	began := fw.now
	fw.after(hopTime, func() {
		owner.table.Hint(fw.now, poison.Record{Fingerprint: fp})
		fw.take(owner, fp, crashes, tries, began)
	})
}

// take takes a request in its turn, if it is still a suspect.
func (fw *fleet) take(vm *simVM, fp poison.Fingerprint, crashes bool, tries int, began time.Duration) {
	st, _ := vm.table.Arrive(fw.now, fp)
	if st != poison.Suspect {
		fw.begin(vm, fp, crashes, tries, st)
		return
	}
	if waiting, busy := vm.turns[fp]; busy {
		vm.turns[fp] = append(waiting, func() {
			if fw.now < began+fw.patience() {
				fw.take(vm, fp, crashes, tries, began)
			}
		})
		return
	}
	vm.turns[fp] = nil
	fw.begin(vm, fp, crashes, tries, st)
}

// release ends a turn.
func (fw *fleet) release(vm *simVM, fp poison.Fingerprint) {
	waiting := vm.turns[fp]
	delete(vm.turns, fp)
	for _, next := range waiting {
		next()
	}
}

// patience is how long callers wait.
func (fw *fleet) patience() time.Duration {
	if fw.sh.shards == 1 {
		return 1500 * ms
	}
	return 400 * ms
}

// begin runs a request, or refuses it.
func (fw *fleet) begin(vm *simVM, fp poison.Fingerprint, crashes bool, tries int, st poison.State) {
	if st == poison.Blocked {
		kind := "others "
		if crashes {
			kind = "crashing "
		}
		fw.tally[kind+"refused"]++
		return
	}
	fl := &simFlight{fw: fw, vm: vm, fp: fp, crashes: crashes, suspect: st == poison.Suspect, tries: tries, began: fw.now, sent: map[int]*simAttempt{}}
	hard := fw.patience()
	fl.mc = fanout.New(fanout.Config{
		Shards: fw.sh.shards, MinParts: fw.sh.shards - fw.sh.shards/5, Idempotent: fw.sh.idempotent, MaxAttempts: 2,
		Target: fw.now + hard/4, Hard: fw.now + hard, HedgeAfter: 3 * fw.sh.work, LeastTime: 3 * ms,
		Suspect: fl.suspect, TrialGap: 5 * ms, Blocked: func() bool { return vm.table.Blocked(fw.now, fp) }, Draw: fw.rnd.Float64, Chooser: fl, Budget: fl,
	})
	fl.perform(fl.mc.Start(fw.now))
}

// Pick prefers the replica that stands near, as one data centre's VMs do.
func (fl *simFlight) Pick(_ time.Duration, shard int, tried []*origin.Upstream) (*origin.Upstream, bool) {
	return fl.pick(shard, tried, false)
}

// PickTrial passes over servers at which another request is tried.
func (fl *simFlight) PickTrial(_ time.Duration, shard int, tried []*origin.Upstream) (*origin.Upstream, bool) {
	if up, ok := fl.pick(shard, tried, true); ok {
		return up, true
	}
	return fl.pick(shard, tried, false)
}

func (fl *simFlight) pick(shard int, tried []*origin.Upstream, alone bool) (*origin.Upstream, bool) {
	var free []*origin.Upstream
	for _, sv := range fl.fw.servers[shard] {
		used := fl.vm.away[sv.up.ID] || alone && fl.vm.table.OnTrial(sv.up.Process())
		for _, up := range tried {
			used = used || up.ID == sv.up.ID
		}
		if used {
			continue
		}
		if sv.replica == fl.vm.index%fl.fw.sh.replicas {
			return sv.up, true
		}
		free = append(free, sv.up)
	}
	if len(free) == 0 {
		return nil, false
	}
	return free[fl.fw.rnd.IntN(len(free))], true
}

// Spend grants every token: what costs servers must not be hidden by a lack of them.
func (fl *simFlight) Spend(int, bool) bool { return true }

func (fl *simFlight) step(ev fanout.Event) {
	if !fl.over {
		fl.perform(fl.mc.Step(fl.fw.now, ev))
	}
}

func (fl *simFlight) perform(acts []fanout.Action) {
	for _, ac := range acts {
		switch ac.Kind {
		case fanout.ActSend:
			fl.send(ac)
		case fanout.ActDrop:
			if at := fl.sent[ac.Attempt]; at != nil && !fl.crashes {
				fl.close(at, ac.Upstream)
			}
		case fanout.ActAnswer:
			fl.over = true
			an := ac.Answer
			fl.fw.after(0, func() { fl.conclude(an) })
		}
	}
	if !fl.over {
		wake := fl.mc.Wake()
		fl.fw.after(max(0, wake-fl.fw.now), func() {
			if fl.fw.now >= wake {
				fl.step(fanout.Event{Kind: fanout.EvWake})
			}
		})
	}
}

func (fl *simFlight) close(at *simAttempt, up *origin.Upstream) {
	if !at.closed {
		at.closed = true
		if at.trial {
			fl.vm.table.EndTrial(up.Process())
		}
	}
}

func (fl *simFlight) send(ac fanout.Action) {
	fw, k := fl.fw, ac.Attempt
	at := &simAttempt{fl: fl, k: k, trial: ac.Trial}
	fl.sent[k] = at
	if ac.Trial {
		fl.vm.table.BeginTrial(ac.Upstream.Process())
	}
	var sv *simServer
	for _, one := range fw.servers[ac.Shard] {
		if one.up.ID == ac.Upstream.ID {
			sv = one
		}
	}
	if sv == nil || sv.down {
		fl.vm.away[ac.Upstream.ID] = true
		fw.after(dialTime, func() {
			fl.close(at, ac.Upstream)
			fl.step(fanout.Event{Kind: fanout.EvResult, Attempt: k, Verdict: fanout.Unsent})
		})
		return
	}
	if fl.crashes && !fl.seen {
		fl.seen = true
		fw.reached[fl.fp] = append(fw.reached[fl.fp], fw.now)
	}
	fw.flights[sv] = append(fw.flights[sv], at)
	life := sv.life
	if fl.crashes {
		fw.after(crashTime, func() {
			if sv.life == life && !sv.down {
				fw.ended[fl.fp] = append(fw.ended[fl.fp], fw.now)
				fw.end(sv)
			}
		})
		return
	}
	if fw.rnd.Float64() < fw.lost {
		fw.after(fw.sh.work, func() { fw.breakOne(at, sv, life) })
		return
	}
	took := fw.sh.work/2 + time.Duration(fw.rnd.ExpFloat64()*float64(fw.sh.work)/2)
	fw.after(took, func() {
		if at.closed {
			return
		}
		fl.close(at, ac.Upstream)
		fl.replied = true
		fl.step(fanout.Event{Kind: fanout.EvResult, Attempt: k, Verdict: fanout.Served})
	})
}

// conclude ends an arrival as an entry VM does; the caller may ask once more.
func (fl *simFlight) conclude(an fanout.Answer) {
	fw := fl.fw
	kind := "others "
	if fl.crashes {
		kind = "crashing "
	}
	fw.tally[kind+an.Outcome.String()]++
	switch {
	case fl.broken == 0 && !fl.suspect:
	case fl.replied:
		if up, known := fl.vm.table.Answered(fw.now, fl.fp); known {
			fl.vm.told(fw, []poison.Update{up})
		}
	default:
		fl.breaks(0)
		fl.vm.told(fw, fl.vm.table.Unserved(fw.now, fl.fp))
	}
	if fl.suspect {
		fw.release(fl.vm, fl.fp)
	}
	again := fw.sh.idempotent || an.Outcome == fanout.OutcomeNotRun
	if an.Outcome != fanout.OutcomeServed && again && fl.tries > 0 {
		fw.after(returnTime, func() { fw.arrive(fw.otherVM(fl.vm), fl.fp, fl.crashes, fl.tries-1) })
	}
}

func (fw *fleet) otherVM(vm *simVM) *simVM {
	return fw.vms[(vm.index+1+fw.rnd.IntN(len(fw.vms)-1))%len(fw.vms)]
}

// load has callers ask for other things all the while.
func (fw *fleet) load(until time.Duration) {
	gap := time.Second / time.Duration(fw.sh.rate)
	var next func()
	next = func() {
		fw.lastKey++
		fw.arrive(fw.vms[fw.rnd.IntN(len(fw.vms))], numbered(fw.lastKey), false, 1)
		if fw.now < until {
			fw.after(time.Duration(fw.rnd.ExpFloat64()*float64(gap)), next)
		}
	}
	fw.after(0, next)
}

// breaks counts attempts that servers broke, and gives the others a hint.
func (fl *simFlight) breaks(n int) {
	fl.broken += n
	if fl.hinted || fl.replied || fl.broken < hintEnds && n > 0 || fl.broken == 0 {
		return
	}
	fl.hinted = true
	fl.fw.after(hintTime, func() {
		for _, vm := range fl.fw.vms {
			vm.table.Hint(fl.fw.now, poison.Record{Fingerprint: fl.fp})
		}
	})
}

// late counts the arrivals of a request that reached servers later than the window after the
// third had ended under it.
func (fw *fleet) late(fp poison.Fingerprint) int {
	if len(fw.ended[fp]) < 3 {
		return 0
	}
	n := 0
	for _, at := range fw.reached[fp] {
		if at > fw.ended[fp][2]+window {
			n++
		}
	}
	return n
}

// crasher is the fingerprint of the request that crashes servers; the others' count from 1.
func crasher(n int) poison.Fingerprint { return numbered(1_000_000 + n) }

func shapes() []shape {
	return []shape{
		{"10 shards", 8, 10, 3, true, 150, 8 * ms},
		{"36 shards", 12, 36, 3, true, 100, 8 * ms},
		{"54 shards", 12, 54, 3, true, 60, 8 * ms},
		{"slow searches", 8, 10, 3, true, 60, 30 * ms},
		{"one service of 4", 8, 1, 4, true, 150, 40 * ms},
		{"one service of 4, once only", 8, 1, 4, false, 150, 40 * ms},
	}
}
