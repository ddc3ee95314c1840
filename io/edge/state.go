package edge

import (
	"time"

	"laburnumvane/core/enlist"
	"laburnumvane/core/feed"
	"laburnumvane/core/origin"
	"laburnumvane/core/plan"
	"laburnumvane/core/rank"
	"laburnumvane/core/toggle"
	"laburnumvane/io/follow"
	"laburnumvane/io/meter"
)

const (
	// lingerTime is how long after the store's return an entry that lapsed
	// meanwhile is waited for; a live server writes again within two seconds.
	lingerTime = 2500 * time.Millisecond
	// forgetTime is how long a server that is gone is remembered.
	forgetTime = 2 * time.Minute
	// vmForget is how long a VM whose entry lapsed still counts, for
	// connections and budgets are divided by the number of VMs: an entry lost
	// while the store is away must not let the others take its part.
	vmForget = 20 * time.Second
)

// state is what the control goroutine knows.
type state struct {
	eg      *Edge
	servers *origin.Table
	// vms are by key; gone holds when those whose entry lapsed stop counting.
	vms  map[string]listed
	gone map[string]time.Duration
	// unread are the keys whose entries could not be read.
	unread map[string]bool
	view   *plan.View
	// leads is set while the other VMs of the data centre follow this one, since
	// leadSince, and silentAt is when it is looked next who of them is silent.
	leads               bool
	leadSince, silentAt time.Duration
}

// listed is a VM as its entry says.
type listed struct {
	vm              rank.VM
	capacity        float64
	lease, revision uint64
}

func newState(eg *Edge) *state {
	return &state{
		eg:      eg,
		servers: origin.NewTable(origin.Config{Linger: lingerTime, Forget: forgetTime}),
		vms:     make(map[string]listed),
		gone:    make(map[string]time.Duration),
		unread:  make(map[string]bool),
		view:    plan.New(plan.Config{Self: eg.set.Self, Regions: eg.set.Regions, WarmUp: eg.set.WarmUp}),
	}
}

// change takes what became known at once.
func (st *state) change(ch follow.Change) {
	now := st.eg.clock()
	if ch.Returned > 0 && !st.eg.set.Off.Off(toggle.Absence) && now < ch.Returned+lingerTime && st.view.Upstreams().Len() > 0 {
		st.servers.Suspect(ch.Returned)
	}
	upstreams, fleet := false, false
	for _, ev := range ch.Events {
		if ev.Removed {
			upstreams = st.remove(now, ev.Key) || upstreams
			continue
		}
		up, vm := st.put(now, ev)
		upstreams, fleet = upstreams || up, fleet || vm
	}
	if upstreams {
		st.view = st.view.WithUpstreams(st.servers.Directory())
	}
	if fleet {
		st.setFleet()
	}
	st.eg.listing.lookedThrough()
	st.publish()
}

// put takes a written entry and tells whether servers or VMs changed.
func (st *state) put(now time.Duration, ev feed.Event) (upstreams, fleet bool) {
	dec := st.eg.cfg.Decoder
	if up, ok, err := dec.Upstream(ev.Key, ev.Value); ok {
		return st.putServer(now, ev, up, err), false
	}
	if dc, ok := dec.Evacuation(ev.Key); ok {
		return st.evacuate(ev, dc), false
	}
	if vm, capacity, ok, err := dec.VM(ev.Key, ev.Value); ok {
		if ev.Key == st.eg.key {
			st.eg.listing.found(ev.Value, ev.Lease)
		}
		if err != nil {
			st.unreadable(ev, err)
			return false, false
		}
		delete(st.gone, ev.Key)
		was := st.vms[ev.Key]
		st.vms[ev.Key] = listed{vm: vm, capacity: capacity, lease: ev.Lease, revision: ev.Revision}
		return false, was != st.vms[ev.Key]
	}
	if rd, ok, err := dec.Poison(ev.Key, ev.Value); ok {
		if err != nil {
			st.unreadable(ev, err)
			return false, false
		}
		st.eg.entry.LearnPoison(rd)
		return false, false
	}
	if tb, ok, err := dec.Routes(ev.Key, ev.Value); ok {
		if err != nil {
			st.unreadable(ev, err)
			return false, false
		}
		st.setRoutes(tb, ev.Revision)
	}
	return false, false
}

// putServer takes a server's entry. One that cannot be read names no server: what
// stood under its key before is gone.
func (st *state) putServer(now time.Duration, ev feed.Event, up *upstream, err error) (changed bool) {
	if err != nil {
		st.unreadable(ev, err)
		id, _ := st.eg.cfg.Decoder.UpstreamID(ev.Key)
		return st.servers.Reject(now, id)
	}
	delete(st.unread, ev.Key)
	if !st.servers.Put(now, up) {
		return false
	}
	st.eg.cfg.Log.Info().Str("server", up.ID).Str("service", up.Service).Str("addr", up.Addr).Int64("born", up.Born).
		Bool("leaving", up.Leaving).Int64("coldMs", up.WarmFor.Milliseconds()).Uint64("sequence", up.Sequence).Uint64("revision", ev.Revision).Msg("server entry")
	return true
}

// evacuate has the servers of a data centre get nothing, as the operator wants, and tells
// whether that is new.
func (st *state) evacuate(ev feed.Event, dataCentre string) bool {
	if !st.servers.Evacuate(dataCentre) {
		return false
	}
	st.eg.meter.Count(meter.Evacuation, "begun")
	st.eg.cfg.Log.Warn().Str("dataCentre", dataCentre).Uint64("revision", ev.Revision).
		Int64("ageMs", st.eg.follow.Age().Milliseconds()).Msg("data centre evacuated: its servers get nothing more")
	return true
}

