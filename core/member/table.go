package member

import (
	"slices"
	"time"
)

// record is a VM in the table.
type record struct {
	Member
	// listed tells whether the platform's VM list has it.
	listed bool
	// since is when its state last changed here.
	since time.Duration
	// places are its hashes, one for each ring.
	places []uint64
}

// area is a data centre in the table.
type area struct {
	name string
	// records are ordered by address.
	records []*record
	// digest covers the records that are neither gone nor candidates.
	digest uint64
	// heard is when any VM of the data centre was last heard from; negative
	// if none was.
	heard time.Duration
}

// table is all VMs that this one knows of.
type table struct {
	byAddr map[string]*record
	areas  map[string]*area
	// names are the data centres in order.
	names []string
	rings int
	// version counts changes of what rankings depend on.
	version uint64
}

const never = time.Duration(-1)

func newTable(rings int) *table {
	return &table{byAddr: make(map[string]*record), areas: make(map[string]*area), rings: rings}
}

func (tb *table) area(name string) *area {
	ar, ok := tb.areas[name]
	if !ok {
		ar = &area{name: name, heard: never}
		tb.areas[name] = ar
		tb.names = append(tb.names, name)
		slices.Sort(tb.names)
	}
	return ar
}

func (ar *area) search(addr string) (int, bool) {
	return slices.BinarySearchFunc(ar.records, addr, func(rc *record, addr string) int {
		switch {
		case rc.Addr < addr:
			return -1
		case rc.Addr > addr:
			return 1
		}
		return 0
	})
}

// merge takes in what is known of a process and returns the state before and
// whether anything is new.
func (tb *table) merge(now time.Duration, mb Member) (before State, news bool) {
	rc, ok := tb.byAddr[mb.Addr]
	if !ok {
		rc = tb.insert(mb.VM)
	}
	was := rc.Member
	next := was.Merge(mb)
	if next == was {
		return was.State(), false
	}
	tb.set(now, rc, next)
	return was.State(), true
}

func (tb *table) set(now time.Duration, rc *record, next Member) {
	was := rc.Member
	if next.DataCentre != was.DataCentre {
		// A new process may have been given another place.
		tb.remove(rc)
		rc.Member = next
		tb.place(rc)
	} else {
		tb.area(was.DataCentre).digest ^= was.digest() ^ next.digest()
		rc.Member = next
	}
	if was.State() != next.State() {
		rc.since = now
		tb.version++
	}
}

func (tb *table) insert(vm VM) *record {
	vm.Incarnation = 0
	rc := &record{Member: Member{VM: vm}, places: make([]uint64, tb.rings)}
	for i := range rc.places {
		rc.places[i] = mix(hash("ring", vm.Addr) + uint64(i))
	}
	tb.place(rc)
	return rc
}

func (tb *table) place(rc *record) {
	ar := tb.area(rc.DataCentre)
	i, _ := ar.search(rc.Addr)
	ar.records = slices.Insert(ar.records, i, rc)
	ar.digest ^= rc.digest()
	tb.byAddr[rc.Addr] = rc
	tb.version++
}

func (tb *table) remove(rc *record) {
	ar := tb.area(rc.DataCentre)
	if i, ok := ar.search(rc.Addr); ok {
		ar.records = slices.Delete(ar.records, i, i+1)
		ar.digest ^= rc.digest()
	}
	delete(tb.byAddr, rc.Addr)
	tb.version++
}

// list takes in the platform's list.
func (tb *table) list(vms []VM) {
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
	tb.forget(func(rc *record) bool { return rc.State() == StateCandidate && !rc.listed })
}

// forget removes the records for which drop holds.
func (tb *table) forget(drop func(*record) bool) {
	for _, rc := range tb.byAddr {
		if drop(rc) {
			tb.remove(rc)
		}
	}
}

// page returns at most n members of a data centre after an address, and where
// the next page begins: empty when this one is the last. What is gone is told
// too: it keeps others from taking it for live.
func (ar *area) page(after string, n int) (page []Member, next string) {
	i, found := ar.search(after)
	if found {
		i++
	}
	for ; i < len(ar.records); i++ {
		if ar.records[i].Incarnation == 0 {
			continue
		}
		if len(page) == n {
			return page, page[n-1].Addr
		}
		page = append(page, ar.records[i].Member)
	}
	return page, ""
}
