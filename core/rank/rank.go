// Package rank assigns duties to VMs: which VMs watch the key-value service, which relay
// between data centres, and along which tree a change is distributed. Every VM computes this
// from its own list of VMs by rendezvous hashing, without a lease or agreement. VMs whose
// lists differ disagree for a while; two VMs with the same duty do no harm.
//
// # Usage
//
//	tb := rank.New(rank.Config{Self: self, VMs: vms})
//	if tb.IsWatcher() { ... }
//	for _, vm := range tb.Children("east", changeID, tb.Self().Addr) { ... }
//
// A VM that joins or leaves moves only its own duties: the order of the others does not
// change. A Table is immutable; make a new one when the list changes.
package rank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Defaults of a Config.
const (
	// DefaultWatchers is how many VMs of a data centre watch the key-value service. A single
	// one would leave a gap whenever it fails.
	DefaultWatchers = 2
	// DefaultFanout is how many VMs each VM forwards a change to.
	DefaultFanout = 8
)

// VM is one VM of the fleet, identified by its inner address.
type VM struct {
	Addr       string
	DataCentre string
}

// Config configures a Table. Counts of 0 take the defaults.
type Config struct {
	// Self is this VM. It counts as one of VMs whether listed or not.
	Self     VM
	VMs      []VM
	Watchers int
	Fanout   int
}

// Table is the immutable ranking of one list of VMs.
type Table struct {
	cfg          Config
	dataCentres  []string
	byDataCentre map[string][]VM
	watches      bool
}

// New returns the ranking of the configured VMs. VMs with the same Addr count once.
func New(cfg Config) *Table {
	if cfg.Watchers <= 0 {
		cfg.Watchers = DefaultWatchers
	}
	if cfg.Fanout <= 0 {
		cfg.Fanout = DefaultFanout
	}
	tb := &Table{cfg: cfg, byDataCentre: make(map[string][]VM)}
	seen := make(map[string]bool, len(cfg.VMs)+1)
	for _, vm := range append([]VM{cfg.Self}, cfg.VMs...) {
		if seen[vm.Addr] {
			continue
		}
		seen[vm.Addr] = true
		tb.byDataCentre[vm.DataCentre] = append(tb.byDataCentre[vm.DataCentre], vm)
	}
	for name := range tb.byDataCentre {
		tb.dataCentres = append(tb.dataCentres, name)
	}
	slices.Sort(tb.dataCentres)
	tb.watches = tb.isWatcher(cfg.Self)
	return tb
}

// watchSalt keeps the order of VMs for watching independent of other orders.
const watchSalt = "watch"

// Order returns the VMs sorted by their hash with a salt, highest first. Different salts give
// independent orders.
func Order(vms []VM, salt string) []VM {
	type scored struct {
		vm    VM
		score uint64
	}
	scores := make([]scored, len(vms))
	for i, vm := range vms {
		scores[i] = scored{vm: vm, score: Hash(salt, vm.Addr)}
	}
	slices.SortFunc(scores, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.vm.Addr, b.vm.Addr)
	})
	out := make([]VM, len(scores))
	for i, score := range scores {
		out[i] = score.vm
	}
	return out
}

// Hash returns the rendezvous score of an address with a salt.
func Hash(salt, addr string) uint64 {
	var di xxhash.Digest
	di.Reset()
	// Writes to a Digest never fail.
	_, _ = di.WriteString(salt)
	_, _ = di.WriteString("\x00")
	_, _ = di.WriteString(addr)
	return di.Sum64()
}

// Self returns this VM.
func (tb *Table) Self() VM { return tb.cfg.Self }

// Size returns the number of VMs, including this one.
func (tb *Table) Size() int {
	n := 0
	for _, vms := range tb.byDataCentre {
		n += len(vms)
	}
	return n
}

// DataCentres lists the data centres in alphabetical order. The caller must not modify the
// list.
func (tb *Table) DataCentres() []string { return tb.dataCentres }

// VMs lists the VMs of a data centre. The caller must not modify the list.
func (tb *Table) VMs(dataCentre string) []VM { return tb.byDataCentre[dataCentre] }

// Ranked lists the VMs of a data centre in the order in which they are chosen for watching
// and relaying. It sorts them at each call.
func (tb *Table) Ranked(dataCentre string) []VM {
	return Order(tb.byDataCentre[dataCentre], watchSalt)
}

// IsWatcher reports whether this VM has to watch the key-value service and to relay between its
// data centre and the others.
func (tb *Table) IsWatcher() bool { return tb.watches }

// isWatcher reports whether a VM is among the first Watchers of its data centre. It counts
// the VMs that rank before it, which is cheaper than sorting all.
func (tb *Table) isWatcher(vm VM) bool {
	rank := 0
	ownScore := Hash(watchSalt, vm.Addr)
	for _, other := range tb.byDataCentre[vm.DataCentre] {
		score := Hash(watchSalt, other.Addr)
		if score > ownScore || score == ownScore && other.Addr < vm.Addr {
			rank++
		}
	}
	return rank < tb.cfg.Watchers
}

// Root returns the VM of a data centre at which the distribution tree of a change starts, and
// false if the data centre has no VMs.
func (tb *Table) Root(dataCentre, changeID string) (VM, bool) {
	vms := tb.byDataCentre[dataCentre]
	if len(vms) == 0 {
		return VM{}, false
	}
	best := vms[0]
	for _, vm := range vms[1:] {
		if Hash(changeID, vm.Addr) > Hash(changeID, best.Addr) {
			best = vm
		}
	}
	return best, true
}

// Children lists the VMs to which a VM forwards a change within a data centre. Each change
// has a tree of its own that depends on its ID: with a single tree the same few inner VMs
// would send every change several times, and the leaves none.
func (tb *Table) Children(dataCentre, changeID, addr string) []VM {
	order := Order(tb.byDataCentre[dataCentre], changeID)
	index := slices.IndexFunc(order, func(vm VM) bool { return vm.Addr == addr })
	if index < 0 {
		return nil
	}
	from := min(index*tb.cfg.Fanout+1, len(order))
	to := min(from+tb.cfg.Fanout, len(order))
	return order[from:to]
}
