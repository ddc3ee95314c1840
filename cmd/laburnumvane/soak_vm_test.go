package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"laburnumvane/platform"
	"laburnumvane/platform/fakes"
)

// soakVM is one gateway VM.
type soakVM struct {
	so       *soak
	name     string
	place    fakes.VM
	settings string
	store    *link
	mu       sync.Mutex
	pr       *proc
	out      *lockedBuffer
	// stopSentAt is when SIGTERM was sent, zero if it was not. lastFault is the time of the last
	// start or of the last signal other than SIGTERM and SIGHUP.
	stopSentAt time.Time
	lastFault  time.Time
}

func (vm *soakVM) start() {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.out = &lockedBuffer{}
	vm.so.mu.Lock()
	vm.so.logs = append(vm.so.logs, vm.out)
	vm.so.mu.Unlock()
	vm.pr = launch(vm.so.t, vm.name, vm.out, "gateway", "--settings", vm.settings)
	vm.stopSentAt = time.Time{}
	vm.lastFault = time.Now()
}

func (vm *soakVM) signal(sig syscall.Signal) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	_ = vm.pr.cmd.Process.Signal(sig)
	if sig != syscall.SIGHUP {
		vm.lastFault = time.Now()
	}
}

// hasExited reports whether the process has exited.
func (vm *soakVM) hasExited() bool {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	select {
	case <-vm.pr.exited:
		return true
	default:
		return false
	}
}

// get sends a request and returns the status, or 0 without an answer or if shards are missing from
// that of a search.
func (vm *soakVM) get(addr, path string) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rq, err := http.NewRequest(http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return 0
	}
	rq.Host = fakes.Host
	rq.Header.Set(platform.HeaderRequestID, nextSoakID())
	vm.so.accounts.authorize(rq, soakOpen)
	rs, err := client.Do(rq)
	if err != nil {
		return 0
	}
	defer rs.Body.Close()
	if path == fakes.PathSearch && rs.Header.Get(platform.HeaderMissing) != "0" {
		return 0
	}
	return rs.StatusCode
}

func (vm *soakVM) ready() bool {
	return vm.get(vm.place.ReadyAddr, platform.PathReady) == http.StatusOK
}

// serves reports whether the VM is ready and serves all routes, the newest one included.
func (vm *soakVM) serves() bool {
	newest := fmt.Sprintf("/added-%d/", vm.so.routes)
	return vm.ready() && vm.get(vm.place.ClientAddr, fakes.PathSearch) == http.StatusOK &&
		vm.get(vm.place.ClientAddr, fakes.PathLedger) == http.StatusOK &&
		(vm.so.routes == 0 || vm.get(vm.place.ClientAddr, newest) == http.StatusOK)
}
