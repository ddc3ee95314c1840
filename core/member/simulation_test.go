package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/member"
	"laburnumvane/internal/vtime"
)

// Message sizes on the wire in bytes, measured with io/node (see docs/measures/fleet.md): request
// and reply without updates, headers included, and one additional member.
const (
	requestBytes = 355
	replyBytes   = 237
	memberBytes  = 44
)

// simulation runs machines in virtual time, with one queue for the messages between them.
type simulation struct {
	vtime.Agenda[delivery]
	link  vtime.Link
	rnd   *rand.Rand
	delay time.Duration
	// blocked reports whether messages from one process to another are dropped.
	blocked  func(from, to *proc) bool
	procs    map[string]*proc
	order    []*proc
	calls    map[uint64]call
	lastTag  uint64
	onAction func(pr *proc, ac member.Action)
	// configure changes the configuration of machines booted later, unless nil.
	configure func(cfg *member.Config)
}

// proc is one process of a VM. Its queued events arrived while it was paused; received and sent
// count bytes.
type proc struct {
	ma       *member.Machine
	self     member.VM
	dead     bool
	paused   bool
	queued   []member.Event
	wake     time.Duration
	sent     int
	received int
	steps    int
}

// call is a request that waits for its reply.
type call struct {
	from     *proc
	exchange uint64
}

type delivery struct {
	to   *proc
	ev   member.Event
	wake bool
}

func newSimulation(seed uint64, loss float64) *simulation {
	rnd := rand.New(rand.NewPCG(seed, 1))
	return &simulation{
		rnd:     rnd,
		link:    vtime.Link{Rand: rnd, Loss: loss},
		delay:   time.Millisecond,
		blocked: func(_, _ *proc) bool { return false },
		procs:   make(map[string]*proc),
		calls:   make(map[uint64]call),
	}
}

func addrOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7703", i/250, i%250) }

// boot starts a process; an earlier one at the same address is dead from then on.
func (sim *simulation) boot(t testing.TB, addr, dataCentre string, incarnation uint64) *proc {
	t.Helper()
	vm := member.VM{Addr: addr, DataCentre: dataCentre, Region: "r", Incarnation: incarnation}
	cfg := member.Config{Self: vm, Random: rand.New(rand.NewPCG(sim.rnd.Uint64(), incarnation))}
	if sim.configure != nil {
		sim.configure(&cfg)
	}
	ma, err := member.New(cfg)
	is.New(t).NoErr(err)
	if old, ok := sim.procs[addr]; ok {
		old.dead = true
	}
	pr := &proc{ma: ma, self: vm, wake: -1}
	sim.procs[addr] = pr
	sim.order = append(sim.order, pr)
	return pr
}

// fleet boots n VMs, distributes them evenly over the data centres and gives each the whole VM
// list.
func (sim *simulation) fleet(t testing.TB, n, dataCentres int) []*proc {
	t.Helper()
	var prs []*proc
	for i := range n {
		prs = append(prs, sim.boot(t, addrOf(i), fmt.Sprintf("dc%02d", i%dataCentres), 1000))
	}
	sim.setList(sim.vms()...)
	return prs
}

func (sim *simulation) vms() []member.VM {
	var vms []member.VM
	for _, pr := range sim.order {
		if !pr.dead {
			vms = append(vms, pr.self)
		}
	}
	return vms
}

// setList passes the platform's VM list to all processes.
func (sim *simulation) setList(vms ...member.VM) {
	for _, pr := range sim.order {
		if !pr.dead {
			sim.step(pr, member.Listed{VMs: vms})
		}
	}
}

// settle makes every process known to every other, as after a long time without faults.
func (sim *simulation) settle() {
	var all []member.Member
	for _, pr := range sim.order {
		all = append(all, pr.ma.Self())
	}
	for _, pr := range sim.order {
		from := all[0]
		if from.Addr == pr.self.Addr {
			from = all[len(all)-1]
		}
		pr.ma.Step(sim.Now(), member.Received{Message: member.Message{From: from, Members: all}})
	}
}

