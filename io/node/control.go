package node

import (
	"context"
	"time"

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
	nd      *Node
	view    view.View
	alarms  []string
	conf    *configs
	members *members
	signs   *signs
	ups     *upstreams
	shares  *shares
}

func newControl(nd *Node) *control {
	ct := &control{nd: nd}
	ct.ups = newUpstreams(ct)
	ct.conf = newConfigs(ct)
	ct.members = newMembers(ct)
	ct.signs = newSigns(ct.members, ct.ups.heard)
	ct.members.board(digests{nd: nd})
	ct.members.board(ct.signs)
	ct.shares = newShares(ct)
	ct.members.board(ct.shares)
	return ct
}

func (ct *control) loop(ctx context.Context) {
	defer close(ct.nd.controlEnded)
	for {
		select {
		case ev := <-ct.nd.events:
			ev.apply(ct)
		case <-ct.conf.timer.C:
			ct.conf.step(spread.Tick{})
		case <-ct.ups.timer.C:
			ct.ups.tick()
		case <-ct.members.timer.C:
			ct.members.tick()
		case <-ct.shares.timer.C:
			ct.shares.tick()
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
// VM stops first. A VM that stops while f runs is not reason enough to return: f
// would go on filling in what its caller already reads. The control goroutine
// ends soon after the stop, and after its end f runs no more.
func (nd *Node) ask(f func(ct *control)) {
	done := make(chan struct{})
	nd.post(asked{f: f, done: done})
	select {
	case <-done:
	case <-nd.controlEnded:
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
