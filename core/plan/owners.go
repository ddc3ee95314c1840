package plan

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"laburnumvane/core/origin"
	"laburnumvane/core/rank"
	"laburnumvane/core/route"
)

// Owners lists, best first, at most limit VMs that own a request, as Upstreams with their
// inner addresses as ID and Addr. All repeats of a request are sent to its owner, whichever
// VM they arrive at: VMs that know the same fleet compute the same owners, from the VMs that
// may take requests of the route. The list ends before this VM itself: an empty list means
// that this VM owns the request.
func (vw *View) Owners(rt *route.Route, key uint64, limit int) []*origin.Upstream {
	weights := make(map[string]uint64, len(vw.fleet.all))
	var vms []rank.VM
	for _, vm := range vw.ownerCandidates(rt) {
		if vm.Addr != vw.cfg.Self.Addr && !vw.Allows(rt, vm.DataCentre) {
			continue
		}
		weights[vm.Addr] = rendezvousWeight(key, vm.Addr)
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return weights[vms[i].Addr] > weights[vms[j].Addr] })
	var owners []*origin.Upstream
	for _, vm := range vms {
		if vm.Addr == vw.cfg.Self.Addr || len(owners) == limit {
			break
		}
		owners = append(owners, &origin.Upstream{ID: vm.Addr, Addr: vm.Addr, DataCentre: vm.DataCentre})
	}
	return owners
}

// ownerCandidates lists the VMs that may own requests of a route: those that also take
// requests of other VMs, if there are any.
func (vw *View) ownerCandidates(rt *route.Route) []rank.VM {
	if rt.Gather == nil || len(rt.Gather.Shards) == 0 {
		return vw.preferredVMs(nil)
	}
	return vw.preferredVMs(rt.Gather.Shards)
}

// rendezvousWeight is the score of a VM for a key; the VM with the highest score owns it.
func rendezvousWeight(key uint64, addr string) uint64 {
	var ha xxhash.Digest
	ha.Reset()
	_, _ = ha.Write(binary.BigEndian.AppendUint64(nil, key))
	_, _ = ha.WriteString(addr)
	return ha.Sum64()
}
