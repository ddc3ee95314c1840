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

// beatTimeout bounds the call of a heartbeat. It is longer than the time after which the state
// machine counts the heartbeat as lost, because a late reply still carries the other VM's
// knowledge.
const beatTimeout = time.Second

// members runs the membership on the control goroutine.
type members struct {
	ct           *control
	machine      *member.Machine
	timer        *time.Timer
	piggybackers []piggybacker
	// pending holds the callbacks of other VMs' requests that the state machine has not
	// answered yet, by tag.
	pending map[uint64]func(member.Action)
	lastTag uint64
	// lastStep is the time of the state machine's last step, with its wall-clock reading.
	lastStep time.Time
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
		// The settings were checked at startup.
		panic(err)
	}
	return &members{
		ct:       ct,
		machine:  ma,
		timer:    time.NewTimer(0),
		pending:  make(map[uint64]func(member.Action)),
		lastStep: time.Now(),
	}
}

// memberEvent carries an event of the membership's state machine.
type memberEvent struct {
	ev member.Event
}

func (me memberEvent) apply(ct *control) {
	ct.members.step(me.ev)
}

// tick is called when the timer fires.
func (ms *members) tick() {
	ms.step(member.Tick{Suspended: ms.suspendedFor()})
}

// suspendedFor returns how far the wall clock has advanced beyond the monotonic clock since the
// last step. The monotonic clock does not run while the VM is suspended.
func (ms *members) suspendedFor() time.Duration {
	now := time.Now()
	wall := now.Round(0).Sub(ms.lastStep.Round(0))
	return max(0, wall-now.Sub(ms.lastStep))
}

func (ms *members) step(ev member.Event) {
	changed := false
	for _, ac := range ms.machine.Step(time.Since(ms.ct.nd.started), ev) {
		changed = ms.do(ac) || changed
	}
	ms.lastStep = time.Now()
	ms.ct.nd.recovering.Store(ms.machine.Recovering())
	if _, ok := ev.(member.Listed); ok || changed {
		ms.ct.configs.peersChanged(ms.ct)
		ms.ct.upstreams.membersChanged(ms.holders())
	}
	ms.timer.Reset(max(0, ms.machine.Wake()-time.Since(ms.ct.nd.started)))
}

// do performs an action and reports whether a member's state has changed.
func (ms *members) do(ac member.Action) (changed bool) {
	switch ac := ac.(type) {
	case member.Send:
		ms.send(ac)
	case member.Ask:
		ms.requestProbe(ac)
	case member.Reply:
		ms.answer(ac.Tag, ac)
	case member.HelpReply:
		ms.answer(ac.Tag, ac)
	case member.Resumed:
		ms.resumed(ac)
	case member.Changed:
		ms.countChange(ac)
		return true
	}
	return false
}

