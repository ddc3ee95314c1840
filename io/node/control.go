package node

import (
	"context"
	"time"

	"laburnumvane/core/spread"
	"laburnumvane/core/view"
	"laburnumvane/io/wire"
)

// event is processed by the control goroutine.
type event interface {
	apply(ct *control)
}

// control owns all state that does not belong to a single search. Only the control goroutine
// accesses it.
type control struct {
	nd        *Node
	view      view.View
	alarms    []string
	configs   *configs
	members   *members
	signs     *signs
	upstreams *upstreams
	shares    *shares
}

func newControl(nd *Node) *control {
	ct := &control{nd: nd}
	ct.upstreams = newUpstreams(ct)
	ct.configs = newConfigs(ct)
	ct.members = newMembers(ct)
	ct.signs = newSigns(ct.members, ct.upstreams.receiveSign)
	ct.members.addPiggybacker(digests{nd: nd})
	ct.members.addPiggybacker(ct.signs)
	ct.shares = newShares(ct)
	ct.members.addPiggybacker(ct.shares)
	return ct
}

func (ct *control) loop(ctx context.Context) {
	defer close(ct.nd.controlEnded)
	for {
		select {
		case ev := <-ct.nd.events:
			ev.apply(ct)
		case <-ct.configs.timer.C:
			ct.configs.step(spread.Tick{})
		case <-ct.upstreams.timer.C:
			ct.upstreams.tick()
		case <-ct.members.timer.C:
			ct.members.tick()
		case <-ct.shares.timer.C:
			ct.shares.tick()
		case <-ctx.Done():
			return
		}
		ct.upstreams.flush()
	}
}

func (ct *control) publish() {
	vw := ct.view
	ct.nd.view.Store(&vw)
}

// post queues an event for the control goroutine. After the VM has stopped the event is dropped.
func (nd *Node) post(ev event) {
	select {
	case nd.events <- ev:
	case <-nd.stopping.Done():
	}
}

// onControl runs f on the control goroutine and waits for it. If the VM stops first, f is not
// run. If the VM stops while f runs, onControl still waits, since f may write to variables that
// its caller reads next. The control goroutine ends soon after the stop, and f does not run
// after that.
func (nd *Node) onControl(f func(ct *control)) {
	done := make(chan struct{})
	nd.post(controlCall{f: f, done: done})
	select {
	case <-done:
	case <-nd.controlEnded:
	}
}

type controlCall struct {
	f    func(ct *control)
	done chan struct{}
}

func (ev controlCall) apply(ct *control) {
	ev.f(ct)
	close(ev.done)
}

func (ct *control) raiseAlarm(text string) {
	ct.alarms = append(ct.alarms, text)
	ct.nd.log.Error().Str("alarm", text).Msg("alarm")
}

// vmListReceived carries the platform's VM list.
type vmListReceived struct {
	vms []wire.VM
}

func (ev vmListReceived) apply(ct *control) {
	ct.shares.setVMList(ev.vms)
	ct.members.listed(ev.vms)
}

const dialTimeout = 2 * time.Second
