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

// maxVMHistory bounds the past lists kept to serve a lagging one.
const maxVMHistory = 1024

// VMsConfig configures a VM list.
type VMsConfig struct {
	// Clock is what the lag is measured by; nil means real time.
	Clock Clock
	// Lag is how far the served list is behind.
	Lag time.Duration
	// Addr is listened on; empty means a free loopback port.
	Addr string
}

// VMs stands in for the platform's VM list. It serves the list as it was one
// lag ago, and an empty one before that.
type VMs struct {
	clock Clock
	addr  string
	host  *host

	mu      sync.Mutex
	lag     time.Duration
	current map[string]wire.VM
	history []vmList // oldest first
}

type vmList struct {
	at  time.Duration
	vms []wire.VM
}

// NewVMs makes an empty list.
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
	ho, err := startHost(vs.addr, func(*gate) {}, rts)
	if err != nil {
		return newError("VMs.Start", KindListen, err)
	}
	vs.host = ho
	return nil
}

// Addr is the host and port that the list is served on.
func (vs *VMs) Addr() string { return vs.host.addr() }

// Close ends the server.
func (vs *VMs) Close() { vs.host.close() }

// SetDown makes the list unreachable, or reachable again.
func (vs *VMs) SetDown(down bool) { vs.host.gate.setRefuse(down) }

// SetLag changes how far the served list is behind.
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
	vs.record()
}

// Leaving marks a VM as leaving; an unknown address is ignored.
func (vs *VMs) Leaving(addr string) {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	vm, ok := vs.current[addr]
	if !ok {
		return
	}
	vm.State = wire.VMLeaving
	vs.current[addr] = vm
	vs.record()
}

// Remove takes a VM off the list.
func (vs *VMs) Remove(addr string) {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	delete(vs.current, addr)
	vs.record()
}

func (vs *VMs) record() {
	vms := make([]wire.VM, 0, len(vs.current))
	for _, addr := range slices.Sorted(maps.Keys(vs.current)) {
		vms = append(vms, vs.current[addr])
	}
	vs.history = append(vs.history, vmList{at: vs.clock(), vms: vms})
	if over := len(vs.history) - maxVMHistory; over > 0 {
		vs.history = slices.Delete(vs.history, 0, over)
	}
}

func (vs *VMs) serve(_ context.Context, rc *app.RequestContext) {
	reply(rc, http.StatusOK, wire.VMList{VMs: vs.visible()})
}

// visible is the newest list that is at least one lag old.
func (vs *VMs) visible() []wire.VM {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	cut := vs.clock() - vs.lag
	for _, vl := range slices.Backward(vs.history) {
		if vl.at <= cut {
			return vl.vms
		}
	}
	return []wire.VM{}
}
