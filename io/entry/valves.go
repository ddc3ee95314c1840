package entry

import (
	"sync"

	"laburnumvane/core/route"
	"laburnumvane/core/valve"
)

// valves holds one valve for each route.
type valves struct {
	byRoute sync.Map // of *valve.Valve by name
}

func (vs *valves) forRoute(rt *route.Route) *valve.Valve {
	if va, ok := vs.byRoute.Load(rt.Name); ok {
		return va.(*valve.Valve)
	}
	va, _ := vs.byRoute.LoadOrStore(rt.Name, valve.New(valve.Config{}))
	return va.(*valve.Valve)
}

// admitLevel returns 0 for the best priority of the configuration and 1 for all others.
func (en *Entry) admitLevel(tb *route.Table, priority int) int {
	if priority > tb.BestPriority() {
		return 1
	}
	return 0
}
