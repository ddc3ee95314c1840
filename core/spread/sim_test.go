package spread

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/core/rank"
	"laburnumvane/internal/vtime"
)

// The tests step machines over a queue of messages with virtual time.

// fleet is some VMs, the service and the network between them.
type fleet struct {
	vtime.Agenda[func()]
	link  vtime.Link
	rnd   *rand.Rand
	vms   []*vm
	index map[string]*vm
	sv    *fakeService
	pace  Pace
	cut   func(a, b string) bool
	// baseline lets every VM watch by itself.
	baseline bool
	// past is how many bytes a value in the service has beyond the document.
	past  int
	steps int
	busy  time.Duration
	log   *strings.Builder
}

// vm is one VM and what is in force on it.
type vm struct {
	fl     *fleet
	self   rank.VM
	ma     *Machine
	force  map[string]Revision
	at     map[string]time.Duration
	alarms map[AlarmKind]int
	wake   time.Duration
	paused bool
	inbox  []Event
	life   int
	fell   string
	// bytes sent and received.
	bytes int
}

const (
	near     = time.Millisecond
	far      = 1500 * time.Microsecond
	overhead = 250 // bytes of a request or reply before its payload
)

// uncut is the network without a partition.
func uncut(_, _ string) bool { return false }

func newFleet(seed uint64, centres, each int) *fleet {
	rnd := rand.New(rand.NewPCG(seed, 7))
	fl := &fleet{index: map[string]*vm{}, rnd: rnd, cut: uncut}
	fl.link = vtime.Link{Rand: rnd, Jitter: time.Millisecond}
	fl.sv = &fakeService{fl: fl, held: map[string]Update{}}
	for c := range centres {
		for i := range each {
			self := rank.VM{Addr: fmt.Sprintf("10.%d.%d.%d:7703", c, i/250, i%250), DataCentre: fmt.Sprint("dc", c)}
			v := &vm{fl: fl, self: self}
			fl.vms = append(fl.vms, v)
			fl.index[self.Addr] = v
		}
	}
	return fl
}

// count adds a message to what the VM sent or received.
func (v *vm) count(size int) { v.bytes += size + overhead }

func (fl *fleet) list() []rank.VM {
	out := make([]rank.VM, len(fl.vms))
	for i, v := range fl.vms {
		out[i] = v.self
	}
	return out
}

func (fl *fleet) start() {
	for _, v := range fl.vms {
		v.boot()
	}
}

func (fl *fleet) run(d time.Duration) {
	for run := range fl.Until(fl.Now() + d) {
		run()
	}
}

func (fl *fleet) find(addr string) *vm { return fl.index[addr] }

// send carries a message of so many bytes of payload.
func (fl *fleet) send(from, to *vm, size int, run func()) {
	from.count(size)
	to.count(size)
	if fl.link.Lost() || fl.cut(from.self.DataCentre, to.self.DataCentre) {
		return
	}
	dist := near
	if from.self.DataCentre != to.self.DataCentre {
		dist = far
	}
	life := to.life
	fl.After(fl.link.Delay(dist), func() {
		if to.life == life {
			run()
		}
	})
}

// boot begins a new process that holds nothing.
func (v *vm) boot() {
	v.life++
	v.ma = New(Config{Self: v.self, Rand: rand.New(rand.NewPCG(v.fl.rnd.Uint64(), 1)), Readable: readable, Pace: v.fl.pace})
	v.force, v.at, v.alarms = map[string]Revision{}, map[string]time.Duration{}, map[AlarmKind]int{}
	v.inbox, v.paused = nil, false
	if v.fl.baseline {
		v.step(Members{})
		return
	}
	v.step(Members{VMs: v.fl.list()})
}

func readable(up Update) error {
	if strings.HasPrefix(string(up.Document), "newer") {
		return errors.New("unknown field")
	}
	return nil
}

func (v *vm) step(ev Event) {
	if v.paused {
		v.inbox = append(v.inbox, ev)
		return
	}
	begun := time.Now()
	acts := v.ma.Step(v.fl.Now(), ev)
	v.fl.busy += time.Since(begun)
	v.fl.steps++
	for _, ac := range acts {
		v.do(ac)
	}
	v.schedule()
}

