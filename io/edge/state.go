package edge

import (
	"time"

	"laburnumvane/core/enlist"
	"laburnumvane/core/mirror"
	"laburnumvane/core/origin"
	"laburnumvane/core/plan"
	"laburnumvane/core/quota"
	"laburnumvane/core/rank"
	"laburnumvane/core/toggle"
	"laburnumvane/io/follow"
	"laburnumvane/io/meter"
)

const (
	// lapseGrace is how long after the store's return this VM waits for an entry that lapsed
	// while the store was down; a live server writes its entry again within two seconds.
	lapseGrace = 2500 * time.Millisecond
	// serverForgetTime is how long a removed server is remembered.
	serverForgetTime = 2 * time.Minute
	// vmForgetTime is how long a VM counts after its entry lapsed. Connections and budgets are
	// divided by the number of VMs, and an entry that is lost while the store is down must not
	// let the other VMs take over its part.
	vmForgetTime = 20 * time.Second
)

// state is what the VM knows of servers, VMs and routes; only the control goroutine uses it.
type state struct {
	eg      *Edge
	servers *origin.Table
	// vms is keyed by store key. lapsed holds the time at which a VM whose entry lapsed stops
	// counting.
	vms    map[string]vmRecord
	lapsed map[string]time.Duration
	// unreadableKeys holds the keys of entries that cannot be decoded.
	unreadableKeys map[string]bool
	view           *plan.View
	// followed is set while the other VMs of the data centre follow this one, since
	// followedSince. nextSilentCheck is when to check again which of them are silent.
	followed                       bool
	followedSince, nextSilentCheck time.Duration
	// configured is set once view has a configuration.
	configured bool
}

// vmRecord is a VM as described by its entry.
type vmRecord struct {
	vm              rank.VM
	capacity        float64
	lease, revision uint64
}

func newState(eg *Edge) *state {
	return &state{
		eg:             eg,
		servers:        origin.NewTable(origin.Config{LapseGrace: lapseGrace, TombstoneTTL: serverForgetTime}),
		vms:            make(map[string]vmRecord),
		lapsed:         make(map[string]time.Duration),
		unreadableKeys: make(map[string]bool),
		view:           plan.New(plan.Config{Self: eg.set.Self, Regions: eg.set.Regions, WarmUp: eg.set.WarmUp}),
	}
}

// applyChange applies a set of events and publishes the result.
func (st *state) applyChange(ch follow.Change) {
	now := st.eg.clock()
	if ch.Returned > 0 && !st.eg.set.Off.Off(toggle.Absence) && now < ch.Returned+lapseGrace && st.view.Upstreams().Len() > 0 {
		st.servers.StoreReturned(ch.Returned)
	}
	upstreams, fleet := false, false
	for _, ev := range ch.Events {
		if ev.Removed {
			upstreams = st.removeEntry(now, ev.Key) || upstreams
			continue
		}
		up, vm := st.putEntry(now, ev)
		upstreams, fleet = upstreams || up, fleet || vm
	}
	if upstreams {
		st.view = st.view.WithUpstreams(st.servers.Directory())
	}
	if fleet {
		st.setFleet()
	}
	st.eg.registration.noteCopy()
	st.publish()
}

// putEntry applies a written entry and reports whether servers or VMs changed.
func (st *state) putEntry(now time.Duration, ev mirror.Event) (upstreams, fleet bool) {
	dec := st.eg.cfg.Decoder
	if up, ok, err := dec.Upstream(ev.Key, ev.Value); ok {
		return st.putServer(now, ev, up, err), false
	}
	if dc, ok := dec.Evacuation(ev.Key); ok {
		return st.evacuate(ev, dc), false
	}
	if vm, capacity, ok, err := dec.VM(ev.Key, ev.Value); ok {
		if ev.Key == st.eg.vmKey {
			st.eg.registration.noteEntry(ev.Value, ev.Lease)
		}
		if err != nil {
			st.noteUnreadable(ev, err)
			return false, false
		}
		delete(st.lapsed, ev.Key)
		old := st.vms[ev.Key]
		st.vms[ev.Key] = vmRecord{vm: vm, capacity: capacity, lease: ev.Lease, revision: ev.Revision}
		return false, old != st.vms[ev.Key]
	}
	if rd, ok, err := dec.Poison(ev.Key, ev.Value); ok {
		if err != nil {
			st.noteUnreadable(ev, err)
			return false, false
		}
		st.eg.entry.ApplyPoison(rd)
		return false, false
	}
	if tb, ok, err := dec.Routes(ev.Key, ev.Value); ok {
		if err != nil {
			st.noteUnreadable(ev, err)
			return false, false
		}
		st.setRoutes(ev.Key, tb, ev.Revision)
	}
	return false, false
}

