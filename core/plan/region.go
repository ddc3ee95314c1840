package plan

import (
	"slices"

	"laburnumvane/core/origin"
	"laburnumvane/core/route"
)

// Allows reports whether requests of a route may go to servers and VMs of a data centre. A
// route with regions excludes data centres whose region is not known.
func (vw *View) Allows(rt *route.Route, dataCentre string) bool {
	return rt.Allows(vw.cfg.Regions[dataCentre])
}

// FilterByRegion returns those of the given servers or VMs to which requests of a route may go. The
// caller must not modify the list.
func (vw *View) FilterByRegion(rt *route.Route, ups []*origin.Upstream) []*origin.Upstream {
	if len(rt.Regions) == 0 {
		return ups
	}
	return slices.DeleteFunc(slices.Clone(ups), func(up *origin.Upstream) bool { return !vw.Allows(rt, up.DataCentre) })
}