// returned ends that.
func (st *state) returned(dataCentre string) bool {
	if !st.servers.Return(st.eg.clock(), dataCentre, st.warmUp) {
		return false
	}
	st.eg.meter.Count(meter.Evacuation, "ended")
	st.eg.cfg.Log.Warn().Str("dataCentre", dataCentre).Int64("ageMs", st.eg.follow.Age().Milliseconds()).
		Msg("evacuation ended: its servers are used again")
	return true
}

// warmUp is how long the servers of a service are cold, if they bear fewer requests then.
func (st *state) warmUp(service string) time.Duration {
	if tb := st.view.Routes(); tb != nil {
		if sv, ok := tb.Service(service); ok && sv.WarmUpRate > 0 {
			return sv.WarmUp
		}
	}
	return 0
}

// setRoutes takes a configuration unless a newer one is in force: a VM never
// goes back.
func (st *state) setRoutes(tb *routeTable, revision uint64) {
	if was := st.view.Routes(); was != nil && tb.Version() <= was.Version() {
		st.eg.cfg.Log.Warn().Uint64("version", tb.Version()).Uint64("inForce", was.Version()).
			Uint64("revision", revision).Msg("older configuration passed over")
		st.eg.meter.Count(meter.Config, "older")
		return
	}
	st.view = st.view.WithRoutes(tb)
	st.eg.meter.Count(meter.Config, "applied")
	st.eg.cfg.Log.Info().Uint64("version", tb.Version()).Uint64("revision", revision).
		Int("routes", len(tb.Routes())).Msg("configuration in force")
}

// unreadable counts an entry that cannot be read, and logs the first of each key:
// another writer may repeat it for hours.
func (st *state) unreadable(ev feed.Event, err error) {
	st.eg.meter.Count(meter.Config, "unreadable")
	if st.unread[ev.Key] {
		return
	}
	st.unread[ev.Key] = true
	st.eg.cfg.Log.Error().Str("key", ev.Key).Uint64("revision", ev.Revision).Err(err).Msg("entry cannot be read, passed over")
}

// remove takes the end of an entry and tells whether servers changed. A VM whose
// entry ended counts for a while, see vmForget.
func (st *state) remove(now time.Duration, key string) (upstreams bool) {
	delete(st.unread, key)
	if id, ok := st.eg.cfg.Decoder.UpstreamID(key); ok {
		changed := st.servers.Remove(now, id)
		st.eg.cfg.Log.Info().Str("server", id).Bool("dropped", changed).Msg("server entry gone")
		return changed
	}
	if dc, ok := st.eg.cfg.Decoder.Evacuation(key); ok {
		return st.returned(dc)
	}
	if fp, ok := st.eg.cfg.Decoder.PoisonID(key); ok {
		st.eg.entry.ReleasePoison(fp)
		return false
	}
	if _, ok := st.vms[key]; ok {
		st.gone[key] = now + vmForget
		if key == st.eg.key {
			st.eg.listing.again()
		}
	}
	return false
}

// lookListed looks whether this VM is known to all others, and has fresh news itself.
func (st *state) lookListed(now time.Duration) {
	_, is := st.vms[st.eg.key]
	_, lapsed := st.gone[st.eg.key]
	st.eg.ramp.Look(now, st.eg.follow.Age(), is && !lapsed)
}

// tick ends what has a time.
func (st *state) tick() {
	now := st.eg.clock()
	st.lookListed(now)
	changed := false
	if st.servers.Tick(now, st.eg.follow.Age() > feed.StaleAfter) {
		st.view = st.view.WithUpstreams(st.servers.Directory())
		changed = true
	}
	for key, at := range st.gone {
		if now >= at {
			delete(st.gone, key)
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
	for _, li := range st.vms {
		vms = append(vms, li.vm)
		capacity[li.vm.Addr] = li.capacity
	}
	st.setLeases()
	st.view = st.view.WithFleet(vms, capacity)
	st.eg.follow.SetPeers(vms)
	some, self := st.view.Large()
	st.eg.cfg.Log.Info().Int("vms", st.view.FleetSize()).Bool("someLarge", some).Bool("large", self).Msg("fleet")
}

// setLeases tells under which leases entries are written, and how many share that of
// this VM's.
func (st *state) setLeases() {
	byPlace := make(map[string][]uint64)
	sharing := make(map[uint64]int)
	for _, li := range st.vms {
		byPlace[li.vm.DataCentre] = append(byPlace[li.vm.DataCentre], li.lease)
		sharing[li.lease]++
	}
	leases := make(map[string]uint64, len(byPlace))
	for place, all := range byPlace {
		if lease := enlist.LeaseOf(all); lease != 0 {
			leases[place] = lease
		}
	}
	st.eg.leases.Store(&leases)
	st.eg.listing.sharing.Store(int64(sharing[st.vms[st.eg.key].lease]))
}

// publish puts the view in force.
func (st *state) publish() {
	st.eg.view.Store(st.view)
	st.eg.pool.Sync(st.view.Upstreams(), st.limits)
	st.eg.steer.Keep(st.view.Upstreams())
	st.eg.ramp.Keep(st.view.Upstreams())
	st.lookListed(st.eg.clock())
	st.eg.setExtra(st.view.ExtraPart())
	if !st.eg.ready.Load() {
		// Each moment until readiness is one without this VM.
		st.eg.pool.Tick()
	}
}
