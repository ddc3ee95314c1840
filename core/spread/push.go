package spread

import (
	"slices"
	"time"

	"laburnumvane/core/rank"
)

// maxPushTries is how often a push is sent to the same VM.
const maxPushTries = 2

// forward hands an update on, as its origin asks for.
func (ma *Machine) forward(up Update, from origin) {
	self := ma.cfg.Self
	switch from {
	case originPull:
	case originPush:
		ma.forwardOnce(up)
	case originFar:
		ma.pushRoot(up, self.DataCentre)
	case originService:
		// Nearly always the VM that carried the change has begun a tree here
		// itself. Only where it has not, as it died or cannot reach this data
		// centre, does it fall to those who watch.
		ma.deferred = append(ma.deferred, deferred{update: up, at: ma.now + ma.jittered(ma.pace.RootGrace)})
	case originSelf:
		for _, dc := range ma.table.DataCentres() {
			ma.pushRoot(up, dc)
		}
	}
}

// deferred is an update that waits to be handed to the root of its tree.
type deferred struct {
	update Update
	at     time.Duration
}

// dropDeferred drops what a push has brought meanwhile: its tree has begun.
func (ma *Machine) dropDeferred(ups []Update) {
	if len(ma.deferred) == 0 {
		return
	}
	for _, up := range ups {
		ma.deferred = slices.DeleteFunc(ma.deferred, func(df deferred) bool { return df.update.Name() == up.Name() })
	}
}

// pushDeferred begins the trees of the updates whose time has come.
func (ma *Machine) pushDeferred() {
	var due []deferred
	ma.deferred = slices.DeleteFunc(ma.deferred, func(df deferred) bool {
		if df.at > ma.now {
			return false
		}
		due = append(due, df)
		return true
	})
	for _, df := range due {
		ma.pushRoot(df.update, ma.cfg.Self.DataCentre)
	}
}

// pushRoot hands an update to the root of its tree in a data centre. Several VMs
// may do so; a root that has the update already does nothing.
func (ma *Machine) pushRoot(up Update, dataCentre string) {
	root, ok := ma.table.Root(dataCentre, up.ChangeID)
	switch {
	case !ok:
	case root.Addr == ma.cfg.Self.Addr:
		ma.forwardOnce(up)
	default:
		ma.push(call{kind: callPush, to: root, update: up})
	}
}

// forwardOnce pushes an update to this VM's own children, once.
func (ma *Machine) forwardOnce(up Update) {
	if ma.forwarded[up.Team] == up.Name() {
		return
	}
	ma.forwarded[up.Team] = up.Name()
	ma.pushChildren(up, ma.cfg.Self.Addr)
}

// forwardHeld pushes on what a watch or a pull had brought before the push came:
// without it, the subtree of a VM that watches would wait for a repair.
func (ma *Machine) forwardHeld(ups []Update) {
	for _, up := range ups {
		if ma.held[up.Team].Name() == up.Name() {
			ma.forwardOnce(up)
		}
	}
}

func (ma *Machine) pushChildren(up Update, of string) {
	for _, vm := range ma.table.Children(ma.cfg.Self.DataCentre, up.ChangeID, of) {
		if vm.Addr != ma.cfg.Self.Addr {
			ma.push(call{kind: callPush, to: vm, update: up})
		}
	}
}

func (ma *Machine) push(ca call) {
	if len(ma.calls) >= maxCalls {
		return
	}
	ca.tries++
	id := ma.newCall(ca, ma.pace.PeerTimeout)
	ma.act(Push{Call: id, To: ca.to, Update: ca.update})
}

// pushFailed tries once more, and then goes round the VM that does not answer:
// within the data centre it takes over its children, and elsewhere it turns to
// the next of the tree's order.
func (ma *Machine) pushFailed(ca call) {
	if held := ma.held[ca.update.Team]; held.Name().newer(ca.update.Name()) {
		// Replaced meanwhile; the newer one travels by itself.
		return
	}
	if ca.tries < maxPushTries {
		ma.push(ca)
		return
	}
	if ca.to.DataCentre == ma.cfg.Self.DataCentre {
		ma.pushChildren(ca.update, ca.to.Addr)
		return
	}
	if next, ok := ma.after(ca.to, ca.update.ChangeID); ok {
		ma.push(call{kind: callPush, to: next, update: ca.update})
	}
}

// maxRoots bounds the VMs of another data centre that are tried as a root; a
// whole data centre that is cut off must not be tried VM by VM.
const maxRoots = 3

func (ma *Machine) after(vm rank.VM, changeID string) (rank.VM, bool) {
	order := rank.Order(ma.table.Members(vm.DataCentre), changeID)
	at := slices.Index(order, vm) + 1
	if at <= 0 || at >= min(maxRoots, len(order)) {
		return rank.VM{}, false
	}
	return order[at], true
}
