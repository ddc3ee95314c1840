package admit

import "time"

// routeState is what is known of the servers of a route.
type routeState struct {
	// slowSince is since when they have been too slow for the target because of their load; 0 if
	// they are not. slowAt is when that was seen last.
	slowSince, slowAt time.Duration
	// credit is the number of trials that are due.
	credit float64
	// local is how long requests took beyond the time of the servers, and deviation by how much
	// that varies, both on average; local is 0 until one has ended.
	local, deviation time.Duration
}

// SetRoutes sets the names of the routes of the configuration in effect. The state of other routes is
// dropped, and none is kept for their last requests. Without a call, each route that is seen is kept.
func (ga *Gate[W]) SetRoutes(names []string) {
	routes := make(map[string]*routeState, len(names))
	for _, name := range names {
		rs, ok := ga.routes[name]
		if !ok {
			rs = &routeState{}
		}
		routes[name] = rs
	}
	ga.routes, ga.routesSet = routes, true
}

func (ga *Gate[W]) route(name string) *routeState {
	rs, ok := ga.routes[name]
	if !ok {
		rs = &routeState{}
		if !ga.routesSet {
			ga.routes[name] = rs
		}
	}
	return rs
}

// observe records how long a request took beyond the time of the servers.
func (rs *routeState) observe(local time.Duration) {
	if rs.local == 0 {
		rs.local = local
	}
	rs.deviation += ((local - rs.local).Abs() - rs.deviation) / localWeight
	rs.local += (local - rs.local) / localWeight
}
