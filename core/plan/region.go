package plan

import (
	"slices"

	"laburnumvane/core/origin"
	"laburnumvane/core/route"
)

// Allows tells whether requests of a route may go to servers and VMs of a data centre. One
// whose region is not known is none of the route's.
func (vw *View) Allows(rt *route.Route, dataCentre string) bool {
	return rt.Allows(vw.cfg.Regions[dataCentre])
}

// Within leaves those of servers or VMs to which requests of a route may go. The caller must
// not change the list.
func (vw *View) Within(rt *route.Route, ups []*origin.Upstream) []*origin.Upstream {
	if len(rt.Regions) == 0 {
		return ups
	}
	return slices.DeleteFunc(slices.Clone(ups), func(up *origin.Upstream) bool { return !vw.Allows(rt, up.DataCentre) })
}
