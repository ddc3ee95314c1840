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

// The tests step machines and deliver their messages in virtual time.

// fleet simulates some VMs, the service and the network between them.
type fleet struct {
	vtime.Agenda[func()]
	link    vtime.Link
	rnd     *rand.Rand
	vms     []*vm
	byAddr  map[string]*vm
	service *fakeService
	pace    Pace
	// cut reports whether two data centres, or a data centre and "service", are partitioned.
	cut func(a, b string) bool
	// everyVMWatches makes every VM watch the service.
	everyVMWatches bool
	// valueOverhead is by how many bytes a value in the service is larger than its document.
	valueOverhead int
	steps         int
	stepTime      time.Duration
	log           *strings.Builder
}

// vm simulates one VM and the configuration in force on it.
type vm struct {
	fl          *fleet
	self        rank.VM
	ma          *Machine
	inForce     map[string]Revision
	inForceAt   map[string]time.Duration
	alarms      map[AlarmKind]int
	wakeAt      time.Duration
	paused      bool
	inbox       []Event
	incarnation int
	regression  string
	// bytes counts the bytes sent and received.
	bytes int
}

const (
	localDelay  = time.Millisecond
	remoteDelay = 1500 * time.Microsecond
	overhead    = 250 // bytes of a request or reply before its payload
)

// noCut is a network without a partition.
func noCut(_, _ string) bool { return false }

func newFleet(seed uint64, dataCentres, vmsPerDC int) *fleet {
	rnd := rand.New(rand.NewPCG(seed, 7))
	fl := &fleet{byAddr: map[string]*vm{}, rnd: rnd, cut: noCut}
	fl.link = vtime.Link{Rand: rnd, Jitter: time.Millisecond}
	fl.service = &fakeService{fl: fl, held: map[string]Update{}}
	for c := range dataCentres {
		for i := range vmsPerDC {
			self := rank.VM{Addr: fmt.Sprintf("10.%d.%d.%d:7703", c, i/250, i%250), DataCentre: fmt.Sprint("dc", c)}
			v := &vm{fl: fl, self: self}
			fl.vms = append(fl.vms, v)
			fl.byAddr[self.Addr] = v
		}
	}
	return fl
}

// count adds a message to the bytes sent and received.
func (v *vm) count(size int) { v.bytes += size + overhead }

func (fl *fleet) members() []rank.VM {
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

func (fl *fleet) find(addr string) *vm { return fl.byAddr[addr] }

// send delivers a message with a payload of size bytes.
func (fl *fleet) send(from, to *vm, size int, f func()) {
	from.count(size)
	to.count(size)
	if fl.link.Lost() || fl.cut(from.self.DataCentre, to.self.DataCentre) {
		return
	}
	delay := localDelay
	if from.self.DataCentre != to.self.DataCentre {
		delay = remoteDelay
	}
	incarnation := to.incarnation
	fl.After(fl.link.Delay(delay), func() {
		if to.incarnation == incarnation {
			f()
		}
	})
}

// boot starts a new process without updates.
func (v *vm) boot() {
	v.incarnation++
	v.ma = New(Config{Self: v.self, Rand: rand.New(rand.NewPCG(v.fl.rnd.Uint64(), 1)), CheckReadable: readable, Pace: v.fl.pace})
	v.inForce, v.inForceAt, v.alarms = map[string]Revision{}, map[string]time.Duration{}, map[AlarmKind]int{}
	v.inbox, v.paused = nil, false
	if v.fl.everyVMWatches {
		v.step(Members{})
		return
	}
	v.step(Members{VMs: v.fl.members()})
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
	start := time.Now()
	actions := v.ma.Step(v.fl.Now(), ev)
	v.fl.stepTime += time.Since(start)
	v.fl.steps++
	for _, ac := range actions {
		v.perform(ac)
	}
	v.schedule()
}

func (v *vm) schedule() {
	next := v.ma.Next()
	if next == never || v.wakeAt > v.fl.Now() && v.wakeAt <= next {
		return
	}
	v.wakeAt = next
	incarnation := v.incarnation
	v.fl.After(max(0, next-v.fl.Now()), func() {
		if v.incarnation == incarnation && v.wakeAt == next {
			v.wakeAt = 0
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

func (v *vm) perform(ac Action) {
	switch ac := ac.(type) {
	case Range:
		v.fl.service.call(v, func() { v.fl.service.answerRange(v, ac) })
	case Watch:
		v.fl.service.call(v, func() { v.fl.service.watch(v, ac) })
	case Push:
		v.push(ac)
	case Compare:
		v.compare(ac)
	case Pull:
		v.pull(ac)
	case Apply:
		v.apply(ac.Update)
	case Restore:
		v.fl.service.call(v, func() { v.fl.service.restore(ac.Update) })
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
	if old := v.inForce[up.Team]; up.Revision <= old.Revision && !up.ID().newer(old) {
		v.regression = fmt.Sprintf("%s: team %s went from %d to %d", v.self.Addr, up.Team, old.Revision, up.Revision)
	}
	v.inForce[up.Team] = up.ID()
	v.inForceAt[up.ChangeID] = v.fl.Now()
	if v.fl.log != nil {
		fmt.Fprintf(v.fl.log, "%10s %s in force %s/%d\n", v.fl.Now().Round(time.Millisecond), v.self.Addr, up.Team, up.Revision)
	}
}

func (v *vm) push(ac Push) {
	to := v.fl.find(ac.To.Addr)
	v.fl.send(v, to, messageBytes([]Update{ac.Update}), func() {
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
		to.step(PeerDigest{From: v.self, Digest: ac.Digest})
		v.fl.send(to, v, 24, func() { v.step(Compared{Call: ac.Call, Digest: dg}) })
	})
}

// deflated is the compressed size of a document in a message between VMs, as a share of its size.
// BenchmarkMessage of io/node measured a sixth.
const deflated = 0.2

// messageBytes is the payload of a message between VMs in bytes.
func messageBytes(ups []Update) int {
	bytes := 0
	for _, up := range ups {
		bytes += int(deflated*float64(len(up.Document))) + 40
	}
	return bytes
}

// valueBytes is the payload of an answer of the service in bytes.
func (sv *fakeService) valueBytes(ups []Update) int {
	bytes := 0
	for _, up := range ups {
		bytes += len(up.Document) + sv.fl.valueOverhead
	}
	return bytes
}

func (v *vm) pull(ac Pull) {
	to := v.fl.find(ac.To.Addr)
	v.fl.send(v, to, 30*len(ac.Held), func() {
		if to.paused {
			return
		}
		ups, more := to.ma.MissingFrom(ac.Held)
		v.fl.send(to, v, messageBytes(ups), func() { v.step(Pulled{Call: ac.Call, Updates: ups, More: more}) })
	})
}

// change accepts a change through a VM, as that VM's proposer would.
func (fl *fleet) change(v *vm, team, id string, size int) Update {
	revision := max(fl.service.held[team].Revision, v.inForce[team].Revision) + 1
	up := Update{Team: team, Revision: revision, ChangeID: id, Document: []byte(strings.Repeat("x", size))}
	fl.service.put(up)
	v.step(Accepted{Update: up})
	return up
}
