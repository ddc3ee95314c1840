package main

import (
	"fmt"
	"syscall"
	"time"

	"laburnumvane/platform/fakes"
)

// injectFault injects one random fault and registers how to undo it.
func (so *soak) injectFault() {
	vm := so.vms[so.rnd.IntN(len(so.vms))]
	span := time.Duration(300+so.rnd.IntN(2500)) * time.Millisecond
	switch kind := so.rnd.IntN(18); kind {
	case 0:
		so.record("%s is killed", vm.name)
		vm.signal(syscall.SIGKILL)
		so.undoAfter(span, func() { vm.restartIfExited() })
	case 1:
		so.record("%s is stopped by SIGSTOP for %v", vm.name, span)
		vm.signal(syscall.SIGSTOP)
		so.undoAfter(span, func() { vm.signal(syscall.SIGCONT) })
	case 2, 3:
		so.stopVM(vm)
	case 4:
		so.record("%s gets SIGHUP", vm.name)
		vm.signal(syscall.SIGHUP)
	case 5:
		modes := []fakes.Mode{fakes.Busy, fakes.Silent, fakes.Disconnect, fakes.LoseAnswers}
		mode := modes[so.rnd.IntN(len(modes))]
		so.record("the store serves %s in mode %d for %v", vm.name, mode, span)
		vm.place.Endpoint.Set(mode)
		so.undoAfter(span, func() { vm.place.Endpoint.Set(fakes.Serving) })
	case 6:
		so.record("the store does not answer for %v", span)
		so.site.Store.SetAll(fakes.Silent)
		so.undoAfter(span, func() { so.site.Store.SetAll(fakes.Serving) })
	case 7:
		so.record("the store loses its history and all leases")
		so.site.Store.Compact()
		so.site.Store.Revoke()
	case 8, 9:
		so.spoilAnswers(span)
	case 10:
		so.replaceServer()
	case 11, 12:
		so.injectLinkFault(span)
	case 13:
		so.routes++
		so.record("new configuration with route %d", so.routes)
		so.extra = []fakes.Route{{"name": "added", "host": fakes.Host, "path_prefix": fmt.Sprintf("/added-%d/", so.routes),
			"route_type": "safe", "timeout_ms": 2000, "target_latency_ms": 400, "priority": 2, "service": "ledger", "max_attempts": 2}}
		so.site.Configure(so.extra)
	default:
		so.injectWideFault(kind, span)
	}
}

// injectWideFault injects the faults that affect servers' entries or several processes at once.
func (so *soak) injectWideFault(kind int, span time.Duration) {
	switch kind {
	case 14:
		so.restartServer()
	case 15:
		so.writeForeignEntries()
	case 16:
		so.silenceServers(span)
	case 17:
		so.record("all VMs are killed")
		for _, vm := range so.vms {
			vm.signal(syscall.SIGKILL)
			so.undoAfter(time.Duration(so.rnd.IntN(500))*time.Millisecond, func() { vm.restartIfExited() })
		}
	}
}

// restartServer restarts a server under its id: its counters start from zero, and the requests on its
// connections are lost.
func (so *soak) restartServer() {
	servers := so.site.Servers()
	sv := servers[so.rnd.IntN(len(servers))]
	li, ok := so.serverLinks[sv]
	if !ok {
		return
	}
	so.record("%s restarts", sv.ID)
	li.reset()
	so.site.PutEntryWithStart(sv, li.addr(), "ready", 1, time.Now().UnixMilli())
}

// writeForeignEntries simulates another writer under the servers' keys. It writes an entry of its own
// and overwrites the entry of a server, which the server then writes again.
func (so *soak) writeForeignEntries() {
	servers := so.site.Servers()
	sv := servers[so.rnd.IntN(len(servers))]
	li, ok := so.serverLinks[sv]
	if !ok {
		return
	}
	so.record("foreign entries, one overwrites that of %s", sv.ID)
	so.site.Store.Put("servers/foreign", []byte("\xff\x00"))
	so.site.Store.Put("servers/"+sv.ID, []byte(`{"service":7}`))
	time.Sleep(50 * time.Millisecond)
	so.site.PutEntryWithStart(sv, li.addr(), "ready", 1, time.Now().UnixMilli())
}

// silenceServers silences the links of all servers of one data centre, but not its VMs.
func (so *soak) silenceServers(span time.Duration) {
	dataCentre := so.site.Servers()[so.rnd.IntN(len(so.site.Servers()))].DataCentre
	so.record("the servers of %s are cut off for %v", dataCentre, span)
	for sv, li := range so.serverLinks {
		if sv.DataCentre == dataCentre {
			li.set(linkSilent)
			so.undoAfter(span, func() { li.set(linkPass) })
		}
	}
}

// undoAfter runs undo after span, and again in undoAll.
func (so *soak) undoAfter(span time.Duration, undo func()) {
	at := time.Now().Add(span)
	so.undos = append(so.undos, func() {
		time.Sleep(time.Until(at))
		undo()
	})
	go so.undos[len(so.undos)-1]()
}

