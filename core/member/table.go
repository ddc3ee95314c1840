package member

import (
	"slices"
	"time"
)

// record is the entry of a VM in the table.
type record struct {
	Member
	// listed is set if the VM is on the platform's VM list.
	listed bool
	// stateSince is when the state last changed in this table.
	stateSince time.Duration
	// ringHashes are the VM's positions, one for each ring.
	ringHashes []uint64
}

// dcTable holds the records of one data centre.
type dcTable struct {
	name string
	// records are ordered by address.
	records []*record
	// digest is the XOR of the digests of all records; those of gone VMs and candidates are 0.
	digest uint64
	// lastHeard is when a message from any VM of the data centre was last received, here or by a
	// neighbour; neverHeard if none was.
	lastHeard time.Duration
}

// table holds all VMs known to this one.
type table struct {
	byAddr map[string]*record
	dcs    map[string]*dcTable
	// dcNames are the names of the data centres, sorted.
	dcNames []string
	rings   int
	// version counts changes to the data that rankings depend on.
	version uint64
}

const neverHeard = time.Duration(-1)

func newTable(rings int) *table {
	return &table{byAddr: make(map[string]*record), dcs: make(map[string]*dcTable), rings: rings}
}

func (tb *table) dataCentre(name string) *dcTable {
	dc, ok := tb.dcs[name]
	if !ok {
		dc = &dcTable{name: name, lastHeard: neverHeard}
		tb.dcs[name] = dc
		tb.dcNames = append(tb.dcNames, name)
		slices.Sort(tb.dcNames)
	}
	return dc
}

func (dc *dcTable) search(addr string) (int, bool) {
	return slices.BinarySearchFunc(dc.records, addr, func(rc *record, addr string) int {
		switch {
		case rc.Addr < addr:
			return -1
		case rc.Addr > addr:
			return 1
		}
		return 0
	})
}

// merge merges a received state into the table, and returns the state before and whether anything
// changed.
func (tb *table) merge(now time.Duration, mb Member) (before State, changed bool) {
	rc, ok := tb.byAddr[mb.Addr]
	if !ok {
		rc = tb.insert(mb.VM)
	}
	old := rc.Member
	next := old.Merge(mb)
	if next == old {
		return old.State(), false
	}
	tb.set(now, rc, next)
	return old.State(), true
}

func (tb *table) set(now time.Duration, rc *record, next Member) {
	old := rc.Member
	if next.DataCentre != old.DataCentre {
		// A new process may run at the same address in another data centre.
		tb.remove(rc)
		rc.Member = next
		tb.add(rc)
	} else {
		tb.dataCentre(old.DataCentre).digest ^= old.digest() ^ next.digest()
		rc.Member = next
	}
	if old.State() != next.State() {
		rc.stateSince = now
		tb.version++
	}
}

func (tb *table) insert(vm VM) *record {
	vm.Incarnation = 0
	rc := &record{Member: Member{VM: vm}, ringHashes: make([]uint64, tb.rings)}
	for i := range rc.ringHashes {
		rc.ringHashes[i] = mix(hash("ring", vm.Addr) + uint64(i))
	}
	tb.add(rc)
	return rc
}

func (tb *table) add(rc *record) {
	dc := tb.dataCentre(rc.DataCentre)
	i, _ := dc.search(rc.Addr)
	dc.records = slices.Insert(dc.records, i, rc)
	dc.digest ^= rc.digest()
	tb.byAddr[rc.Addr] = rc
	tb.version++
}

func (tb *table) remove(rc *record) {
	dc := tb.dataCentre(rc.DataCentre)
	if i, ok := dc.search(rc.Addr); ok {
		dc.records = slices.Delete(dc.records, i, i+1)
		dc.digest ^= rc.digest()
	}
	delete(tb.byAddr, rc.Addr)
	tb.version++
}

// setListed replaces the platform's VM list. Candidates that are no longer on it are removed.
func (tb *table) setListed(vms []VM) {
	for _, rc := range tb.byAddr {
		rc.listed = false
	}
	for _, vm := range vms {
		rc, ok := tb.byAddr[vm.Addr]
		if !ok {
			rc = tb.insert(vm)
		}
		rc.listed = true
	}
	tb.removeIf(func(rc *record) bool { return rc.State() == StateCandidate && !rc.listed })
}

// removeIf removes the records for which drop returns true.
func (tb *table) removeIf(drop func(*record) bool) {
	for _, rc := range tb.byAddr {
		if drop(rc) {
			tb.remove(rc)
		}
	}
}

// page returns at most n members of a data centre with an address after the given one, and the
// start of the next page, empty if this is the last. VMs that are gone are included, so that the
// receiver does not consider them live.
func (dc *dcTable) page(after string, n int) (page []Member, next string) {
	i, found := dc.search(after)
	if found {
		i++
	}
	for ; i < len(dc.records); i++ {
		if dc.records[i].Incarnation == 0 {
			continue
		}
		if len(page) == n {
			return page, page[n-1].Addr
		}
		page = append(page, dc.records[i].Member)
	}
	return page, ""
}
