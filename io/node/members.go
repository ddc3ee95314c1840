package node

import (
	"context"
	"math/rand/v2"
	"time"

	"laburnumvane/core/conns"
	"laburnumvane/core/member"
	"laburnumvane/core/rank"
	"laburnumvane/io/inner"
	"laburnumvane/io/meter"
	"laburnumvane/io/wire"
)

// beatPatience bounds a beat's call. It is beyond the time at which the machine
// counts the beat as lost: a late answer still tells what the other VM knows.
const beatPatience = time.Second

// members runs the membership on the control goroutine.
type members struct {
	ct     *control
	ma     *member.Machine
	timer  *time.Timer
	riders []rider
	// asked are requests of other VMs that wait for the machine's answer.
	asked map[uint64]func(member.Action)
	tags  uint64
	// stepped is when the machine was stepped last, with the wall clock.
	stepped time.Time
}

func newMembers(ct *control) *members {
	set := ct.nd.set
	ma, err := member.New(member.Config{
		Self: member.VM{
			Addr:        ct.nd.addr,
			DataCentre:  set.DataCentre,
			Region:      set.Region,
			Incarnation: set.Incarnation,
		},
		Random: rand.New(rand.NewPCG(set.Incarnation, seedOf("member "+ct.nd.addr))),
	})
	if err != nil {
		// The settings were checked at the start.
		panic(err)
	}
	return &members{
		ct:      ct,
		ma:      ma,
		timer:   time.NewTimer(0),
		asked:   make(map[uint64]func(member.Action)),
		stepped: time.Now(),
	}
}

// memberEvent hands an event to the membership.
type memberEvent struct {
	ev member.Event
}

func (me memberEvent) apply(ct *control) {
	ct.members.step(me.ev)
}

// tick is due when the timer fires.
func (ms *members) tick() {
	ms.step(member.Tick{Slept: ms.slept()})
}

// slept is how far the wall clock went beyond the monotonic one, which stands
// still on a VM that is suspended.
func (ms *members) slept() time.Duration {
	now := time.Now()
	wall := now.Round(0).Sub(ms.stepped.Round(0))
	return max(0, wall-now.Sub(ms.stepped))
}

func (ms *members) step(ev member.Event) {
	changed := false
	for _, ac := range ms.ma.Step(time.Since(ms.ct.nd.started), ev) {
		changed = ms.do(ac) || changed
	}
	ms.stepped = time.Now()
	ms.ct.nd.recovering.Store(ms.ma.Recovering())
	if _, ok := ev.(member.Listed); ok || changed {
		ms.ct.conf.peersChanged(ms.ct)
		ms.ct.ups.membersChanged(ms.holders())
	}
	ms.timer.Reset(max(0, ms.ma.Wake()-time.Since(ms.ct.nd.started)))
}

// do performs an action and tells whether the fleet has changed.
func (ms *members) do(ac member.Action) (changed bool) {
	switch ac := ac.(type) {
	case member.Send:
		ms.send(ac)
	case member.Ask:
		ms.help(ac)
	case member.Reply:
		ms.answer(ac.Tag, ac)
	case member.Helped:
		ms.answer(ac.Tag, ac)
	case member.Woke:
		ms.woke(ac)
	case member.Changed:
		ms.changed(ac)
		return true
	}
	return false
}

func (ms *members) send(ac member.Send) {
	nd := ms.ct.nd
	rq := requestOf(ac.Message)
	ms.load(ac.To.Addr, ac.To.DataCentre, rq)
	nd.run("beat", func() error {
		// The last beats of a VM go out while it stops.
		ctx, cancel := context.WithTimeout(context.Background(), beatPatience)
		defer cancel()
		rp, err := nd.peers.To(ac.To.Addr).Beat(ctx, rq)
		if err != nil {
			nd.meter.Count(meter.Member, "beatFailed")
			nd.post(memberEvent{ev: member.Failed{Exchange: ac.Exchange}})
			return nil
		}
		nd.post(beatAnswered{exchange: ac.Exchange, request: rq, reply: rp})
		return nil
	})
}

// beatAnswered brings the answer to a beat with what rode on both.
type beatAnswered struct {
	exchange uint64
	request  *inner.BeatRequest
	reply    *inner.BeatReply
}

func (ev beatAnswered) apply(ct *control) {
	ct.signs.delivered(ev.request.GetSigns())
	ct.members.unload(ev.reply.GetFrom(), cargoOf(ev.reply))
	ct.members.step(member.Answered{Exchange: ev.exchange, Message: beatMessage(ev.reply)})
}

