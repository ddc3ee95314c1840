package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumvane/core/rank"
	"laburnumvane/core/spread"
	"laburnumvane/core/team"
	"laburnumvane/core/view"
	"laburnumvane/io/meter"
)

const (
	// configPatience bounds a call to the key-value service: one that is slow
	// by 10 s still counts as up.
	configPatience = 12 * time.Second
	// compareEvery is the pace of comparisons beside the heartbeats, which
	// carry the same digests every second.
	compareEvery = 3 * time.Second
	vmsEvery     = 2 * time.Second
	vmsPause     = time.Second
)

// meterConfig counts what the distribution of configuration does.
const meterConfig = "config"

// configs runs the distribution of configuration on the control goroutine; its
// calls run on goroutines of their own and come back as events.
type configs struct {
	ct      *control
	ma      *spread.Machine
	timer   *time.Timer
	cancels map[spread.Call]context.CancelFunc
	alarms  map[spread.AlarmKind]map[string]string
	peers   []rank.VM
	listed  bool
}

// peerLister tells the VMs that may be asked and relied on.
type peerLister interface {
	Peers() []rank.VM
}

func newConfigs(ct *control) *configs {
	set := ct.nd.set
	return &configs{
		ct: ct,
		ma: spread.New(spread.Config{
			Self:     rank.VM{Addr: ct.nd.addr, DataCentre: set.DataCentre},
			Rand:     rand.New(rand.NewPCG(set.Incarnation, seedOf(ct.nd.addr))),
			Readable: readable,
			Pace:     spread.Pace{CompareEvery: compareEvery},
		}),
		timer:   time.NewTimer(0),
		cancels: make(map[spread.Call]context.CancelFunc),
		alarms:  make(map[spread.AlarmKind]map[string]string),
	}
}

// readable tells whether this build can work by a document.
func readable(up spread.Update) error {
	_, err := team.Parse(up.Team, up.Document)
	return err
}

// configEvent hands an event to the distribution.
type configEvent struct {
	ev spread.Event
}

func (ce configEvent) apply(ct *control) {
	ct.conf.step(ce.ev)
}

func (cs *configs) step(ev spread.Event) {
	cs.settle(ev)
	for _, ac := range cs.ma.Step(time.Since(cs.ct.nd.started), ev) {
		cs.do(ac)
	}
	cs.ct.nd.publishDigest(cs.ma.Digest())
	cs.timer.Reset(max(0, cs.ma.Next()-time.Since(cs.ct.nd.started)))
}

// settle frees what belongs to a call that is over.
func (cs *configs) settle(ev spread.Event) {
	switch ev := ev.(type) {
	case spread.Ranged:
		cs.release(ev.Call)
	case spread.Watched:
		cs.release(ev.Call)
	case spread.Failed:
		cs.release(ev.Call)
	case spread.Acked:
		cs.release(ev.Call)
	case spread.Compared:
		cs.release(ev.Call)
	case spread.Pulled:
		cs.release(ev.Call)
	}
}

func (cs *configs) release(id spread.Call) {
	if cancel, ok := cs.cancels[id]; ok {
		cancel()
		delete(cs.cancels, id)
	}
}

func (cs *configs) do(ac spread.Action) {
	nd := cs.ct.nd
	switch ac := ac.(type) {
	case spread.Range:
		cs.call(ac.Call, func(ctx context.Context) spread.Event { return nd.rangeConfig(ctx, ac) })
	case spread.Watch:
		cs.call(ac.Call, func(ctx context.Context) spread.Event { return nd.watchConfig(ctx, ac) })
	case spread.Push:
		cs.call(ac.Call, func(ctx context.Context) spread.Event { return nd.pushConfig(ctx, ac) })
	case spread.Compare:
		cs.call(ac.Call, func(ctx context.Context) spread.Event { return nd.compareConfig(ctx, ac) })
	case spread.Pull:
		cs.call(ac.Call, func(ctx context.Context) spread.Event { return nd.pullConfig(ctx, ac) })
	case spread.Abandon:
		nd.meter.Count(meterConfig, "abandoned")
		cs.release(ac.Call)
	case spread.Apply:
		cs.apply(ac.Update)
	case spread.Restore:
		nd.run("restore", func() error { nd.restoreConfig(nd.stopping, ac.Update); return nil })
	case spread.Alarm:
		cs.alarm(ac)
	}
}

// call runs f until it answers or is abandoned.
func (cs *configs) call(id spread.Call, f func(ctx context.Context) spread.Event) {
	nd := cs.ct.nd
	ctx, cancel := context.WithCancel(nd.stopping)
	cs.cancels[id] = cancel
	nd.run("configCall", func() error {
		nd.post(configEvent{ev: f(ctx)})
		return nil
	})
}

// apply puts an update in force; the machine has made sure that it can be read
// and that the team's revision rises.
func (cs *configs) apply(up spread.Update) {
	ct := cs.ct
	doc, err := team.Parse(up.Team, up.Document)
	if err != nil {
		ct.alarm("configuration of team " + up.Team + " cannot be read: " + err.Error())
		return
	}
	ct.view = ct.view.WithTeam(view.Team{Revision: up.Revision, ChangeID: up.ChangeID, Document: doc, Raw: up.Document})
	ct.shares.configured(doc)
	ct.placeServers(doc)
	ct.publish()
	ct.nd.meter.Count(meterConfig, "applied")
	ct.nd.log.Info().Str("team", up.Team).Uint64("revision", up.Revision).Str("change", up.ChangeID).Msg("configuration in force")
}

func (cs *configs) alarm(al spread.Alarm) {
	nd := cs.ct.nd
	if !al.Raised {
		delete(cs.alarms[al.Kind], al.Team)
		nd.log.Info().Str("kind", string(al.Kind)).Str("team", al.Team).Msg("alarm over")
		return
	}
	if cs.alarms[al.Kind] == nil {
		cs.alarms[al.Kind] = make(map[string]string)
	}
	cs.alarms[al.Kind][al.Team] = al.Text
	nd.meter.Count(meterConfig, "alarm."+string(al.Kind))
	nd.log.Error().Str("kind", string(al.Kind)).Str("team", al.Team).Str("alarm", al.Text).Msg("alarm")
}

// alarmTexts lists the alarms that stand, sorted.
func (cs *configs) alarmTexts() []string {
	var out []string
	for kind, teams := range cs.alarms {
		for name, text := range teams {
			out = append(out, "configuration: "+string(kind)+" "+name+": "+text)
		}
	}
	slices.Sort(out)
	return out
}

// peersChanged hands on the list of VMs if it is another one.
func (cs *configs) peersChanged(pl peerLister) {
	peers := pl.Peers()
	if cs.listed && slices.Equal(peers, cs.peers) {
		return
	}
	cs.peers, cs.listed = peers, true
	cs.step(spread.Members{VMs: peers})
}

// Peers lists the VMs that can be asked and relied on, as the membership has
// them.
func (ct *control) Peers() []rank.VM {
	return ct.members.peers()
}

// pollVMs follows the platform's VM list.
func (nd *Node) pollVMs(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := nd.vms.VMs(ctx)
		if err != nil {
			nd.platformFailed(ctx, "vms", err)
			pause(ctx, vmsPause+rand.N(vmsPause))
			continue
		}
		nd.post(vmsSeen{vms: list.VMs})
		pause(ctx, vmsEvery)
	}
}

func (nd *Node) platformFailed(ctx context.Context, op string, err error) {
	if ctx.Err() != nil {
		return
	}
	nd.meter.Count(meter.Platform, op+"Failed")
	nd.log.Warn().Str("op", op).Err(err).Msg("platform call failed")
}