// putServer applies a server's entry. If the entry cannot be decoded, the server that its key
// held before is removed.
func (st *state) putServer(now time.Duration, ev mirror.Event, up *upstream, err error) (changed bool) {
	if err != nil {
		st.noteUnreadable(ev, err)
		id, _ := st.eg.cfg.Decoder.UpstreamID(ev.Key)
		return st.servers.Reject(now, id)
	}
	delete(st.unreadableKeys, ev.Key)
	if !st.servers.Put(now, up) {
		return false
	}
	st.eg.cfg.Log.Info().Str("server", up.ID).Str("service", up.Service).Str("addr", up.Addr).Int64("born", up.StartMs).
		Bool("leaving", up.Leaving).Int64("coldMs", up.ColdFor.Milliseconds()).Uint64("sequence", up.Sequence).Uint64("revision", ev.Revision).Msg("server entry")
	return true
}

// evacuate stops all requests to the servers of a data centre, as the operator requested, and
// reports whether this is a change.
func (st *state) evacuate(ev mirror.Event, dataCentre string) bool {
	if !st.servers.Evacuate(dataCentre) {
		return false
	}
	st.eg.meter.Count(meter.Evacuation, "begun")
	st.eg.cfg.Log.Warn().Str("dataCentre", dataCentre).Uint64("revision", ev.Revision).
		Int64("ageMs", st.eg.follow.Age().Milliseconds()).Msg("data centre evacuated: its servers get no further requests")
	return true
}

// endEvacuation lets the servers of a data centre get requests again.
func (st *state) endEvacuation(dataCentre string) bool {
	if !st.servers.EndEvacuation(st.eg.clock(), dataCentre, st.warmUpTime) {
		return false
	}
	st.eg.meter.Count(meter.Evacuation, "ended")
	st.eg.cfg.Log.Warn().Str("dataCentre", dataCentre).Int64("ageMs", st.eg.follow.Age().Milliseconds()).
		Msg("evacuation ended: its servers are used again")
	return true
}

// warmUpTime returns how long servers of a service stay cold, or 0 if its configuration sets no
// warm-up rate.
func (st *state) warmUpTime(service string) time.Duration {
	if tb := st.view.Routes(); tb != nil {
		if sv, ok := tb.Service(service); ok && sv.WarmUpRate > 0 {
			return sv.WarmUp
		}
	}
	return 0
}

// setRoutes applies a configuration unless it is older than the one in force: a VM never goes
// back to an older version.
func (st *state) setRoutes(key string, tb *routeTable, revision uint64) {
	if old := st.view.Routes(); old != nil && tb.Version() <= old.Version() {
		st.eg.cfg.Log.Warn().Uint64("version", tb.Version()).Uint64("inForce", old.Version()).
			Uint64("revision", revision).Msg("ignored an older configuration")
		st.eg.meter.Count(meter.Config, "older")
		return
	}
	delete(st.unreadableKeys, key)
	st.view = st.view.WithRoutes(tb)
	st.eg.meter.Count(meter.Config, "applied")
	st.eg.cfg.Log.Info().Uint64("version", tb.Version()).Uint64("revision", revision).
		Int("routes", len(tb.Routes())).Msg("configuration in force")
}

// noteUnreadable counts an entry that cannot be decoded. It logs only the first one of each
// key, because a faulty writer may repeat it for hours.
func (st *state) noteUnreadable(ev mirror.Event, err error) {
	st.eg.meter.Count(meter.Config, "unreadable")
	if st.unreadableKeys[ev.Key] {
		return
	}
	st.unreadableKeys[ev.Key] = true
	st.eg.cfg.Log.Error().Str("key", ev.Key).Uint64("revision", ev.Revision).Err(err).Msg("ignored an entry that cannot be read")
}

