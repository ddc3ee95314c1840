package node

import (
	"context"
	"math/rand/v2"
	"time"

	"laburnumvane/core/conns"
	"laburnumvane/core/server"
	"laburnumvane/core/view"
	"laburnumvane/io/inner"
	"laburnumvane/io/meter"
	"laburnumvane/io/upst"
)

const (
	// hintBytes is a quarter of the 8 KB a second that a node may spend on all
	// control at the size aimed at.
	hintBytes = 2 << 10
	hintBurst = 256 << 10
	hintEvery = 2 * time.Second

	// departedHold is how long a VM out of sight keeps its connections: as long
	// as the VM list may lag.
	departedHold = time.Minute
	// listPatience is how long a VM that sees no list of VMs waits before it
	// opens one connection to each server all the same, and for how long after
	// its start it has no more: the time in which VMs that start together find
	// each other.
	listPatience = 5 * time.Second
	// connectSetup is what a new connection costs the slowest of today's
	// servers, connectLoad the share of its time that may go into that.
	connectSetup = 6 * time.Millisecond
	connectLoad  = 0.25
	// farVMs is the size up to which VMs of other data centres get a part of a
	// server's connections: beyond, hardly any of them would have one.
	farVMs = 64

	// sweepEvery bounds the pause between two looks at the clock.
	sweepEvery = time.Second
)

// upstreams runs the decisions on upstream servers on the control goroutine.
type upstreams struct {
	ct     *control
	rnd    *rand.Rand
	states *server.Table
	maps   *server.Maps
	polls  *server.Polls
	placed *placement
	plan   *connPlan
	timer  *time.Timer
	dirty  bool
	// none stands for the connections to servers that this VM does not use.
	none *upst.Server
}

func newUpstreams(ct *control) *upstreams {
	set := ct.nd.set
	us := &upstreams{ct: ct, placed: newPlacement(), timer: time.NewTimer(sweepEvery)}
	us.none = upst.New(upst.Config{})
	us.rnd = rand.New(rand.NewPCG(set.Incarnation, seedOf(ct.nd.addr)))
	us.maps = server.NewMaps(func(id view.ServerID) bool { return !ct.view.ServerRef(id).State.Leaving() })
	us.states = server.New(server.Config{Rand: us.rnd, Last: us.maps.Last})
	us.polls = server.NewPolls(server.PollsConfig{Rand: us.rnd, BytesPerSecond: hintBytes, Burst: hintBurst, Every: hintEvery})
	us.plan = newConnPlan(us, conns.VM{Addr: ct.nd.addr, DataCentre: set.DataCentre})
	return us
}

// now counts from the start of the process.
func (us *upstreams) now() time.Duration {
	return time.Since(us.ct.nd.started)
}

// tick does what is due.
func (us *upstreams) tick() {
	now := us.now()
	us.do(us.states.Wake(now))
	us.plan.tick(now)
}

// flush publishes what an event has changed and sets the timer.
func (us *upstreams) flush() {
	now := us.now()
	for id, ok := us.polls.Take(now); ok; id, ok = us.polls.Take(now) {
		us.ask(id, false)
	}
	if registers, changed := us.maps.Registers(); changed {
		us.ct.view = us.ct.view.WithRegisters(registers)
		us.dirty = true
	}
	if us.dirty {
		us.dirty = false
		us.ct.publish()
	}
	us.timer.Reset(us.pause(now))
}

func (us *upstreams) pause(now time.Duration) time.Duration {
	next := now + sweepEvery
	if at, ok := us.states.Next(); ok {
		next = min(next, at)
	}
	if at, ok := us.polls.Next(now); ok {
		next = min(next, at)
	}
	if at, ok := us.plan.ramp.Next(); ok {
		next = min(next, at)
	}
	return max(0, next-now)
}

// step takes one event of a server.
func (us *upstreams) step(id view.ServerID, ev server.Event) {
	us.do(us.states.Step(us.now(), id, ev))
}

func (us *upstreams) do(actions []server.Action) {
	for _, ac := range actions {
		switch ac.Kind {
		case server.Publish:
			us.show(ac.ID)
		case server.Probe:
			us.ct.nd.meter.Count(meter.Server, "probe")
			us.ask(ac.ID, true)
		case server.Spread:
			us.tell(ac.Sign)
		}
	}
}

// show puts a server's new status into the view.
func (us *upstreams) show(id view.ServerID) {
	sv := us.ct.view.Server(id)
	st := us.states.Status(id)
	restarted := sv.Incarnation != 0 && sv.Incarnation != st.Incarnation
	if sv.State != st.State {
		us.ct.nd.meter.Count(meter.ServerState, st.State.String())
		us.ct.nd.log.Info().Str("server", sv.Addr).Str("state", st.State.String()).Str("why", st.Why).
			Uint64("incarnation", st.Incarnation).Msg("upstream's state")
	}
	sv.State, sv.Why, sv.Incarnation, sv.Weight = st.State, st.Why, st.Incarnation, st.Weight
	us.ct.view = us.ct.view.WithServer(sv)
	us.dirty = true
	us.ct.nd.upstream(id).known(st)
	if restarted {
		us.plan.restart(us.now(), id)
		us.polls.Urge(us.now(), id)
	}
	if st.State == view.StateGone {
		us.maps.Set(id, nil)
	}
}

// ask asks a server's load endpoint, as a probe or for its hint.
func (us *upstreams) ask(id view.ServerID, probe bool) {
	nd := us.ct.nd
	up := nd.upstream(id)
	nd.run("load", func() error {
		ctx, cancel := context.WithTimeout(nd.stopping, loadTimeout)
		defer cancel()
		st, err := up.Load(ctx)
		nd.post(loadSeen{id: id, probe: probe, status: st, err: err})
		return nil
	})
}

// heard takes another VM's sign.
func (us *upstreams) heard(sn *inner.Sign) {
	us.ct.nd.meter.Count(meter.Member, "signHeard")
	us.do(us.states.Learn(us.now(), server.Sign{
		Addr:        sn.GetServer(),
		Incarnation: sn.GetIncarnation(),
		Kind:        server.SignKind(sn.GetKind()),
	}))
}

// tell spreads a sign; one that came from another VM is passed on already.
func (us *upstreams) tell(sg server.Sign) {
	us.ct.nd.meter.Count(meter.Sign, sg.Kind.String())
	us.ct.signs.tell(&inner.Sign{Server: sg.Addr, Incarnation: sg.Incarnation, Kind: uint32(sg.Kind)})
}

// membersChanged takes the VMs that may hold connections.
func (us *upstreams) membersChanged(vms []conns.VM) {
	us.plan.members(us.now(), vms)
}

// newServer makes a server's connections; the plan allows them.
func (us *upstreams) newServer(addr string) *upst.Server {
	return upst.New(upst.Config{Addr: addr, DialTimeout: dialTimeout, Seed: us.rnd.Uint64()})
}
