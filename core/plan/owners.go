package plan

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"laburnumvane/core/origin"
	"laburnumvane/core/rank"
	"laburnumvane/core/route"
)

// Owners lists, best first, the VMs at which all arrivals of a request meet, as servers
// named by their inner addresses: of those that may take requests of its route, the same at
// each VM that knows the same fleet. The list ends where this VM itself would stand: it
// owns the request if there is none before it.
func (vw *View) Owners(rt *route.Route, key uint64, most int) []*origin.Upstream {
	weights := make(map[string]uint64, len(vw.fleet.all))
	var vms []rank.VM
	for _, vm := range vw.takers(rt) {
		if vm.Addr != vw.cfg.Self.Addr && !vw.Allows(rt, vm.DataCentre) {
			continue
		}
		weights[vm.Addr] = weight(key, vm.Addr)
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return weights[vms[i].Addr] > weights[vms[j].Addr] })
	var owners []*origin.Upstream
	for _, vm := range vms {
		if vm.Addr == vw.cfg.Self.Addr || len(owners) == most {
			break
		}
		owners = append(owners, &origin.Upstream{ID: vm.Addr, Addr: vm.Addr, DataCentre: vm.DataCentre})
	}
	return owners
}

// takers lists the VMs that may take requests of a route: those that take other ones' too,
// where there are such.
func (vw *View) takers(rt *route.Route) []rank.VM {
	if rt.Gather == nil || len(rt.Gather.Shards) == 0 {
		return vw.fitting(nil)
	}
	return vw.fitting(rt.Gather.Shards)
}

func weight(key uint64, addr string) uint64 {
	var ha xxhash.Digest
	ha.Reset()
	_, _ = ha.Write(binary.BigEndian.AppendUint64(nil, key))
	_, _ = ha.WriteString(addr)
	return ha.Sum64()
}
