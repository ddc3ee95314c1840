package poison_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

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

// patience is how long callers wait.
func (fw *fleet) patience() time.Duration {
	if fw.sh.shards == 1 {
		return 1500 * ms
	}
	return 400 * ms
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

// pollEvery is how often, on average, each of some callers asks for the same again.
const (
	pollEvery = 1500 * ms
	pollers   = 6
)

// poll has callers ask for the same again and again: they are at several VMs when servers
// end, and at later ends too.
func (fw *fleet) poll(until time.Duration) {
	for n := range pollers {
		var next func()
		next = func() {
			fw.arrive(fw.vms[fw.rnd.IntN(len(fw.vms))], numbered(2_000_000+n), false, 1)
			if fw.now < until {
				fw.after(time.Duration(fw.rnd.ExpFloat64()*float64(pollEvery)), next)
			}
		}
		fw.after(0, next)
	}
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
