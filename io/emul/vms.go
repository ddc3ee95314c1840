package emul

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"laburnumvane/io/wire"
)

// maxVMHistory limits the number of earlier lists kept to serve a lagging one.
const maxVMHistory = 1024

// VMsConfig configures a VM list.
type VMsConfig struct {
	// Clock measures the lag; nil means real time.
	Clock Clock
	// Lag is the delay after which a change appears in the served list.
	Lag time.Duration
	// Addr is the address to listen on; empty means a free loopback port.
	Addr string
}

// VMs emulates the platform's VM list. It serves the list as it was one lag ago; it serves an
// empty list until the first change is that old.
type VMs struct {
	clock Clock
	addr  string
	host  *host

	mu      sync.Mutex
	lag     time.Duration
	current map[string]wire.VM
	history []vmListVersion // oldest first
}

type vmListVersion struct {
	at  time.Duration
	vms []wire.VM
}

// NewVMs returns an empty list, not yet served.
func NewVMs(cfg VMsConfig) *VMs {
	return &VMs{
		clock:   orRealClock(cfg.Clock),
		addr:    orLoopback(cfg.Addr),
		lag:     cfg.Lag,
		current: map[string]wire.VM{},
	}
}

// Start serves on the configured address.
func (vs *VMs) Start() error {
	rts := []route{{http.MethodGet, wire.RouteVMs, vs.serve}}
	ho, err := startHost(vs.addr, func(*faultListener) {}, rts)
	if err != nil {
		return newError("VMs.Start", KindListen, err)
	}
	vs.host = ho
	return nil
}

// Addr returns the host and port that the list is served on. Start must have succeeded.
func (vs *VMs) Addr() string { return vs.host.addr() }

// Close stops the server.
func (vs *VMs) Close() { vs.host.close() }

// SetDown makes the list unreachable, or reachable again.
func (vs *VMs) SetDown(down bool) { vs.host.listener.setRefuse(down) }

// SetLag changes the lag of the served list.
func (vs *VMs) SetLag(lag time.Duration) {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	vs.lag = lag
}

// Set adds a VM or replaces the one at its address.
func (vs *VMs) Set(vm wire.VM) {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	vs.current[vm.Addr] = vm
	vs.recordHistory()
}

// Leaving sets a VM's state to leaving; an unknown address is ignored.
func (vs *VMs) Leaving(addr string) {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	vm, ok := vs.current[addr]
	if !ok {
		return
	}
	vm.State = wire.VMLeaving
	vs.current[addr] = vm
	vs.recordHistory()
}

// Remove removes a VM from the list.
func (vs *VMs) Remove(addr string) {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	delete(vs.current, addr)
	vs.recordHistory()
}

func (vs *VMs) recordHistory() {
	vms := make([]wire.VM, 0, len(vs.current))
	for _, addr := range slices.Sorted(maps.Keys(vs.current)) {
		vms = append(vms, vs.current[addr])
	}
	vs.history = append(vs.history, vmListVersion{at: vs.clock(), vms: vms})
	if over := len(vs.history) - maxVMHistory; over > 0 {
		vs.history = slices.Delete(vs.history, 0, over)
	}
}

func (vs *VMs) serve(_ context.Context, rc *app.RequestContext) {
	reply(rc, http.StatusOK, wire.VMList{VMs: vs.servedList()})
}

// servedList returns the newest list that is at least one lag old.
func (vs *VMs) servedList() []wire.VM {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	newest := vs.clock() - vs.lag
	for _, vl := range slices.Backward(vs.history) {
		if vl.at <= newest {
			return vl.vms
		}
	}
	return []wire.VM{}
}
