package main

import (
	"fmt"
	"syscall"
	"time"

	"laburnumvane/platform/stand"
)

// harm does one thing and notes how to undo it.
func (so *soak) harm() {
	vm := so.vms[so.rnd.IntN(len(so.vms))]
	span := time.Duration(300+so.rnd.IntN(2500)) * time.Millisecond
	switch kind := so.rnd.IntN(18); kind {
	case 0:
		so.note("%s is killed", vm.name)
		vm.signal(syscall.SIGKILL)
		so.after(span, func() { vm.again() })
	case 1:
		so.note("%s stands still for %v", vm.name, span)
		vm.signal(syscall.SIGSTOP)
		so.after(span, func() { vm.signal(syscall.SIGCONT) })
	case 2, 3:
		so.stop(vm)
	case 4:
		so.note("%s gets SIGHUP", vm.name)
		vm.signal(syscall.SIGHUP)
	case 5:
		modes := []stand.Mode{stand.Busy, stand.Silent, stand.Cut, stand.Lost}
		mode := modes[so.rnd.IntN(len(modes))]
		so.note("the store treats %s as %d for %v", vm.name, mode, span)
		vm.place.Door.Set(mode)
		so.after(span, func() { vm.place.Door.Set(stand.Serving) })
	case 6:
		so.note("the store is away for %v", span)
		so.site.Store.SetAll(stand.Silent)
		so.after(span, func() { so.site.Store.SetAll(stand.Serving) })
	case 7:
		so.note("the store loses its history and all leases")
		so.site.Store.Compact()
		so.site.Store.Revoke()
	case 8, 9:
		so.spoil(span)
	case 10:
		so.leave()
	case 11, 12:
		so.harmLink(span)
	case 13:
		so.routes++
		so.note("configuration with route %d", so.routes)
		so.site.Configure([]stand.Route{{"name": "added", "host": stand.Host, "path_prefix": fmt.Sprintf("/added-%d/", so.routes),
			"route_type": "safe", "timeout_ms": 2000, "target_latency_ms": 400, "priority": 2, "service": "ledger", "max_attempts": 2}})
	default:
		so.harmMany(kind, span)
	}
}

// harmMany does what strikes servers' entries, or several processes at once.
func (so *soak) harmMany(kind int, span time.Duration) {
	switch kind {
	case 14:
		so.startAgain()
	case 15:
		so.foreign()
	case 16:
		so.cutServers(span)
	case 17:
		so.note("all VMs lose their power")
		for _, vm := range so.vms {
			vm.signal(syscall.SIGKILL)
			so.after(time.Duration(so.rnd.IntN(500))*time.Millisecond, func() { vm.again() })
		}
	}
}

// startAgain has a server start again under its id: its counts begin anew, and what came
// over its connections is lost.
func (so *soak) startAgain() {
	servers := so.site.Servers()
	sv := servers[so.rnd.IntN(len(servers))]
	li, there := so.serverLinks[sv]
	if !there {
		return
	}
	so.note("%s starts again", sv.ID)
	li.reset()
	so.site.EnterBorn(sv, li.addr(), "ready", 1, time.Now().UnixMilli())
}

// foreign has another writer write under the servers' keys: one of its own, and over a
// server's own entry, which the server writes again.
func (so *soak) foreign() {
	servers := so.site.Servers()
	sv := servers[so.rnd.IntN(len(servers))]
	li, there := so.serverLinks[sv]
	if !there {
		return
	}
	so.note("foreign entries, one over that of %s", sv.ID)
	so.site.Store.Put("servers/foreign", []byte("\xff\x00"))
	so.site.Store.Put("servers/"+sv.ID, []byte(`{"service":7}`))
	time.Sleep(50 * time.Millisecond)
	so.site.EnterBorn(sv, li.addr(), "ready", 1, time.Now().UnixMilli())
}

// cutServers silences all servers of one data centre, and nothing else there.
func (so *soak) cutServers(span time.Duration) {
	place := so.site.Servers()[so.rnd.IntN(len(so.site.Servers()))].DataCentre
	so.note("the servers of %s are cut off for %v", place, span)
	for sv, li := range so.serverLinks {
		if sv.DataCentre == place {
			li.set(linkSilent)
			so.after(span, func() { li.set(linkPass) })
		}
	}
}

// after undoes something later, or when all is mended.
func (so *soak) after(span time.Duration, undo func()) {
	at := time.Now().Add(span)
	so.heal = append(so.heal, func() {
		time.Sleep(time.Until(at))
		undo()
	})
	go so.heal[len(so.heal)-1]()
}

