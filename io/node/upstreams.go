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
	// hintBytesPerSecond is the budget for polling servers' load endpoints: a quarter
	// of the 8 kB/s that a VM may spend on control traffic at the intended size.
	hintBytesPerSecond = 2 << 10
	hintBurstBytes     = 256 << 10
	hintInterval       = 2 * time.Second

	// departureDelay is how long a VM that has disappeared still counts as a holder of
	// connections: as long as the VM list may lag.
	departureDelay = time.Minute
	// listSettleTime is how long a VM without a VM list waits before it opens one connection
	// to each server anyway. Until then after its start it opens no more than one either. It is
	// the time in which VMs that start together learn of each other.
	listSettleTime = 5 * time.Second
	// connSetupTime is the time that a new connection costs the slowest of today's servers,
	// connSetupShare the share of a server's time that may be spent on new connections.
	connSetupTime  = 6 * time.Millisecond
	connSetupShare = 0.25
	// maxVMsForRemoteShares is the number of VMs up to which VMs of other data centres get a
	// share of a server's connections. With more VMs hardly any of them would get one.
	maxVMsForRemoteShares = 64

	// maxTickInterval bounds the time between two ticks.
	maxTickInterval = time.Second
)

// upstreams runs the state machines of upstream servers on the control goroutine.
type upstreams struct {
	ct          *control
	rnd         *rand.Rand
	states      *server.Table
	maps        *server.Maps
	polls       *server.Polls
	placement   *placement
	plan        *connPlan
	timer       *time.Timer
	viewChanged bool
	// noServer is the connection pool of all servers that this VM does not use.
	noServer *upst.Server
}

func newUpstreams(ct *control) *upstreams {
	set := ct.nd.set
	us := &upstreams{ct: ct, placement: newPlacement(), timer: time.NewTimer(maxTickInterval)}
	us.noServer = upst.New(upst.Config{})
	us.rnd = rand.New(rand.NewPCG(set.Incarnation, seedOf(ct.nd.addr)))
	us.maps = server.NewMaps(func(id view.ServerID) bool { return !ct.view.ServerRef(id).State.Leaving() })
	us.states = server.New(server.Config{Rand: us.rnd, IsLastReplica: us.maps.IsLastReplica})
	us.polls = server.NewPolls(server.PollsConfig{Rand: us.rnd, BytesPerSecond: hintBytesPerSecond, Burst: hintBurstBytes, Every: hintInterval})
	us.plan = newConnPlan(us, conns.VM{Addr: ct.nd.addr, DataCentre: set.DataCentre})
	return us
}

// now returns the time since the VM's start.
func (us *upstreams) now() time.Duration {
	return time.Since(us.ct.nd.started)
}

// tick performs what is due. It is called when the timer fires.
func (us *upstreams) tick() {
	now := us.now()
	us.do(us.states.Wake(now))
	us.plan.tick(now)
}

// flush starts the polls that are due, publishes what an event has changed, and resets the timer.
func (us *upstreams) flush() {
	now := us.now()
	for id, ok := us.polls.Take(now); ok; id, ok = us.polls.Take(now) {
		us.pollLoad(id, false)
	}
	if registers, changed := us.maps.Registers(); changed {
		us.ct.view = us.ct.view.WithRegisters(registers)
		us.viewChanged = true
	}
	if us.viewChanged {
		us.viewChanged = false
		us.ct.publish()
	}
	us.timer.Reset(us.untilNextTick(now))
}

func (us *upstreams) untilNextTick(now time.Duration) time.Duration {
	next := now + maxTickInterval
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

// step processes an event of a server.
func (us *upstreams) step(id view.ServerID, ev server.Event) {
	us.do(us.states.Step(us.now(), id, ev))
}

func (us *upstreams) do(actions []server.Action) {
	for _, ac := range actions {
		switch ac.Kind {
		case server.Publish:
			us.updateView(ac.ID)
		case server.Probe:
			us.ct.nd.meter.Count(meter.Server, "probe")
			us.pollLoad(ac.ID, true)
		case server.SendSign:
			us.sendSign(ac.Sign)
		}
	}
}

// updateView puts a server's new status into the view.
func (us *upstreams) updateView(id view.ServerID) {
	sv := us.ct.view.Server(id)
	st := us.states.Status(id)
	restarted := sv.Incarnation != 0 && sv.Incarnation != st.Incarnation
	if sv.State != st.State {
		us.ct.nd.meter.Count(meter.ServerState, st.State.String())
		us.ct.nd.log.Info().Str("server", sv.Addr).Str("state", st.State.String()).Str("why", st.Why).
			Uint64("incarnation", st.Incarnation).Msg("upstream server's state changed")
	}
	sv.State, sv.Why, sv.Incarnation, sv.Weight = st.State, st.Why, st.Incarnation, st.Weight
	us.ct.view = us.ct.view.WithServer(sv)
	us.viewChanged = true
	us.ct.nd.upstream(id).setStatus(st)
	if restarted {
		us.plan.restart(us.now(), id)
		us.polls.PollSoon(us.now(), id)
	}
	if st.State == view.StateGone {
		us.maps.Set(id, nil)
	}
}

// pollLoad queries a server's load endpoint, as a probe or for its holdings.
func (us *upstreams) pollLoad(id view.ServerID, probe bool) {
	nd := us.ct.nd
	up := nd.upstream(id)
	nd.run("load", func() error {
		ctx, cancel := context.WithTimeout(nd.stopping, loadTimeout)
		defer cancel()
		st, err := up.Load(ctx)
		nd.post(loadReceived{id: id, probe: probe, status: st, err: err})
		return nil
	})
}

// receiveSign processes another VM's sign.
func (us *upstreams) receiveSign(sn *inner.Sign) {
	us.ct.nd.meter.Count(meter.Member, "signHeard")
	us.do(us.states.StepSign(us.now(), server.Sign{
		Addr:        sn.GetServer(),
		Incarnation: sn.GetIncarnation(),
		Kind:        server.SignKind(sn.GetKind()),
	}))
}

// sendSign sends a sign of this VM's own to the others. Signs of other VMs are passed on by signs.
func (us *upstreams) sendSign(sg server.Sign) {
	us.ct.nd.meter.Count(meter.Sign, sg.Kind.String())
	us.ct.signs.announce(&inner.Sign{Server: sg.Addr, Incarnation: sg.Incarnation, Kind: uint32(sg.Kind)})
}

// membersChanged passes the VMs that may hold connections to the connection plan.
func (us *upstreams) membersChanged(vms []conns.VM) {
	us.plan.members(us.now(), vms)
}

// newServer returns a server's connection pool. The connection plan sets its limit.
func (us *upstreams) newServer(addr string) *upst.Server {
	return upst.New(upst.Config{Addr: addr, DialTimeout: dialTimeout, Seed: us.rnd.Uint64()})
}
