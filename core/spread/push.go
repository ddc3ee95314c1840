package spread

import (
	"slices"
	"time"

	"laburnumvane/core/rank"
)

// maxPushTries is how often a push is sent to the same VM.
const maxPushTries = 2

// forward passes an update on to the VMs that still need it, which depends on its origin.
func (ma *Machine) forward(up Update, from origin) {
	self := ma.cfg.Self
	switch from {
	case originPull:
	case originPush:
		ma.forwardOnce(up)
	case originRemote:
		ma.pushRoot(up, self.DataCentre)
	case originService:
		// Nearly always, the VM that wrote the change to the service has already started the
		// push tree of this data centre. The watching VMs start it only if that VM has not, since
		// it died or cannot reach this data centre.
		ma.deferred = append(ma.deferred, deferred{update: up, at: ma.now + ma.jittered(ma.pace.RootGrace)})
	case originSelf:
		for _, dc := range ma.table.DataCentres() {
			ma.pushRoot(up, dc)
		}
	}
}

// deferred is an update that waits to be pushed to the root of its tree.
type deferred struct {
	update Update
	at     time.Duration
}

// dropDeferred drops updates that arrived by a push meanwhile: their trees have started.
func (ma *Machine) dropDeferred(ups []Update) {
	if len(ma.deferred) == 0 {
		return
	}
	for _, up := range ups {
		ma.deferred = slices.DeleteFunc(ma.deferred, func(df deferred) bool { return df.update.ID() == up.ID() })
	}
}

// pushDeferred starts the trees of the deferred updates that are due.
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

// pushRoot pushes an update to the root of its tree in a data centre. Several VMs may do so: a
// root ignores an update that it has already forwarded.
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

// forwardOnce pushes an update to this VM's own children, unless it did so before.
func (ma *Machine) forwardOnce(up Update) {
	if ma.forwarded[up.Team] == up.ID() {
		return
	}
	ma.forwarded[up.Team] = up.ID()
	ma.pushChildren(up, ma.cfg.Self.Addr)
}

// forwardHeld forwards pushed updates that this VM already had from a watch or a pull. Otherwise
// the subtree of a watching VM would have to wait for a repair.
func (ma *Machine) forwardHeld(ups []Update) {
	for _, up := range ups {
		if ma.held[up.Team].ID() == up.ID() {
			ma.forwardOnce(up)
		}
	}
}

func (ma *Machine) pushChildren(up Update, parent string) {
	for _, vm := range ma.table.Children(ma.cfg.Self.DataCentre, up.ChangeID, parent) {
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
	ma.emit(Push{Call: id, To: ca.to, Update: ca.update})
}

// pushFailed retries a push once and then bypasses the VM that does not answer: within the data
// centre this VM pushes to that VM's children, and in another data centre to the next candidate
// for the root.
func (ma *Machine) pushFailed(ca call) {
	if held := ma.held[ca.update.Team]; held.ID().newer(ca.update.ID()) {
		// Replaced meanwhile; the newer update is pushed on its own.
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
	if next, ok := ma.nextRoot(ca.to, ca.update.ChangeID); ok {
		ma.push(call{kind: callPush, to: next, update: ca.update})
	}
}

// maxRoots bounds the VMs of another data centre that are tried as a root, so that a data centre
// that is cut off is not tried VM by VM.
const maxRoots = 3

func (ma *Machine) nextRoot(vm rank.VM, changeID string) (rank.VM, bool) {
	order := rank.Order(ma.table.VMs(vm.DataCentre), changeID)
	i := slices.Index(order, vm) + 1
	if i <= 0 || i >= min(maxRoots, len(order)) {
		return rank.VM{}, false
	}
	return order[i], true
}