// mend undoes everything.
func (so *soak) mend() {
	so.note("mended")
	for _, undo := range so.heal {
		undo()
	}
	for _, li := range so.links {
		li.set(linkPass)
	}
	for _, sv := range so.site.Servers() {
		sv.Set(stand.Behaviour{})
	}
	so.site.Store.SetAll(stand.Serving)
	for _, vm := range so.vms {
		vm.signal(syscall.SIGCONT)
		if vm.gone() {
			vm.again()
		}
	}
}

// again starts a VM whose process has ended.
func (vm *soakVM) again() {
	vm.mu.Lock()
	exited := vm.pr.exited
	vm.mu.Unlock()
	select {
	case <-exited:
		vm.boot()
	default:
	}
}

// stop stops a VM as planned and starts it again.
func (so *soak) stop(vm *soakVM) {
	if vm.gone() {
		return
	}
	so.note("%s gets SIGTERM", vm.name)
	vm.mu.Lock()
	vm.stopping = time.Now()
	_ = vm.pr.cmd.Process.Signal(syscall.SIGTERM)
	exited := vm.pr.exited
	vm.mu.Unlock()
	so.heal = append(so.heal, func() {
		<-exited
		vm.again()
	})
	go so.heal[len(so.heal)-1]()
}

// spoil has a server spoil its answers for a while.
func (so *soak) spoil(span time.Duration) {
	servers := so.site.Servers()
	sv := servers[so.rnd.IntN(len(servers))]
	be := stand.Behaviour{Fault: stand.Fault(1 + so.rnd.IntN(int(stand.Drop))), Every: 1 + so.rnd.IntN(4),
		Delay: time.Duration(so.rnd.IntN(30)) * time.Millisecond}
	so.note("%s has fault %d, each %d., for %v", sv.ID, be.Fault, be.Every, span)
	sv.Set(be)
	so.after(span, func() { sv.Set(stand.Behaviour{}) })
}

// leave has a server leave, after another one has come in its place.
func (so *soak) leave() {
	servers := so.site.Servers()
	sv := servers[so.rnd.IntN(len(servers))]
	if _, there := so.serverLinks[sv]; !there {
		return
	}
	next, err := so.site.Add(sv.Service, sv.DataCentre)
	if err != nil {
		so.broken("a server cannot be started: %v", err)
		return
	}
	so.note("%s leaves, %s comes", sv.ID, next.ID)
	li := so.serverLinks[sv]
	delete(so.serverLinks, sv)
	so.site.EnterAt(sv, li.addr(), "draining", 3)
	left := time.Now()
	so.heal = append(so.heal, func() {})
	go so.watchLeaving(sv, left)
}

// watchLeaving sees that a server which left gets nothing new, unless something
// was done to the VMs or the store meanwhile.
func (so *soak) watchLeaving(sv *stand.Server, left time.Time) {
	time.Sleep(soakDrained)
	before := len(sv.Ran())
	time.Sleep(time.Second)
	if after := len(sv.Ran()); after > before && so.calmSince(left) {
		so.broken("%s left and got %d requests more than %v later", sv.ID, after-before, soakDrained)
	}
}

// calmSince tells whether nothing was done to any VM or the store since a time.
func (so *soak) calmSince(at time.Time) bool {
	for _, vm := range so.vms {
		vm.mu.Lock()
		calm := vm.harmed.Before(at) && vm.stopping.IsZero()
		vm.mu.Unlock()
		if !calm {
			return false
		}
	}
	return time.Since(so.storeHarmed()) > time.Since(at)+time.Second
}

// storeHarmed is when the store, or the way to it, was last harmed.
func (so *soak) storeHarmed() time.Time {
	so.mu.Lock()
	defer so.mu.Unlock()
	for i := len(so.story) - 1; i >= 0; i-- {
		var seconds float64
		line := so.story[i]
		if _, err := fmt.Sscanf(line, "%f", &seconds); err == nil && containsStore(line) {
			return so.began.Add(time.Duration(seconds * float64(time.Second)))
		}
	}
	return so.began.Add(-time.Hour)
}

// harmLink harms the way between a VM and the store, or before a server.
func (so *soak) harmLink(span time.Duration) {
	i := so.rnd.IntN(len(so.links))
	li := so.links[i]
	what := "a server's link"
	for _, vm := range so.vms {
		if vm.store == li {
			what = "the store's link of " + vm.name
		}
	}
	mode := linkMode(so.rnd.IntN(int(linkOneWay) + 1))
	if mode == linkPass {
		so.note("%s resets all connections", what)
		li.reset()
		return
	}
	so.note("%s in mode %d for %v", what, mode, span)
	li.set(mode)
	so.after(span, func() { li.set(linkPass) })
}
