package emul

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// Ports of a Stage, as offsets from its first.
const (
	portKV = iota
	portVMList
	portAdmin
	// portUpstreams is the port of the first upstream server.
	portUpstreams = 10
)

// StageConfig configures a Stage.
type StageConfig struct {
	// Port is the first loopback port, used by the key-value service. The VM list uses the
	// next, the admin API the one after, and the servers those from Port+10 on. 0 means
	// free ports.
	Port int
	// Fleet configures the upstream servers; its own Port is ignored.
	Fleet FleetConfig
	// Lag is the lag of the VM list.
	Lag time.Duration
}

// Stage runs all the emulators that one fleet of VMs needs, and an admin API on loopback that
// injects faults at run time. VMs that run as separate processes need nothing else.
type Stage struct {
	kv    *KV
	vms   *VMs
	fleet *Fleet
	admin *host
	// started is closed once admin is set; the first call may come before that.
	started chan struct{}
}

// NewStage starts all emulators and the admin API.
func NewStage(cfg StageConfig) (*Stage, error) {
	sg := &Stage{
		kv:  NewKV(KVConfig{Addr: loopback(cfg.Port, portKV)}),
		vms: NewVMs(VMsConfig{Addr: loopback(cfg.Port, portVMList), Lag: cfg.Lag}),

		started: make(chan struct{}),
	}
	if err := sg.start(cfg); err != nil {
		sg.Close()
		return nil, err
	}
	return sg, nil
}

func (sg *Stage) start(cfg StageConfig) error {
	if err := sg.kv.Start(); err != nil {
		return err
	}
	if err := sg.vms.Start(); err != nil {
		return err
	}
	fc := cfg.Fleet
	fc.Port = 0
	if cfg.Port != 0 {
		fc.Port = cfg.Port + portUpstreams
	}
	fl, err := NewFleet(fc)
	if err != nil {
		return err
	}
	sg.fleet = fl
	ho, err := startHost(loopback(cfg.Port, portAdmin), func(*faultListener) {}, sg.routes())
	if err != nil {
		return newError("NewStage", KindListen, err)
	}
	sg.admin = ho
	close(sg.started)
	return nil
}

// Close stops the emulators and the admin API, as far as they were started.
func (sg *Stage) Close() {
	if sg.admin != nil {
		sg.admin.close()
	}
	if sg.fleet != nil {
		sg.fleet.Close()
	}
	if sg.vms.host != nil {
		sg.vms.Close()
	}
	if sg.kv.host != nil {
		sg.kv.Close()
	}
}

// KV returns the emulated key-value service.
func (sg *Stage) KV() *KV { return sg.kv }

// VMs returns the emulated VM list.
func (sg *Stage) VMs() *VMs { return sg.vms }

// Fleet returns the upstream servers.
func (sg *Stage) Fleet() *Fleet { return sg.fleet }

// Admin returns the host and port of the admin API.
func (sg *Stage) Admin() string { return sg.admin.addr() }

// Describe returns the addresses and the present state of all emulators.
func (sg *Stage) Describe() StageReply {
	sn := sg.fleet.Current()
	ry := StageReply{
		KV:        sg.kv.Addr(),
		VMList:    sg.vms.Addr(),
		Admin:     sg.Admin(),
		Register:  sn.Register,
		Snapshot:  sn.Version,
		Shards:    sn.Shards,
		Upstreams: []StageUpstream{},
		VMs:       sg.vms.servedList(),
		KVCounts:  sg.kv.Counts(),
	}
	for _, sv := range sg.fleet.Servers() {
		lo := sv.Upstream.Load()
		ry.Upstreams = append(ry.Upstreams, StageUpstream{
			Addr: sv.Addr, DataCentre: sv.DataCentre, Service: sv.Service,
			State: lo.State, Incarnation: lo.Incarnation, InFlight: lo.InFlight,
			Runs: sv.Upstream.Runs(),
		})
	}
	return ry
}

func (sg *Stage) routes() []route {
	return []route{
		{http.MethodGet, RouteAdminStage, sg.serveStage},
		{http.MethodPost, RouteAdminKV, sg.serveKV},
		{http.MethodPost, RouteAdminUpstream, sg.serveUpstream},
		{http.MethodPost, RouteAdminSnapshot, sg.serveSnapshot},
		{http.MethodPost, RouteAdminVMs, sg.serveVMs},
		{http.MethodPost, RouteAdminRuns, sg.serveRuns},
	}
}

func (sg *Stage) serveStage(_ context.Context, rc *app.RequestContext) {
	<-sg.started
	reply(rc, http.StatusOK, sg.Describe())
}

func (sg *Stage) serveKV(_ context.Context, rc *app.RequestContext) {
	rq, ok := decode[KVFaultRequest](rc)
	if !ok {
		return
	}
	if rq.Remember {
		sg.kv.SaveState()
	}
	if rq.Restore {
		sg.kv.Restore()
	}
	if rq.Compact {
		sg.kv.Compact()
	}
	sg.kv.SetFaults(KVFaults{
		Refuse:        rq.Down,
		Fail:          rq.Fail,
		Slow:          millis(rq.SlowMs),
		LoseSwaps:     rq.LoseSwaps,
		SilentWatches: rq.SilentWatches,
		StaleReads:    rq.Past,
	})
	reply(rc, http.StatusOK, struct{}{})
}

func (sg *Stage) serveSnapshot(_ context.Context, rc *app.RequestContext) {
	rq, ok := decode[SnapshotRequest](rc)
	if !ok {
		return
	}
	shards := orDefault(rq.Shards, sg.fleet.Current().Shards)
	sn, err := sg.fleet.Publish(shards)
	if err != nil {
		replyError(rc, http.StatusBadRequest, reasonMalformed, err.Error())
		return
	}
	reply(rc, http.StatusOK, SnapshotReply{Snapshot: sn.Version, Shards: sn.Shards})
}

func (sg *Stage) serveVMs(_ context.Context, rc *app.RequestContext) {
	rq, ok := decode[VMsRequest](rc)
	if !ok {
		return
	}
	for _, vm := range rq.Set {
		sg.vms.Set(vm)
	}
	for _, addr := range rq.Leaving {
		sg.vms.Leaving(addr)
	}
	for _, addr := range rq.Remove {
		sg.vms.Remove(addr)
	}
	if rq.LagMs != nil {
		sg.vms.SetLag(millis(*rq.LagMs))
	}
	if rq.Down != nil {
		sg.vms.SetDown(*rq.Down)
	}
	reply(rc, http.StatusOK, struct{}{})
}

func (sg *Stage) serveRuns(_ context.Context, rc *app.RequestContext) {
	rq, ok := decode[RunsRequest](rc)
	if !ok {
		return
	}
	ry := RunsReply{Shards: map[int]int{}}
	if rq.Query == "" {
		ry.Total = sg.fleet.Runs()
		reply(rc, http.StatusOK, ry)
		return
	}
	ry.Shards = sg.fleet.RunsOf(rq.Query)
	for _, n := range ry.Shards {
		ry.Total += uint64(n)
		ry.MostOfShard = max(ry.MostOfShard, n)
	}
	reply(rc, http.StatusOK, ry)
}
