package node

import (
	"context"
	"time"

	"laburnumvane/core/conns"
	"laburnumvane/core/spread"
	"laburnumvane/core/view"
	"laburnumvane/io/wire"
)

// event is something the control goroutine has to take in.
type event interface {
	apply(ct *control)
}

// control owns all state that is not a search's. Only its goroutine touches it.
type control struct {
	nd     *Node
	view   view.View
	vms    []wire.VM
	alarms []string
	conf   *configs
	ups    *upstreams
}

func newControl(nd *Node) *control {
	ct := &control{nd: nd}
	ct.ups = newUpstreams(ct)
	ct.conf = newConfigs(ct)
	return ct
}

func (ct *control) loop(ctx context.Context) {
	for {
		select {
		case ev := <-ct.nd.events:
			ev.apply(ct)
		case <-ct.conf.timer.C:
			ct.conf.step(spread.Tick{})
		case <-ct.ups.timer.C:
			ct.ups.tick()
		case <-ctx.Done():
			return
		}
		ct.ups.flush()
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
	ct.vms = ev.vms
	ct.conf.peersChanged(ct)
	seen := make([]conns.VM, len(ev.vms))
	for i, vm := range ev.vms {
		seen[i] = conns.VM{Addr: vm.Addr, DataCentre: vm.DataCentre}
	}
	ct.ups.plan.members(ct.ups.now(), seen)
}

const dialTimeout = 2 * time.Second
