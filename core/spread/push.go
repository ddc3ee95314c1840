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
		ma.handOn(up)
	case originFar:
		ma.seed(up, self.DataCentre)
	case originService:
		// Nearly always the VM that carried the change has begun a tree here
		// itself. Only where it has not, as it died or cannot reach this data
		// centre, does it fall to those who watch.
		ma.seeds = append(ma.seeds, seed{update: up, at: ma.now + ma.spread(ma.pace.SeedGrace)})
	case originSelf:
		for _, dc := range ma.table.DataCentres() {
			ma.seed(up, dc)
		}
	}
}

// seed is an update that waits to be handed to the root of its tree.
type seed struct {
	update Update
	at     time.Duration
}

// unseed drops what a push has brought meanwhile: its tree has begun.
func (ma *Machine) unseed(ups []Update) {
	if len(ma.seeds) == 0 {
		return
	}
	for _, up := range ups {
		ma.seeds = slices.DeleteFunc(ma.seeds, func(sd seed) bool { return sd.update.Name() == up.Name() })
	}
}

// sow hands on the updates whose time has come.
func (ma *Machine) sow() {
	var due []seed
	ma.seeds = slices.DeleteFunc(ma.seeds, func(sd seed) bool {
		if sd.at > ma.now {
			return false
		}
		due = append(due, sd)
		return true
	})
	for _, sd := range due {
		ma.seed(sd.update, ma.cfg.Self.DataCentre)
	}
}

// seed hands an update to the root of its tree in a data centre. Several VMs
// may do so; a root that has the update already does nothing.
func (ma *Machine) seed(up Update, dataCentre string) {
	root, ok := ma.table.Root(dataCentre, up.ChangeID)
	switch {
	case !ok:
	case root.Addr == ma.cfg.Self.Addr:
		ma.handOn(up)
	default:
		ma.push(call{kind: callPush, to: root, update: up})
	}
}

// handOn pushes an update to this VM's own children, once.
func (ma *Machine) handOn(up Update) {
	if ma.handed[up.Team] == up.Name() {
		return
	}
	ma.handed[up.Team] = up.Name()
	ma.pushChildren(up, ma.cfg.Self.Addr)
}

// handOnHeld pushes on what a watch or a pull had brought before the push came:
// without it, the subtree of a VM that watches would wait for a repair.
func (ma *Machine) handOnHeld(ups []Update) {
	for _, up := range ups {
		if ma.held[up.Team].Name() == up.Name() {
			ma.handOn(up)
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
