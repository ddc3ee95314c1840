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

// Sizes of messages on the wire, as measured with io/node (see
// docs/measures/fleet.md), in bytes: request and reply at rest with their
// headers, and one member more.
const (
	requestBytes = 355
	replyBytes   = 237
	memberBytes  = 44
)

// world steps machines over one queue of messages, in virtual time.
type world struct {
	vtime.Agenda[delivery]
	link  vtime.Link
	rnd   *rand.Rand
	delay time.Duration
	// cut tells which way nothing passes.
	cut   func(from, to *proc) bool
	procs map[string]*proc
	order []*proc
	tags  map[uint64]call
	tag   uint64
	onAct func(pr *proc, ac member.Action)
	// with changes the settings of machines that are booted.
	with func(cfg *member.Config)
}

// proc is one process of a VM.
type proc struct {
	ma     *member.Machine
	self   member.VM
	dead   bool
	paused bool
	held   []member.Event
	wake   time.Duration
	sent   int
	got    int
	steps  int
}

// call is a request under way.
type call struct {
	from     *proc
	exchange uint64
}

type delivery struct {
	to   *proc
	ev   member.Event
	wake bool
}

func newWorld(seed uint64, loss float64) *world {
	rnd := rand.New(rand.NewPCG(seed, 1))
	return &world{
		rnd:   rnd,
		link:  vtime.Link{Rand: rnd, Loss: loss},
		delay: time.Millisecond,
		cut:   func(_, _ *proc) bool { return false },
		procs: make(map[string]*proc),
		tags:  make(map[uint64]call),
	}
}

func addrOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7703", i/250, i%250) }

// boot starts a process; an earlier one at its address is dead from then on.
func (wo *world) boot(t testing.TB, addr, dataCentre string, incarnation uint64) *proc {
	t.Helper()
	vm := member.VM{Addr: addr, DataCentre: dataCentre, Region: "r", Incarnation: incarnation}
	cfg := member.Config{Self: vm, Random: rand.New(rand.NewPCG(wo.rnd.Uint64(), incarnation))}
	if wo.with != nil {
		wo.with(&cfg)
	}
	ma, err := member.New(cfg)
	is.New(t).NoErr(err)
	if old, ok := wo.procs[addr]; ok {
		old.dead = true
	}
	pr := &proc{ma: ma, self: vm, wake: -1}
	wo.procs[addr] = pr
	wo.order = append(wo.order, pr)
	return pr
}

// fleet boots n VMs in turn over data centres and gives each the whole list.
func (wo *world) fleet(t testing.TB, n, dataCentres int) []*proc {
	t.Helper()
	var prs []*proc
	for i := range n {
		prs = append(prs, wo.boot(t, addrOf(i), fmt.Sprintf("dc%02d", i%dataCentres), 1000))
	}
	wo.list(wo.vms()...)
	return prs
}

func (wo *world) vms() []member.VM {
	var vms []member.VM
	for _, pr := range wo.order {
		if !pr.dead {
			vms = append(vms, pr.self)
		}
	}
	return vms
}

// list gives all VMs the platform's list.
func (wo *world) list(vms ...member.VM) {
	for _, pr := range wo.order {
		if !pr.dead {
			wo.step(pr, member.Listed{VMs: vms})
		}
	}
}

// settle makes all know all, as after a long time without faults.
func (wo *world) settle() {
	var all []member.Member
	for _, pr := range wo.order {
		all = append(all, pr.ma.Self())
	}
	for _, pr := range wo.order {
		from := all[0]
		if from.Addr == pr.self.Addr {
			from = all[len(all)-1]
		}
		pr.ma.Step(wo.Now(), member.Received{Message: member.Message{From: from, Members: all}})
	}
}

// send carries an event from one process to another, unless it is lost.
func (wo *world) send(from, to *proc, ev member.Event, size int) {
	from.sent += size
	if to == nil || to.dead || wo.cut(from, to) || wo.link.Lost() {
		return
	}
	to.got += size
	wo.After(wo.delay, delivery{to: to, ev: ev})
}

func sizeOf(mg member.Message, head int) int { return head + memberBytes*len(mg.Members) }

func (wo *world) step(pr *proc, ev member.Event) {
	if pr.dead {
		return
	}
	if pr.paused {
		pr.held = append(pr.held, ev)
		return
	}
	pr.steps++
	for _, ac := range pr.ma.Step(wo.Now(), ev) {
		wo.perform(pr, ac)
	}
	if at := pr.ma.Wake(); pr.wake < wo.Now() || at < pr.wake {
		pr.wake = max(at, wo.Now())
		wo.After(pr.wake-wo.Now(), delivery{to: pr, ev: member.Tick{}, wake: true})
	}
}

func (wo *world) perform(pr *proc, ac member.Action) {
	if wo.onAct != nil {
		wo.onAct(pr, ac)
	}
	switch ac := ac.(type) {
	case member.Send:
		tag := wo.open(pr, ac.Exchange)
		wo.send(pr, wo.procs[ac.To.Addr], member.Received{Tag: tag, Message: ac.Message}, sizeOf(ac.Message, requestBytes))
	case member.Ask:
		tag := wo.open(pr, ac.Exchange)
		wo.send(pr, wo.procs[ac.Helper.Addr], member.HelpAsked{Tag: tag, Target: ac.Target}, requestBytes)
	case member.Reply:
		ca := wo.close(ac.Tag)
		wo.send(pr, ca.from, member.Answered{Exchange: ca.exchange, Message: ac.Message}, sizeOf(ac.Message, replyBytes))
	case member.Helped:
		ca := wo.close(ac.Tag)
		wo.send(pr, ca.from, member.HelpDone{Exchange: ca.exchange, Reached: ac.Reached, Target: ac.Target}, replyBytes)
	}
}

func (wo *world) open(from *proc, exchange uint64) uint64 {
	wo.tag++
	wo.tags[wo.tag] = call{from: from, exchange: exchange}
	return wo.tag
}

func (wo *world) close(tag uint64) call {
	ca := wo.tags[tag]
	delete(wo.tags, tag)
	if ca.from == nil {
		// A request made by hand has nobody who waits.
		return call{from: &proc{dead: true}}
	}
	return ca
}

// run lets d pass, or less if done holds before.
func (wo *world) run(d time.Duration, done func() bool) bool {
	for de := range wo.Until(wo.Now() + d) {
		if de.wake && (de.to.wake != wo.Now() || de.to.paused) {
			continue
		}
		if de.wake {
			de.to.wake = -1
		}
		wo.step(de.to, de.ev)
		if done != nil && done() {
			return true
		}
	}
	return false
}

// pause stops a process for d; what reaches it meanwhile waits.
func (wo *world) pause(pr *proc, d time.Duration) {
	pr.paused = true
	wo.run(d, nil)
	wo.resume(pr)
}

func (wo *world) resume(pr *proc) {
	pr.paused = false
	held := pr.held
	pr.held = nil
	wo.step(pr, member.Tick{})
	for _, ev := range held {
		wo.step(pr, ev)
	}
}

// stateAt is what one process knows of another's address.
func stateAt(pr *proc, addr string) (member.Member, bool) {
	for _, mb := range pr.ma.Members() {
		if mb.Addr == addr {
			return mb, true
		}
	}
	return member.Member{}, false
}

// agree tells whether all living processes hold that exactly these are live.
func (wo *world) agree() bool {
	want := map[member.VM]bool{}
	for _, pr := range wo.order {
		if !pr.dead {
			want[pr.ma.Self().VM] = true
		}
	}
	for _, pr := range wo.order {
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