// send delivers an event from one process to another after the delay, unless it is lost.
func (sim *simulation) send(from, to *proc, ev member.Event, size int) {
	from.sent += size
	if to == nil || to.dead || sim.blocked(from, to) || sim.link.Lost() {
		return
	}
	to.received += size
	sim.After(sim.delay, delivery{to: to, ev: ev})
}

func sizeOf(mg member.Message, head int) int { return head + memberBytes*len(mg.Members) }

func (sim *simulation) step(pr *proc, ev member.Event) {
	if pr.dead {
		return
	}
	if pr.paused {
		pr.queued = append(pr.queued, ev)
		return
	}
	pr.steps++
	for _, ac := range pr.ma.Step(sim.Now(), ev) {
		sim.perform(pr, ac)
	}
	if at := pr.ma.Wake(); pr.wake < sim.Now() || at < pr.wake {
		pr.wake = max(at, sim.Now())
		sim.After(pr.wake-sim.Now(), delivery{to: pr, ev: member.Tick{}, wake: true})
	}
}

func (sim *simulation) perform(pr *proc, ac member.Action) {
	if sim.onAction != nil {
		sim.onAction(pr, ac)
	}
	switch ac := ac.(type) {
	case member.Send:
		tag := sim.open(pr, ac.Exchange)
		sim.send(pr, sim.procs[ac.To.Addr], member.Received{Tag: tag, Message: ac.Message}, sizeOf(ac.Message, requestBytes))
	case member.Ask:
		tag := sim.open(pr, ac.Exchange)
		sim.send(pr, sim.procs[ac.Helper.Addr], member.HelpRequested{Tag: tag, Target: ac.Target}, requestBytes)
	case member.Reply:
		ca := sim.close(ac.Tag)
		sim.send(pr, ca.from, member.Answered{Exchange: ca.exchange, Message: ac.Message}, sizeOf(ac.Message, replyBytes))
	case member.HelpReply:
		ca := sim.close(ac.Tag)
		sim.send(pr, ca.from, member.HelpDone{Exchange: ca.exchange, Reached: ac.Reached, Target: ac.Target}, replyBytes)
	}
}

func (sim *simulation) open(from *proc, exchange uint64) uint64 {
	sim.lastTag++
	sim.calls[sim.lastTag] = call{from: from, exchange: exchange}
	return sim.lastTag
}

func (sim *simulation) close(tag uint64) call {
	ca := sim.calls[tag]
	delete(sim.calls, tag)
	if ca.from == nil {
		// A request that a test injected itself has no process waiting for the reply.
		return call{from: &proc{dead: true}}
	}
	return ca
}

// run advances the time by d, or until done returns true after an event, and reports whether it
// did.
func (sim *simulation) run(d time.Duration, done func() bool) bool {
	for de := range sim.Until(sim.Now() + d) {
		if de.wake && (de.to.wake != sim.Now() || de.to.paused) {
			continue
		}
		if de.wake {
			de.to.wake = -1
		}
		sim.step(de.to, de.ev)
		if done != nil && done() {
			return true
		}
	}
	return false
}

// pause stops a process for d; events that arrive meanwhile are queued.
func (sim *simulation) pause(pr *proc, d time.Duration) {
	pr.paused = true
	sim.run(d, nil)
	sim.resume(pr)
}

func (sim *simulation) resume(pr *proc) {
	pr.paused = false
	queued := pr.queued
	pr.queued = nil
	sim.step(pr, member.Tick{})
	for _, ev := range queued {
		sim.step(pr, ev)
	}
}

// viewOf returns a process's state of the VM at an address.
func viewOf(pr *proc, addr string) (member.Member, bool) {
	for _, mb := range pr.ma.Members() {
		if mb.Addr == addr {
			return mb, true
		}
	}
	return member.Member{}, false
}

// converged reports whether all live processes consider exactly the live processes live.
func (sim *simulation) converged() bool {
	want := map[member.VM]bool{}
	for _, pr := range sim.order {
		if !pr.dead {
			want[pr.ma.Self().VM] = true
		}
	}
	for _, pr := range sim.order {
		if pr.dead {
			continue
		}
		live := pr.ma.Live()
		if len(live) != len(want) {
			return false
		}
		for _, vm := range live {
			if !want[vm] {
				return false
			}
		}
	}
	return true
}