func (ms *members) help(ac member.Ask) {
	nd := ms.ct.nd
	nd.meter.Count(meter.Member, "helpAsked")
	rq := &inner.ProbeRequest{Version: inner.Version, From: nd.self(), Target: vmOf(ac.Target.VM), Member: memberOut(ac.Target)}
	nd.run("probe", func() error {
		ctx, cancel := context.WithTimeout(nd.stopping, beatPatience)
		defer cancel()
		rp, err := nd.peers.To(ac.Helper.Addr).Probe(ctx, rq)
		if err != nil {
			nd.post(memberEvent{ev: member.Failed{Exchange: ac.Exchange}})
			return nil
		}
		nd.post(memberEvent{ev: member.HelpDone{Exchange: ac.Exchange, Reached: rp.GetReached(), Target: memberIn(rp.GetMember())}})
		return nil
	})
}

// request steps the machine with a request of another VM; answer is called with
// the action that answers it, perhaps only in a later step.
func (ms *members) request(ev func(tag uint64) member.Event, answer func(member.Action)) (tag uint64) {
	ms.tags++
	tag = ms.tags
	ms.asked[tag] = answer
	ms.step(ev(tag))
	return tag
}

func (ms *members) answer(tag uint64, ac member.Action) {
	if answer, ok := ms.asked[tag]; ok {
		delete(ms.asked, tag)
		answer(ac)
	}
}

func (ms *members) woke(ac member.Woke) {
	nd := ms.ct.nd
	nd.meter.Count(meter.Member, "woke")
	nd.log.Warn().Int64("pauseMs", ac.Pause.Milliseconds()).Uint64("incarnation", ac.Incarnation).
		Msg("this VM stood still and rejoins as a new incarnation")
}

func (ms *members) changed(ac member.Changed) {
	nd := ms.ct.nd
	nd.meter.Count(meter.Member, ac.Member.State().String())
	nd.log.Info().Str("vm", ac.Member.Addr).Str("dataCentre", ac.Member.DataCentre).
		Str("state", ac.Member.State().String()).Str("before", ac.Before.String()).
		Uint64("incarnation", ac.Member.Incarnation).Msg("VM")
}

// listed takes the platform's list.
func (ms *members) listed(vms []wire.VM) {
	list := make([]member.VM, 0, len(vms))
	for _, vm := range vms {
		list = append(list, member.VM{Addr: vm.Addr, DataCentre: vm.DataCentre, Region: vm.Region})
	}
	ms.step(member.Listed{VMs: list})
}

// peers are the VMs that can be asked and relied on. While this VM does not know
// the fleet yet, those on the list are the best guess.
func (ms *members) peers() []rank.VM {
	var out []rank.VM
	for _, mb := range ms.ma.Members() {
		if ms.reliable(mb) {
			out = append(out, rank.VM{Addr: mb.Addr, DataCentre: mb.DataCentre})
		}
	}
	return out
}

func (ms *members) reliable(mb member.Member) bool {
	switch mb.State() {
	case member.StateLive, member.StateSuspect:
		return true
	case member.StateCandidate:
		return ms.ma.Joining()
	default:
		return false
	}
}

// holders are the VMs that may hold connections to an upstream server. A VM that
// leaves or cannot be heard still holds its own, and one that is only on the
// list may hold some: to count too few would break the server's limit.
func (ms *members) holders() []conns.VM {
	var out []conns.VM
	for _, mb := range ms.ma.Members() {
		if mb.State() != member.StateGone {
			out = append(out, conns.VM{Addr: mb.Addr, DataCentre: mb.DataCentre})
		}
	}
	return out
}

// status lists the VMs as operators see them.
func (ms *members) status() []wire.VMStatus {
	out := []wire.VMStatus{}
	for _, mb := range ms.ma.Members() {
		state := mb.State().String()
		if !ms.ma.Reachable(mb.DataCentre) && mb.State() != member.StateGone {
			state = "unreachable"
		}
		out = append(out, wire.VMStatus{Addr: mb.Addr, DataCentre: mb.DataCentre, State: state, Incarnation: mb.Incarnation})
	}
	return out
}

// leave tells the others that this VM is leaving.
func (nd *Node) leave() {
	nd.ask(func(ct *control) { ct.members.step(member.Leave{}) })
}

// quit tells the others that this process ends.
func (nd *Node) quit() {
	nd.ask(func(ct *control) { ct.members.step(member.Quit{}) })
}
