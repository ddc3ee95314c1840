package plan

import "laburnumvane/core/route"

// LocalServersSuffice reports whether the servers of this VM's own data centre suffice for the
// minimum coverage of every route that gathers from shards. It is true while no routes are
// known.
func (vw *View) LocalServersSuffice() bool {
	if vw.cfg.Routes == nil {
		return true
	}
	for _, rt := range vw.cfg.Routes.Routes() {
		if rt.Gather != nil && !vw.LocalServersSufficeFor(rt) {
			return false
		}
	}
	return true
}

// LocalServersSufficeFor reports whether the servers of this VM's own data centre suffice to answer
// requests of a route: at least the minimum number of shards of a gather, or all services of
// a split.
func (vw *View) LocalServersSufficeFor(rt *route.Route) bool {
	if !vw.Allows(rt, vw.cfg.Self.DataCentre) {
		return false
	}
	if rt.Gather == nil {
		for _, sh := range rt.Split {
			if sh.Weight > 0 && !vw.hasLocalServer(sh.Service) {
				return false
			}
		}
		return true
	}
	parts := 0
	for _, name := range rt.Gather.Shards {
		if vw.hasLocalServer(name) {
			parts++
		}
	}
	return parts >= rt.Gather.MinParts()
}

func (vw *View) hasLocalServer(service string) bool {
	for _, up := range vw.cfg.Upstreams.OfService(service) {
		if up.DataCentre == vw.cfg.Self.DataCentre && up.Accepting() {
			return true
		}
	}
	return false
}
