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
	// kvTimeout bounds a call to the key-value service. A service that needs 10 s for a call
	// still counts as available.
	kvTimeout = 12 * time.Second
	// compareInterval is the interval of digest comparisons. They come in addition to the
	// heartbeats, which carry the same digests every second.
	compareInterval = 3 * time.Second
	vmsInterval     = 2 * time.Second
	vmsRetryDelay   = time.Second
)

// meterConfig is the metric group of the configuration's distribution.
const meterConfig = "config"

// configs runs the state machine of the configuration's distribution on the control goroutine.
// Its calls run on goroutines of their own and return their results as events.
type configs struct {
	ct         *control
	machine    *spread.Machine
	timer      *time.Timer
	cancels    map[spread.CallID]context.CancelFunc
	alarms     map[spread.AlarmKind]map[string]string
	peers      []rank.VM
	peersKnown bool
}

// peerLister lists the VMs that are assumed to answer.
type peerLister interface {
	Peers() []rank.VM
}

func newConfigs(ct *control) *configs {
	set := ct.nd.set
	return &configs{
		ct: ct,
		machine: spread.New(spread.Config{
			Self:          rank.VM{Addr: ct.nd.addr, DataCentre: set.DataCentre},
			Rand:          rand.New(rand.NewPCG(set.Incarnation, seedOf(ct.nd.addr))),
			CheckReadable: checkReadable,
			Pace:          spread.Pace{CompareEvery: compareInterval},
		}),
		timer:   time.NewTimer(0),
		cancels: make(map[spread.CallID]context.CancelFunc),
		alarms:  make(map[spread.AlarmKind]map[string]string),
	}
}

// checkReadable returns an error if this build cannot parse a document.
func checkReadable(up spread.Update) error {
	_, err := team.Parse(up.Team, up.Document)
	return err
}

// configEvent carries an event of the distribution's state machine.
type configEvent struct {
	ev spread.Event
}

func (ce configEvent) apply(ct *control) {
	ct.configs.step(ce.ev)
}

func (cs *configs) step(ev spread.Event) {
	cs.releaseEnded(ev)
	for _, ac := range cs.machine.Step(time.Since(cs.ct.nd.started), ev) {
		cs.do(ac)
	}
	cs.ct.nd.publishDigest(cs.machine.Digest())
	cs.timer.Reset(max(0, cs.machine.Next()-time.Since(cs.ct.nd.started)))
}

// releaseEnded cancels the context of a call that the event ends.
func (cs *configs) releaseEnded(ev spread.Event) {
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

func (cs *configs) release(id spread.CallID) {
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

// call runs f on a goroutine of its own and posts its event. The context ends when the call is
// abandoned.
func (cs *configs) call(id spread.CallID, f func(ctx context.Context) spread.Event) {
	nd := cs.ct.nd
	ctx, cancel := context.WithCancel(nd.stopping)
	cs.cancels[id] = cancel
	nd.run("configCall", func() error {
		nd.post(configEvent{ev: f(ctx)})
		return nil
	})
}

// apply puts an update in force. The state machine has checked that the document can be parsed
// and that the team's revision increases.
func (cs *configs) apply(up spread.Update) {
	ct := cs.ct
	doc, err := team.Parse(up.Team, up.Document)
	if err != nil {
		ct.raiseAlarm("configuration of team " + up.Team + " cannot be read: " + err.Error())
		return
	}
	ct.view = ct.view.WithTeam(view.Team{Revision: up.Revision, ChangeID: up.ChangeID, Document: doc, Raw: up.Document})
	ct.shares.setLimit(doc)
	ct.updateServers(doc)
	ct.publish()
	ct.nd.meter.Count(meterConfig, "applied")
	ct.nd.log.Info().Str("team", up.Team).Uint64("revision", up.Revision).Str("change", up.ChangeID).Msg("configuration in force")
}

func (cs *configs) alarm(al spread.Alarm) {
	nd := cs.ct.nd
	if !al.Raised {
		delete(cs.alarms[al.Kind], al.Team)
		nd.log.Info().Str("kind", string(al.Kind)).Str("team", al.Team).Msg("alarm cleared")
		return
	}
	if cs.alarms[al.Kind] == nil {
		cs.alarms[al.Kind] = make(map[string]string)
	}
	cs.alarms[al.Kind][al.Team] = al.Text
	nd.meter.Count(meterConfig, "alarm."+string(al.Kind))
	nd.log.Error().Str("kind", string(al.Kind)).Str("team", al.Team).Str("alarm", al.Text).Msg("alarm")
}

// alarmTexts returns the active alarms, sorted.
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

// peersChanged passes the list of VMs to the state machine if it has changed.
func (cs *configs) peersChanged(pl peerLister) {
	peers := pl.Peers()
	if cs.peersKnown && slices.Equal(peers, cs.peers) {
		return
	}
	cs.peers, cs.peersKnown = peers, true
	cs.step(spread.Members{VMs: peers})
}

// Peers lists the VMs that are assumed to answer, according to the membership.
func (ct *control) Peers() []rank.VM {
	return ct.members.peers()
}

// pollVMs polls the platform's VM list until ctx ends.
func (nd *Node) pollVMs(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := nd.vms.VMs(ctx)
		if err != nil {
			nd.notePlatformFailure(ctx, "vms", err)
			sleep(ctx, vmsRetryDelay+rand.N(vmsRetryDelay))
			continue
		}
		nd.post(vmListReceived{vms: list.VMs})
		sleep(ctx, vmsInterval)
	}
}

func (nd *Node) notePlatformFailure(ctx context.Context, op string, err error) {
	if ctx.Err() != nil {
		return
	}
	nd.meter.Count(meter.Platform, op+"Failed")
	nd.log.Warn().Str("op", op).Err(err).Msg("platform call failed")
}
