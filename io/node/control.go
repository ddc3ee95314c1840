package node

import (
	"context"
	"time"

	"laburnumvane/core/spread"
	"laburnumvane/core/team"
	"laburnumvane/core/view"
	"laburnumvane/io/upst"
	"laburnumvane/io/wire"
)

// event is something the control goroutine has to take in.
type event interface {
	apply(ct *control)
}

// control owns all state that is not a search's. Only its goroutine touches it.
type control struct {
	nd       *Node
	view     view.View
	ids      map[string]view.ServerID
	holdings map[view.ServerID][]wire.ShardHolding
	alarms   []string
	conf     *configs
	members  *members
	signs    *signs
	shares   *shares
}

func newControl(nd *Node) *control {
	ct := &control{
		nd:       nd,
		ids:      make(map[string]view.ServerID),
		holdings: make(map[view.ServerID][]wire.ShardHolding),
	}
	ct.conf = newConfigs(ct)
	ct.members = newMembers(ct)
	ct.signs = newSigns(ct.members, ct.signHeard)
	ct.members.board(digests{nd: nd})
	ct.members.board(ct.signs)
	ct.shares = newShares(ct)
	ct.members.board(ct.shares)
	return ct
}

func (ct *control) loop(ctx context.Context) {
	for {
		select {
		case ev := <-ct.nd.events:
			ev.apply(ct)
		case <-ct.conf.timer.C:
			ct.conf.step(spread.Tick{})
		case <-ct.members.timer.C:
			ct.members.tick()
		case <-ct.shares.timer.C:
			ct.shares.tick()
		case <-ctx.Done():
			return
		}
	}
}

func (ct *control) publish() {
	vw := ct.view
	ct.nd.view.Store(&vw)
}

// post hands an event to the control goroutine, unless the VM has stopped.
func (nd *Node) post(ev event) {
	select {
	case nd.events <- ev:
	case <-nd.stopping.Done():
	}
}

// ask runs f on the control goroutine and waits for it; it does not run if the
// VM stops first.
func (nd *Node) ask(f func(ct *control)) {
	done := make(chan struct{})
	nd.post(asked{f: f, done: done})
	select {
	case <-done:
	case <-nd.stopping.Done():
	}
}

type asked struct {
	f    func(ct *control)
	done chan struct{}
}

func (ev asked) apply(ct *control) {
	ev.f(ct)
	close(ev.done)
}

func (ct *control) alarm(text string) {
	ct.alarms = append(ct.alarms, text)
	ct.nd.log.Error().Str("alarm", text).Msg("alarm")
}

// vmsSeen brings the VM list.
type vmsSeen struct {
	vms []wire.VM
}

func (ev vmsSeen) apply(ct *control) {
	ct.shares.vmsListed(ev.vms)
	ct.members.listed(ev.vms)
}

const dialTimeout = 2 * time.Second

// placeServers gives each server of a document its id and its connections.
func (ct *control) placeServers(doc team.Document) {
	servers := append([]view.Server(nil), ct.view.Servers()...)
	pools := append([]*upst.Server(nil), *ct.nd.servers.Load()...)
	for register, rg := range doc.Registers {
		for service, sc := range rg.Services {
			for _, sr := range sc.Servers {
				if _, ok := ct.ids[sr.Addr]; ok {
					continue
				}
				id := view.ServerID(len(servers))
				ct.ids[sr.Addr] = id
				servers = append(servers, view.Server{
					ID:          id,
					Addr:        sr.Addr,
					DataCentre:  sr.DataCentre,
					Service:     service,
					Team:        doc.Team,
					Register:    register,
					State:       view.StateUnknown,
					Why:         "not heard from yet",
					Slots:       sc.SlotsPerServer,
					Connections: sc.ConnectionsPerServer,
				})
				pools = append(pools, upst.New(upst.Config{
					Addr:        sr.Addr,
					MaxConns:    ct.connectionShare(sc.ConnectionsPerServer),
					DialTimeout: dialTimeout,
				}))
			}
		}
	}
	ct.nd.table.Grow(len(servers))
	ct.nd.servers.Store(&pools)
	ct.view = ct.view.WithServers(servers)
}

// connectionShare is this VM's part of a server's connections.
func (ct *control) connectionShare(limit int) int {
	return max(1, limit/max(1, ct.members.sharers()))
}
