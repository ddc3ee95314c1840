package plan

import "laburnumvane/core/route"

// ServesAlone tells whether the servers of this VM's own data centre suffice for
// the least answer of every gathered route.
func (vw *View) ServesAlone() bool {
	if vw.cfg.Routes == nil {
		return true
	}
	for _, rt := range vw.cfg.Routes.Routes() {
		if rt.Gather != nil && !vw.ServesNear(rt) {
			return false
		}
	}
	return true
}

// ServesNear tells whether the servers of this VM's own data centre suffice for a
// route's least answer.
func (vw *View) ServesNear(rt *route.Route) bool {
	if !vw.Allows(rt, vw.cfg.Self.DataCentre) {
		return false
	}
	if rt.Gather == nil {
		for _, sh := range rt.Split {
			if sh.Weight > 0 && !vw.hasNear(sh.Service) {
				return false
			}
		}
		return true
	}
	parts := 0
	for _, name := range rt.Gather.Shards {
		if vw.hasNear(name) {
			parts++
		}
	}
	return parts >= rt.Gather.MinParts()
}

func (vw *View) hasNear(service string) bool {
	for _, up := range vw.cfg.Upstreams.Of(service) {
		if up.DataCentre == vw.cfg.Self.DataCentre && up.Takes() {
			return true
		}
	}
	return false
}