func (ms *members) send(ac member.Send) {
	nd := ms.ct.nd
	rq := beatRequest(ac.Message)
	ms.attach(ac.To.Addr, ac.To.DataCentre, rq)
	nd.run("beat", func() error {
		// Not nd.stopping: a VM sends its last heartbeats while it stops.
		ctx, cancel := context.WithTimeout(context.Background(), beatTimeout)
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

// beatAnswered carries a heartbeat and its reply, with the data piggybacked on both.
type beatAnswered struct {
	exchange uint64
	request  *inner.BeatRequest
	reply    *inner.BeatReply
}

func (ev beatAnswered) apply(ct *control) {
	ct.signs.markDelivered(ev.request.GetSigns())
	ct.members.deliver(ev.reply.GetFrom(), piggybackOf(ev.reply))
	ct.members.step(member.Answered{Exchange: ev.exchange, Message: messageFromWire(ev.reply)})
}

func (ms *members) requestProbe(ac member.Ask) {
	nd := ms.ct.nd
	nd.meter.Count(meter.Member, "helpAsked")
	rq := &inner.ProbeRequest{Version: inner.Version, From: nd.self(), Target: vmToWire(ac.Target.VM), Member: memberToWire(ac.Target)}
	nd.run("probe", func() error {
		ctx, cancel := context.WithTimeout(nd.stopping, beatTimeout)
		defer cancel()
		rp, err := nd.peers.To(ac.Helper.Addr).Probe(ctx, rq)
		if err != nil {
			nd.post(memberEvent{ev: member.Failed{Exchange: ac.Exchange}})
			return nil
		}
		nd.post(memberEvent{ev: member.HelpDone{Exchange: ac.Exchange, Reached: rp.GetReached(), Target: memberFromWire(rp.GetMember())}})
		return nil
	})
}

// request steps the state machine with a request of another VM. The callback answer receives
// the action that answers the request, possibly in a later step.
func (ms *members) request(ev func(tag uint64) member.Event, answer func(member.Action)) (tag uint64) {
	ms.lastTag++
	tag = ms.lastTag
	ms.pending[tag] = answer
	ms.step(ev(tag))
	return tag
}

func (ms *members) answer(tag uint64, ac member.Action) {
	if answer, ok := ms.pending[tag]; ok {
		delete(ms.pending, tag)
		answer(ac)
	}
}

func (ms *members) resumed(ac member.Resumed) {
	nd := ms.ct.nd
	nd.meter.Count(meter.Member, "woke")
	nd.log.Warn().Int64("pauseMs", ac.Pause.Milliseconds()).Uint64("incarnation", ac.Incarnation).
		Msg("this VM was paused and rejoins as a new incarnation")
}

func (ms *members) countChange(ac member.Changed) {
	nd := ms.ct.nd
	nd.meter.Count(meter.Member, ac.Member.State().String())
	nd.log.Info().Str("vm", ac.Member.Addr).Str("dataCentre", ac.Member.DataCentre).
		Str("state", ac.Member.State().String()).Str("before", ac.Before.String()).
		Uint64("incarnation", ac.Member.Incarnation).Msg("VM state changed")
}

// listed processes the platform's VM list.
func (ms *members) listed(vms []wire.VM) {
	list := make([]member.VM, 0, len(vms))
	for _, vm := range vms {
		list = append(list, member.VM{Addr: vm.Addr, DataCentre: vm.DataCentre, Region: vm.Region})
	}
	ms.step(member.Listed{VMs: list})
}

// peers returns the VMs that are assumed to answer. While this VM is still joining, these
// include VMs that are only known from the platform's list.
func (ms *members) peers() []rank.VM {
	var out []rank.VM
	for _, mb := range ms.machine.Members() {
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
		return ms.machine.Joining()
	default:
		return false
	}
}

// holders returns the VMs that may hold connections to an upstream server. VMs that are leaving
// or unreachable still hold theirs, and VMs that are only on the list may hold some. Counting
// too few VMs would exceed the server's connection limit.
func (ms *members) holders() []conns.VM {
	var out []conns.VM
	for _, mb := range ms.machine.Members() {
		if mb.State() != member.StateGone {
			out = append(out, conns.VM{Addr: mb.Addr, DataCentre: mb.DataCentre})
		}
	}
	return out
}

// status returns the VMs for the status page. VMs of an unreachable data centre are shown as
// unreachable unless they are gone.
func (ms *members) status() []wire.VMStatus {
	out := []wire.VMStatus{}
	for _, mb := range ms.machine.Members() {
		state := mb.State().String()
		if !ms.machine.Reachable(mb.DataCentre) && mb.State() != member.StateGone {
			state = "unreachable"
		}
		out = append(out, wire.VMStatus{Addr: mb.Addr, DataCentre: mb.DataCentre, State: state, Incarnation: mb.Incarnation})
	}
	return out
}

// announceLeave informs the other VMs that this VM is leaving.
func (nd *Node) announceLeave() {
	nd.onControl(func(ct *control) { ct.members.step(member.Leave{}) })
}

// announceQuit informs the other VMs that this process ends.
func (nd *Node) announceQuit() {
	nd.onControl(func(ct *control) { ct.members.step(member.Quit{}) })
}