// undoAll ends all faults and starts VMs that have exited.
func (so *soak) undoAll() {
	so.record("all faults are undone")
	for _, undo := range so.undos {
		undo()
	}
	for _, li := range so.links {
		li.set(linkPass)
	}
	for _, sv := range so.site.Servers() {
		sv.Set(fakes.Behaviour{})
	}
	so.site.Store.SetAll(fakes.Serving)
	for _, vm := range so.vms {
		vm.signal(syscall.SIGCONT)
		if vm.hasExited() {
			vm.restartIfExited()
		}
	}
}

// restartIfExited starts a VM whose process has exited.
func (vm *soakVM) restartIfExited() {
	vm.mu.Lock()
	exited := vm.pr.exited
	vm.mu.Unlock()
	select {
	case <-exited:
		vm.start()
	default:
	}
}

// stopVM begins a planned stop of a VM and starts the VM again once it has exited.
func (so *soak) stopVM(vm *soakVM) {
	if vm.hasExited() {
		return
	}
	so.record("%s gets SIGTERM", vm.name)
	vm.mu.Lock()
	vm.stopSentAt = time.Now()
	_ = vm.pr.cmd.Process.Signal(syscall.SIGTERM)
	exited := vm.pr.exited
	vm.mu.Unlock()
	so.undos = append(so.undos, func() {
		<-exited
		vm.restartIfExited()
	})
	go so.undos[len(so.undos)-1]()
}

// spoilAnswers makes a server give faulty answers for a while.
func (so *soak) spoilAnswers(span time.Duration) {
	servers := so.site.Servers()
	sv := servers[so.rnd.IntN(len(servers))]
	be := fakes.Behaviour{Fault: fakes.Fault(1 + so.rnd.IntN(int(fakes.CloseOnReuse))), Every: 1 + so.rnd.IntN(4),
		Delay: time.Duration(so.rnd.IntN(30)) * time.Millisecond}
	so.record("%s has fault %d in one of %d answers for %v", sv.ID, be.Fault, be.Every, span)
	sv.Set(be)
	so.undoAfter(span, func() { sv.Set(fakes.Behaviour{}) })
}

// replaceServer adds a server and then drains the one that it replaces.
func (so *soak) replaceServer() {
	servers := so.site.Servers()
	sv := servers[so.rnd.IntN(len(servers))]
	if _, ok := so.serverLinks[sv]; !ok {
		return
	}
	next, err := so.site.Add(sv.Service, sv.DataCentre)
	if err != nil {
		so.fail("a server cannot be started: %v", err)
		return
	}
	so.record("%s is drained, %s is added", sv.ID, next.ID)
	li := so.serverLinks[sv]
	delete(so.serverLinks, sv)
	so.site.PutEntryAt(sv, li.addr(), "draining", 3)
	left := time.Now()
	so.undos = append(so.undos, func() {})
	go so.checkDrained(sv, left)
}

// checkDrained checks that a drained server gets no new requests after soakDrainLimit. It records no
// violation if a VM or the store had a fault meanwhile.
func (so *soak) checkDrained(sv *fakes.Server, left time.Time) {
	time.Sleep(soakDrainLimit)
	before := len(sv.Ran())
	time.Sleep(time.Second)
	if after := len(sv.Ran()); after > before && so.undisturbedSince(left) {
		so.fail("%s was drained and got %d requests more than %v later", sv.ID, after-before, soakDrainLimit)
	}
}

// undisturbedSince reports whether neither a VM nor the store had a fault, and no VM a planned stop,
// since at.
func (so *soak) undisturbedSince(at time.Time) bool {
	for _, vm := range so.vms {
		vm.mu.Lock()
		undisturbed := vm.lastFault.Before(at) && vm.stopSentAt.IsZero()
		vm.mu.Unlock()
		if !undisturbed {
			return false
		}
	}
	return time.Since(so.lastStoreFault()) > time.Since(at)+time.Second
}

// lastStoreFault returns the time of the last event of the store or of a link to it, or an hour before
// the run if there was none.
func (so *soak) lastStoreFault() time.Time {
	so.mu.Lock()
	defer so.mu.Unlock()
	for i := len(so.events) - 1; i >= 0; i-- {
		var seconds float64
		line := so.events[i]
		if _, err := fmt.Sscanf(line, "%f", &seconds); err == nil && mentionsStore(line) {
			return so.start.Add(time.Duration(seconds * float64(time.Second)))
		}
	}
	return so.start.Add(-time.Hour)
}

// injectLinkFault injects a fault in the link between a VM and the store, or in front of a server.
func (so *soak) injectLinkFault(span time.Duration) {
	i := so.rnd.IntN(len(so.links))
	li := so.links[i]
	what := "the link of a server"
	for _, vm := range so.vms {
		if vm.store == li {
			what = "the store's link of " + vm.name
		}
	}
	mode := linkMode(so.rnd.IntN(int(linkOneWay) + 1))
	if mode == linkPass {
		so.record("%s resets all connections", what)
		li.reset()
		return
	}
	so.record("%s in mode %d for %v", what, mode, span)
	li.set(mode)
	so.undoAfter(span, func() { li.set(linkPass) })
}
