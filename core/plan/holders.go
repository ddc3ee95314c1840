package plan

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"laburnumvane/core/quota"
	"laburnumvane/core/rank"
)

const (
	// holdersPerCentre is how many VMs of a data centre can have a part of an account's limit.
	holdersPerCentre = 2
	// successorsPerCentre is how many more of this VM's data centre are listed, which take the place of
	// holders. A cut between VMs of a data centre that has both holders and all of these on one side, and
	// the store on the other, is not noticed while the store is thought to be down.
	successorsPerCentre = 2
	// maxCachedHolders bounds the memory for the holders of accounts. Of 20,000 accounts a few
	// hundred are active.
	maxCachedHolders = 4096
)

// holderTable computes and caches the holders of accounts for one fleet. Views with the same fleet
// share it.
type holderTable struct {
	self    rank.VM
	fleet   quota.Fleet
	centres []holderCentre

	mu    sync.RWMutex
	cache map[string]*quota.Holders
}

// holderCentre is a data centre with its VMs, large ones first.
type holderCentre struct {
	local bool
	vms   []holderVM
	large int
}

type holderVM struct {
	addr string
	hash uint64
}

// Holders returns the VMs that have a part of an account's limit: those of each data centre that
// rank first by size class and then by rendezvous hash. This VM is among them only if its entry is
// in its copy of the store: others do not know it before. The same value is returned until the
// fleet changes.
func (vw *View) Holders(account string) *quota.Holders {
	ht := vw.holders
	ht.mu.RLock()
	ho, ok := ht.cache[account]
	ht.mu.RUnlock()
	if ok {
		return ho
	}
	ho = ht.find(account)
	ht.mu.Lock()
	defer ht.mu.Unlock()
	if other, ok := ht.cache[account]; ok {
		return other
	}
	if len(ht.cache) >= maxCachedHolders {
		clear(ht.cache)
	}
	ht.cache[account] = ho
	return ho
}

// newHolderTable groups the VMs that have an entry in the store by data centre.
func (vw *View) newHolderTable() *holderTable {
	ht := &holderTable{self: vw.cfg.Self, cache: make(map[string]*quota.Holders)}
	byName := make(map[string]int)
	for _, vm := range vw.cfg.Fleet {
		ht.fleet.Listed = ht.fleet.Listed || vm.Addr == vw.cfg.Self.Addr
		i, ok := byName[vm.DataCentre]
		if !ok {
			i = len(ht.centres)
			byName[vm.DataCentre] = i
			ht.centres = append(ht.centres, holderCentre{local: vm.DataCentre == vw.cfg.Self.DataCentre})
		}
		ce := &ht.centres[i]
		ce.vms = append(ce.vms, holderVM{addr: vm.Addr, hash: xxhash.Sum64String(vm.Addr)})
		if vw.large[vm.Addr] {
			ce.vms[ce.large], ce.vms[len(ce.vms)-1] = ce.vms[len(ce.vms)-1], ce.vms[ce.large]
			ce.large++
		}
	}
	slices.SortFunc(ht.centres, func(a, b holderCentre) int {
		switch {
		case a.local == b.local:
			return 0
		case a.local:
			return -1
		}
		return 1
	})
	ht.fleet.VMs, ht.fleet.DataCentres = len(vw.cfg.Fleet), len(ht.centres)
	return ht
}

func (ht *holderTable) find(account string) *quota.Holders {
	ho := &quota.Holders{Fleet: &ht.fleet, Rank: -1}
	key := xxhash.Sum64String(account)
	for _, ce := range ht.centres {
		count := holdersPerCentre
		if ce.local {
			count += successorsPerCentre
		}
		for position, vm := range ce.best(key, count) {
			if position >= holdersPerCentre {
				if vm.addr != ht.self.Addr {
					ho.Successors = append(ho.Successors, vm.addr)
				}
				continue
			}
			if ce.local {
				ho.Local++
			}
			if vm.addr == ht.self.Addr {
				ho.Rank = position
				continue
			}
			ho.Peers = append(ho.Peers, quota.Peer{Addr: vm.addr, Local: ce.local, Rank: position})
		}
	}
	return ho
}

// best returns the VMs of a data centre that rank first for an account. It reads its VMs once, as sorting
// the VMs of a large fleet for each account would take too long.
func (ce *holderCentre) best(key uint64, count int) []holderVM {
	found := make([]holderVM, 0, count)
	scores := [holdersPerCentre + successorsPerCentre]uint64{}
	pick := func(vms []holderVM) {
		first := len(found)
		for _, vm := range vms {
			score := mix(key ^ vm.hash)
			i := len(found)
			for i > first && (score > scores[i-1] || score == scores[i-1] && vm.addr < found[i-1].addr) {
				i--
			}
			if i == count {
				continue
			}
			if len(found) < count {
				found = append(found, holderVM{})
			}
			copy(found[i+1:], found[i:])
			copy(scores[i+1:], scores[i:])
			found[i], scores[i] = vm, score
		}
	}
	pick(ce.vms[:ce.large])
	if len(found) < count {
		pick(ce.vms[ce.large:])
	}
	return found
}

// mix is the finalizer of MurmurHash3: it spreads each bit over all others. Hashing both names anew
// for each pair would take ten times as long.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
