package node

import (
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"

	"laburnumvane/core/view"
	"laburnumvane/io/meter"
	"laburnumvane/io/wire"
)

// Status returns this VM's status with its view of the other VMs and the upstream servers.
func (nd *Node) Status() wire.Status {
	vw := nd.view.Load()
	st := wire.Status{
		VM:          nd.addr,
		DataCentre:  nd.set.DataCentre,
		Incarnation: nd.set.Incarnation,
		Phase:       nd.phase(),
		Version:     nd.cfg.Version,
		Teams:       teamStatuses(vw),
		Registers:   nd.registerStatuses(vw),
		Upstreams:   nd.upstreamStatuses(vw),
		VMs:         []wire.VMStatus{},
		Alarms:      []string{},
		Limits:      nd.limits(),
	}
	nd.onControl(func(ct *control) {
		st.Alarms = append(st.Alarms, ct.alarms...)
		st.Alarms = append(st.Alarms, ct.configs.alarmTexts()...)
		st.VMs = ct.members.status()
		st.Limits.Teams = nd.teamLimits(ct, vw)
	})
	return st
}

func (nd *Node) phase() string {
	if nd.Leaving() {
		return "leaving"
	}
	return "serving"
}

func teamStatuses(vw *view.View) []wire.TeamStatus {
	out := []wire.TeamStatus{}
	for name, tm := range vw.Teams {
		out = append(out, wire.TeamStatus{Team: name, Revision: tm.Revision, ChangeID: tm.ChangeID})
	}
	slices.SortFunc(out, func(a, b wire.TeamStatus) int { return strings.Compare(a.Team, b.Team) })
	return out
}

func (nd *Node) registerStatuses(vw *view.View) []wire.RegisterStatus {
	out := []wire.RegisterStatus{}
	live := func(id view.ServerID) bool { return !vw.Server(id).State.Leaving() }
	for key, rg := range vw.Registers {
		sn, ok := rg.Pin(live)
		if !ok {
			continue
		}
		rs := wire.RegisterStatus{Register: key.Team + "/" + key.Register, Snapshot: sn.Version, Shards: sn.Shards()}
		for _, replicas := range sn.Replicas {
			if slices.ContainsFunc(replicas, live) {
				rs.Live++
			}
		}
		out = append(out, rs)
	}
	slices.SortFunc(out, func(a, b wire.RegisterStatus) int { return strings.Compare(a.Register, b.Register) })
	return out
}

func (nd *Node) upstreamStatuses(vw *view.View) []wire.UpstreamOfVM {
	out := make([]wire.UpstreamOfVM, 0, vw.Len())
	for _, sv := range vw.Servers() {
		up := nd.upstream(sv.ID)
		out = append(out, wire.UpstreamOfVM{
			Addr:           sv.Addr,
			DataCentre:     sv.DataCentre,
			Service:        sv.Service,
			State:          sv.State.String(),
			Why:            sv.Why,
			Incarnation:    sv.Incarnation,
			InFlight:       nd.table.InFlight(sv.ID),
			Limit:          nd.serverLimit(sv.ID),
			Connections:    up.Open(),
			ConnectionPlan: up.Limit(),
			LatencyMs:      float64(nd.table.Latency(sv.ID).Microseconds()) / 1000,
		})
	}
	return out
}

// Metrics returns all counters, gauges and histograms by name.
func (nd *Node) Metrics() map[string]float64 {
	open := 0
	for _, sv := range *nd.pools.Load() {
		open += sv.Open()
	}
	nd.meter.Set(meter.Connections, int64(open))
	nd.meter.Set(meter.InFlight, int64(nd.driver.InFlight()))
	nd.meter.Set(meter.Workers, int64(nd.workers.Running()))
	in, out := nd.inner.Bytes()
	nd.meter.Set(meter.InnerIn, in)
	nd.meter.Set(meter.InnerOut, out)
	return nd.meter.Snapshot()
}

// SetLogLevel changes the log level while the VM runs. It returns an error for an unknown level.
func (nd *Node) SetLogLevel(level string) error {
	lv := log.ParseLevel(level)
	if lv.String() != level {
		return errors.Errorf("node.SetLogLevel: no level %q", level)
	}
	nd.log.SetLevel(lv)
	return nil
}