func (v *vm) schedule() {
	next := v.ma.Next()
	if next == never || v.wake > v.fl.Now() && v.wake <= next {
		return
	}
	v.wake = next
	life := v.life
	v.fl.After(max(0, next-v.fl.Now()), func() {
		if v.life == life && v.wake == next {
			v.wake = 0
			v.step(Tick{})
		}
	})
}

func (v *vm) resume() {
	v.paused = false
	inbox := v.inbox
	v.inbox = nil
	for _, ev := range inbox {
		v.step(ev)
	}
	v.step(Tick{})
}

func (v *vm) do(ac Action) {
	switch ac := ac.(type) {
	case Range:
		v.fl.sv.call(v, func() { v.fl.sv.ranged(v, ac) })
	case Watch:
		v.fl.sv.call(v, func() { v.fl.sv.watch(v, ac) })
	case Push:
		v.push(ac)
	case Compare:
		v.compare(ac)
	case Pull:
		v.pull(ac)
	case Apply:
		v.apply(ac.Update)
	case Restore:
		v.fl.sv.call(v, func() { v.fl.sv.restore(ac.Update) })
	case Alarm:
		if ac.Raised {
			v.alarms[ac.Kind]++
		}
		if v.fl.log != nil {
			fmt.Fprintf(v.fl.log, "%10s %s alarm %s team=%s raised=%t %s\n", v.fl.Now().Round(time.Millisecond), v.self.Addr, ac.Kind, ac.Team, ac.Raised, ac.Text)
		}
	}
}

func (v *vm) apply(up Update) {
	if old := v.force[up.Team]; up.Revision <= old.Revision && !up.Name().newer(old) {
		v.fell = fmt.Sprintf("%s: team %s went from %d to %d", v.self.Addr, up.Team, old.Revision, up.Revision)
	}
	v.force[up.Team] = up.Name()
	v.at[up.ChangeID] = v.fl.Now()
	if v.fl.log != nil {
		fmt.Fprintf(v.fl.log, "%10s %s in force %s/%d\n", v.fl.Now().Round(time.Millisecond), v.self.Addr, up.Team, up.Revision)
	}
}

func (v *vm) push(ac Push) {
	to := v.fl.find(ac.To.Addr)
	v.fl.send(v, to, sizeOf([]Update{ac.Update}), func() {
		to.step(Pushed{From: v.self, Updates: []Update{ac.Update}})
		if !to.paused {
			v.fl.send(to, v, 4, func() { v.step(Acked{Call: ac.Call}) })
		}
	})
}

func (v *vm) compare(ac Compare) {
	to := v.fl.find(ac.To.Addr)
	v.fl.send(v, to, 60, func() {
		if to.paused {
			return
		}
		dg := to.ma.Digest()
		to.step(Beat{From: v.self, Digest: ac.Digest})
		v.fl.send(to, v, 24, func() { v.step(Compared{Call: ac.Call, Digest: dg}) })
	})
}

// deflated is a document's size between VMs, as a share of its own: a sixth was
// measured by BenchmarkMessage of io/node.
const deflated = 0.2

// sizeOf is the payload of a message between VMs in bytes.
func sizeOf(ups []Update) int {
	size := 0
	for _, up := range ups {
		size += int(deflated*float64(len(up.Document))) + 40
	}
	return size
}

// valuesOf is the payload of an answer of the service in bytes.
func (sv *fakeService) valuesOf(ups []Update) int {
	size := 0
	for _, up := range ups {
		size += len(up.Document) + sv.fl.past
	}
	return size
}

func (v *vm) pull(ac Pull) {
	to := v.fl.find(ac.To.Addr)
	v.fl.send(v, to, 30*len(ac.Held), func() {
		if to.paused {
			return
		}
		ups, more := to.ma.Answer(ac.Held)
		v.fl.send(to, v, sizeOf(ups), func() { v.step(Pulled{Call: ac.Call, Updates: ups, More: more}) })
	})
}

// change accepts a change through a VM, as the proposer there would.
func (fl *fleet) change(v *vm, team, id string, size int) Update {
	revision := max(fl.sv.held[team].Revision, v.force[team].Revision) + 1
	up := Update{Team: team, Revision: revision, ChangeID: id, Document: []byte(strings.Repeat("x", size))}
	fl.sv.put(up)
	v.step(Accepted{Update: up})
	return up
}