// removeEntry applies the removal of an entry and reports whether servers changed. A VM counts
// for vmForgetTime after its entry lapsed.
func (st *state) removeEntry(now time.Duration, key string) (upstreams bool) {
	delete(st.unreadableKeys, key)
	if id, ok := st.eg.cfg.Decoder.UpstreamID(key); ok {
		changed := st.servers.Remove(now, id)
		st.eg.cfg.Log.Info().Str("server", id).Bool("dropped", changed).Msg("server entry removed")
		return changed
	}
	if dc, ok := st.eg.cfg.Decoder.Evacuation(key); ok {
		return st.endEvacuation(dc)
	}
	if fp, ok := st.eg.cfg.Decoder.PoisonID(key); ok {
		st.eg.entry.RemovePoison(fp)
		return false
	}
	if _, ok := st.vms[key]; ok {
		st.lapsed[key] = now + vmForgetTime
		if key == st.eg.vmKey {
			st.eg.registration.noteRemoved()
		}
	}
	return false
}

// observeStore passes the age of the store's copy, and whether this VM's entry is in the store,
// to the warm-up limiter and to the limits of accounts.
func (st *state) observeStore(now time.Duration) {
	_, listed := st.vms[st.eg.vmKey]
	_, lapsed := st.lapsed[st.eg.vmKey]
	st.eg.warmUp.ObserveStore(now, st.eg.follow.Age(), listed && !lapsed)
	// Other VMs count this one for vmForgetTime after they have seen that its entry is gone.
	const _ = uint(vmForgetTime - quota.KeepTime - time.Second)
	st.eg.entry.ObserveStore(now, st.eg.follow.AppliedAge(), listed && !lapsed)
}

// tick removes expired state.
func (st *state) tick() {
	now := st.eg.clock()
	st.observeStore(now)
	changed := false
	if st.servers.Tick(now, st.eg.follow.Age() > mirror.StaleAfter) {
		st.view = st.view.WithUpstreams(st.servers.Directory())
		changed = true
	}
	for key, at := range st.lapsed {
		if now >= at {
			delete(st.lapsed, key)
			delete(st.vms, key)
			st.setFleet()
			changed = true
		}
	}
	if changed {
		st.publish()
	}
}

func (st *state) setFleet() {
	vms := make([]rank.VM, 0, len(st.vms))
	capacity := map[string]float64{st.eg.set.Self.Addr: st.eg.set.Capacity}
	for _, vr := range st.vms {
		vms = append(vms, vr.vm)
		capacity[vr.vm.Addr] = vr.capacity
	}
	st.setLeases()
	st.view = st.view.WithFleet(vms, capacity)
	st.eg.follow.SetPeers(vms)
	someLarge, selfLarge := st.view.Large()
	st.eg.cfg.Log.Info().Int("vms", st.view.FleetSize()).Bool("someLarge", someLarge).Bool("large", selfLarge).Msg("fleet")
}

// setLeases publishes the leases under which entries are written, and how many entries share
// the lease of this VM's.
func (st *state) setLeases() {
	byDataCentre := make(map[string][]uint64)
	sharing := make(map[uint64]int)
	for _, vr := range st.vms {
		byDataCentre[vr.vm.DataCentre] = append(byDataCentre[vr.vm.DataCentre], vr.lease)
		sharing[vr.lease]++
	}
	leases := make(map[string]uint64, len(byDataCentre))
	for dc, all := range byDataCentre {
		if lease := enlist.CommonLease(all); lease != 0 {
			leases[dc] = lease
		}
	}
	st.eg.leases.Store(&leases)
	st.eg.registration.leaseSharers.Store(int64(sharing[st.vms[st.eg.vmKey].lease]))
}

// publish makes the current state visible to requests.
func (st *state) publish() {
	st.eg.view.Store(st.view)
	st.eg.pool.Sync(st.view.Upstreams(), st.limits)
	st.eg.steer.Retain(st.view.Upstreams())
	st.eg.warmUp.Retain(st.view.Upstreams())
	st.observeStore(st.eg.clock())
	st.eg.setExtra(st.view.ExtraShare())
	if !st.eg.ready.Load() {
		// Open connections at once: until it is ready, the VM serves nothing.
		st.eg.pool.Tick()
	}
	if st.view.Routes() != nil && !st.configured {
		st.configured = true
		close(st.eg.configured)
	}
}
